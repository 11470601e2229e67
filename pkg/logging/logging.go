// Package logging writes a process's log lines without ever holding up its work:
// lines go through a bounded queue to a task of their own, and a budget of lines a
// second bounds the volume. What is left out is counted by kind.
package logging

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"damsonwinch"
	"damsonwinch/pkg/metrics"
)

// Sizes of the queue and the budget.
const (
	// queueLines wait for the output at most; a line has about 300 bytes.
	queueLines = 1024
	// DefaultLinesPerSecond is the usual budget of lines a second. A node writes about 15 a
	// second on a day without load.
	DefaultLinesPerSecond = 200
	// minorShare is the part of the budget, in percent, that lines below the
	// level "info" may take.
	minorShare = 50
	// closeTime bounds the wait for an output that takes nothing any more.
	closeTime = 200 * time.Millisecond
)

// Logger is a logger with its queue.
type Logger struct {
	*logrus.Logger
	queue chan []byte
	done  chan struct{}
	group errgroup.Group
	clock damsonwinch.Clock
}

// Deps are what a log works with.
type Deps struct {
	Output io.Writer
	Clock  damsonwinch.Clock
	// Metrics counts the lines left out.
	Metrics *metrics.Set
	// LinesPerSecond is the budget of lines a second; 0 for the usual one.
	LinesPerSecond int
}

// New returns a log that writes JSON lines.
func New(deps Deps) *Logger {
	l := &Logger{Logger: logrus.New(), queue: make(chan []byte, queueLines), done: make(chan struct{}), clock: deps.Clock}
	lines := deps.LinesPerSecond
	if lines == 0 {
		lines = DefaultLinesPerSecond
	}
	l.SetLevel(logrus.DebugLevel)
	l.SetFormatter(&budget{
		inner: &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}, clock: deps.Clock, metrics: deps.Metrics, lines: lines, left: map[string]int{},
	})
	l.SetOutput(queueWriter{queue: l.queue, metrics: deps.Metrics})
	l.group.Go(func() error { return l.drain(deps.Output) })
	return l
}

// drain writes the queued lines until the log is closed and the queue is empty.
func (l *Logger) drain(output io.Writer) error {
	defer close(l.done)
	for line := range l.queue {
		if _, err := output.Write(line); err != nil {
			// Nobody reads any more; there is no better place to say so.
			return fmt.Errorf("write log: %w", err)
		}
	}
	return nil
}

// Close writes what is queued and ends the log. It waits, but not for an output
// that takes nothing.
func (l *Logger) Close() error {
	l.SetOutput(io.Discard)
	close(l.queue)
	timer := l.clock.NewTimer(closeTime)
	defer timer.Stop()
	select {
	case <-l.done:
		return l.group.Wait()
	case <-timer.Chan():
		return fmt.Errorf("the log's output has taken nothing for %v", closeTime)
	}
}

// queueWriter puts lines into the queue, or leaves them out when it is full.
type queueWriter struct {
	queue   chan []byte
	metrics *metrics.Set
}

// Write implements io.Writer. Empty lines are those that the budget left out.
func (w queueWriter) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	select {
	case w.queue <- slices.Clone(line):
	default:
		w.metrics.Add("log_lines_not_queued", 1)
	}
	return len(line), nil
}

// budget formats lines as long as there is room for them in the second.
type budget struct {
	inner   logrus.Formatter
	clock   damsonwinch.Clock
	metrics *metrics.Set
	lines   int
	// The lock guards the second's counts: logrus formats in the goroutines that
	// log.
	mutex  sync.Mutex
	second int64
	used   int
	minor  int
	left   map[string]int
}

// Format implements logrus.Formatter. It returns nothing for a line that the
// budget leaves out.
func (b *budget) Format(entry *logrus.Entry) ([]byte, error) {
	summary, fits := b.admit(entry)
	if !fits {
		b.metrics.Add("log_lines_left_out", 1)
		return nil, nil
	}
	line, err := b.inner.Format(entry)
	if err != nil || summary == "" {
		return line, err
	}
	missing := entry.WithField("left_out", summary)
	missing.Level, missing.Message, missing.Time = logrus.WarnLevel, "log lines left out", entry.Time
	head, err := b.inner.Format(missing)
	return append(head, line...), err
}

// admit says whether a line fits the second, and sums up what was left out of the
// one before.
func (b *budget) admit(entry *logrus.Entry) (string, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	summary := ""
	if second := b.clock.Now().Unix(); second != b.second {
		b.second, b.used, b.minor = second, 0, 0
		summary = b.sumUp()
	}
	minor := entry.Level > logrus.InfoLevel
	if b.used >= b.lines || (minor && b.minor >= b.lines*minorShare/100) {
		b.left[entry.Message]++
		return "", false
	}
	b.used++
	if minor {
		b.minor++
	}
	return summary, true
}

// sumUp says how many lines of which kind were left out, and forgets them.
func (b *budget) sumUp() string {
	if len(b.left) == 0 {
		return ""
	}
	parts := make([]string, 0, len(b.left))
	for _, kind := range slices.Sorted(maps.Keys(b.left)) {
		parts = append(parts, fmt.Sprintf("%d of %q", b.left[kind], kind))
	}
	clear(b.left)
	return strings.Join(parts, ", ")
}
