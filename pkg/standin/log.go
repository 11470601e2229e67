// Package standin holds small fakes of what the system meets outside: the
// platform, endpoints and the network between halls, with faults on a script.
// It serves tests and dw-trial only.
package standin

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// LogFaults are what a log does wrong until told otherwise.
type LogFaults struct {
	// Down refuses every append and read.
	Down bool
	// LostAnswerRate is the part of appends, from 0 to 1, that take effect while
	// their answer is lost.
	LostAnswerRate float64
	// DropRate is the part of appends, from 0 to 1, that are lost without effect.
	DropRate float64
	// LateRate is the part of appends, from 0 to 1, that fail at once and take
	// effect after LateBy.
	LateRate  float64
	LateDelay time.Duration
	// AppendDelay delays every append.
	AppendDelay time.Duration
}

// Errors of the stand-in log.
var (
	errDown = errors.New("the log is down")
	errLost = errors.New("the answer was lost")
)

// Log is an append-only log in memory.
type Log struct {
	clock   damsonwinch.Clock
	mutex   sync.Mutex
	random  *rand.Rand
	streams map[string]*stream
	faults  LogFaults
	appends int
	keep    int
}

type stream struct {
	first   int
	records []wire.Entry
	changed chan struct{}
}

var _ damsonwinch.Log = (*Log)(nil)

// NewLog returns an empty log that keeps a number of records a stream, 0 for all.
func NewLog(clock damsonwinch.Clock, seed uint64, keep int) *Log {
	return &Log{clock: clock, random: rand.New(rand.NewPCG(seed, seed)), streams: map[string]*stream{}, keep: keep}
}

// SetFaults changes what the log does wrong.
func (l *Log) SetFaults(faults LogFaults) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.faults = faults
}

// Appends counts the appends that took effect.
func (l *Log) Appends() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.appends
}

// Expire drops the records of a stream below an offset.
func (l *Log) Expire(name string, first int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.stream(name).expire(first)
}

// Append adds a record, as the present faults allow.
func (l *Log) Append(ctx context.Context, name, data string) (int, error) {
	l.mutex.Lock()
	faults := l.faults
	chance := l.random.Float64()
	l.mutex.Unlock()
	if faults.Down {
		return 0, errDown
	}
	if faults.AppendDelay > 0 && !l.sleep(ctx, faults.AppendDelay) {
		return 0, ctx.Err()
	}
	if chance < faults.DropRate {
		return 0, errLost
	}
	chance -= faults.DropRate
	if chance < faults.LateRate && chance >= 0 {
		l.clock.AfterFunc(faults.LateDelay, func() { l.take(name, data) })
		return 0, errLost
	}
	offset := l.take(name, data)
	if chance -= faults.LateRate; chance < faults.LostAnswerRate && chance >= 0 {
		return 0, errLost
	}
	return offset, nil
}

func (l *Log) sleep(ctx context.Context, wait time.Duration) bool {
	select {
	case <-l.clock.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *Log) take(name, data string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.appends++
	s := l.stream(name)
	offset := s.next()
	s.records = append(s.records, wire.Entry{Offset: offset, At: int(l.clock.Now().UnixMilli()), Data: data})
	if l.keep > 0 {
		s.expire(s.next() - l.keep)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// Read returns a page, waiting for a first record as long as asked.
func (l *Log) Read(ctx context.Context, name string, from, maximum, waitMs int) (wire.LogPage, error) {
	page, changed, err := l.page(name, from, maximum)
	if err != nil || len(page.Records) > 0 || waitMs <= 0 || page.First > from {
		return page, err
	}
	select {
	case <-changed:
	case <-l.clock.After(time.Duration(waitMs) * time.Millisecond):
	case <-ctx.Done():
		return page, ctx.Err()
	}
	page, _, err = l.page(name, from, maximum)
	return page, err
}

// Peek returns records whatever the faults are, for observers beside the system.
func (l *Log) Peek(name string, from, maximum int) []wire.Entry {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.stream(name).page(from, maximum).Records
}

func (l *Log) page(name string, from, maximum int) (wire.LogPage, chan struct{}, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.faults.Down {
		return wire.LogPage{}, nil, errDown
	}
	s := l.stream(name)
	return s.page(from, maximum), s.changed, nil
}

func (l *Log) stream(name string) *stream {
	if l.streams[name] == nil {
		l.streams[name] = &stream{changed: make(chan struct{})}
	}
	return l.streams[name]
}

func (s *stream) page(from, maximum int) wire.LogPage {
	page := wire.LogPage{First: s.first, Next: s.next(), Records: []wire.Entry{}}
	start := max(from, s.first) - s.first
	if start < len(s.records) {
		end := min(len(s.records), start+max(maximum, 1))
		page.Records = append(page.Records, s.records[start:end]...)
	}
	return page
}

func (s *stream) next() int {
	return s.first + len(s.records)
}

func (s *stream) expire(first int) {
	if first <= s.first {
		return
	}
	first = min(first, s.next())
	s.records = append([]wire.Entry{}, s.records[first-s.first:]...)
	s.first = first
}
