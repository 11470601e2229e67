// Package logging writes the log lines of a process without ever blocking its work. Lines go through a
// bounded queue to a goroutine that writes them, and the number of lines per second is limited. Lines
// beyond the limit are left out and counted by message.
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

const (
	// maxQueuedLines is the capacity of the queue. A line has about 300 bytes.
	maxQueuedLines = 1024
	// DefaultLinesPerSecond is the default of Deps.LinesPerSecond. A node writes about 15 lines per
	// second on a day without load.
	DefaultLinesPerSecond = 200
	// debugSharePercent is the part of the limit that lines below the level "info" may use.
	debugSharePercent = 50
	// closeTimeout is how long Close waits for an output that blocks.
	closeTimeout = 200 * time.Millisecond
)

// Logger is a logrus.Logger that writes through a queue.
type Logger struct {
	*logrus.Logger
	queue chan []byte
	done  chan struct{}
	group errgroup.Group
	clock damsonwinch.Clock
}

// Deps holds the dependencies and settings of a logger.
type Deps struct {
	Output io.Writer
	Clock  damsonwinch.Clock
	// Metrics counts the lines that are left out.
	Metrics *metrics.Set
	// LinesPerSecond is the maximum number of lines per second. 0 means DefaultLinesPerSecond.
	LinesPerSecond int
}

// New returns a logger that writes JSON lines. It must be closed.
func New(deps Deps) *Logger {
	l := &Logger{Logger: logrus.New(), queue: make(chan []byte, maxQueuedLines), done: make(chan struct{}), clock: deps.Clock}
	linesPerSecond := deps.LinesPerSecond
	if linesPerSecond == 0 {
		linesPerSecond = DefaultLinesPerSecond
	}
	l.SetLevel(logrus.DebugLevel)
	l.SetFormatter(&limitedFormatter{
		inner: &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}, clock: deps.Clock, metrics: deps.Metrics, linesPerSecond: linesPerSecond, leftOut: map[string]int{},
	})
	l.SetOutput(queueWriter{queue: l.queue, metrics: deps.Metrics})
	l.group.Go(func() error { return l.writeQueue(deps.Output) })
	return l
}

// writeQueue writes the queued lines until the logger is closed and the queue is empty.
func (l *Logger) writeQueue(output io.Writer) error {
	defer close(l.done)
	for line := range l.queue {
		if _, err := output.Write(line); err != nil {
			// Nobody reads the output any more. Close returns this error.
			return fmt.Errorf("write log: %w", err)
		}
	}
	return nil
}

// Close writes the queued lines and closes the logger. If the output blocks it returns an error after
// closeTimeout.
func (l *Logger) Close() error {
	l.SetOutput(io.Discard)
	close(l.queue)
	timer := l.clock.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-l.done:
		return l.group.Wait()
	case <-timer.Chan():
		return fmt.Errorf("the log's output has taken nothing for %v", closeTimeout)
	}
}

// queueWriter is an io.Writer that puts lines into the queue. It leaves them out if the queue is full.
type queueWriter struct {
	queue   chan []byte
	metrics *metrics.Set
}

// Write implements io.Writer. It ignores empty lines: for a line that is left out, logrus passes on the
// empty result of the formatter.
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

// limitedFormatter is a logrus.Formatter that leaves out lines beyond linesPerSecond.
type limitedFormatter struct {
	inner          logrus.Formatter
	clock          damsonwinch.Clock
	metrics        *metrics.Set
	linesPerSecond int
	// mutex guards the counts below: logrus formats lines in the goroutines that log them.
	mutex          sync.Mutex
	currentSecond  int64
	linesUsed      int
	debugLinesUsed int
	// leftOut counts the lines left out since the last summary, by message.
	leftOut map[string]int
}

// Format implements logrus.Formatter. It returns no bytes for a line that is left out. Before the first
// line of a second it adds a line with a summary of the lines that were left out before.
func (f *limitedFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	summary, admitted := f.admit(entry)
	if !admitted {
		f.metrics.Add("log_lines_left_out", 1)
		return nil, nil
	}
	line, err := f.inner.Format(entry)
	if err != nil || summary == "" {
		return line, err
	}
	summaryEntry := entry.WithField("left_out", summary)
	summaryEntry.Level, summaryEntry.Message, summaryEntry.Time = logrus.WarnLevel, "log lines left out", entry.Time
	summaryLine, err := f.inner.Format(summaryEntry)
	return append(summaryLine, line...), err
}

// admit reports whether a line is within the limit of the current second. With the first line of a second
// it returns a summary of the lines left out before, or "" if there are none.
func (f *limitedFormatter) admit(entry *logrus.Entry) (string, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	summary := ""
	if second := f.clock.Now().Unix(); second != f.currentSecond {
		f.currentSecond, f.linesUsed, f.debugLinesUsed = second, 0, 0
		summary = f.takeSummary()
	}
	debugLine := entry.Level > logrus.InfoLevel
	if f.linesUsed >= f.linesPerSecond || (debugLine && f.debugLinesUsed >= f.linesPerSecond*debugSharePercent/100) {
		f.leftOut[entry.Message]++
		return "", false
	}
	f.linesUsed++
	if debugLine {
		f.debugLinesUsed++
	}
	return summary, true
}

// takeSummary returns how many lines of each message were left out, and resets the counts.
func (f *limitedFormatter) takeSummary() string {
	if len(f.leftOut) == 0 {
		return ""
	}
	parts := make([]string, 0, len(f.leftOut))
	for _, message := range slices.Sorted(maps.Keys(f.leftOut)) {
		parts = append(parts, fmt.Sprintf("%d of %q", f.leftOut[message], message))
	}
	clear(f.leftOut)
	return strings.Join(parts, ", ")
}
