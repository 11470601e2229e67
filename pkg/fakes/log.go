// Package fakes holds stand-ins for the system's environment: the platform, endpoints and the network
// between availability zones. Faults can be injected into each of them. Only tests and the command
// dw-trial use it. For the platform that dw-node uses, see damsonwinch/platform/standin.
package fakes

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// LogFaults are the faults of a Log. The zero value means none. Of the faults that have a rate, at most
// one affects an append.
type LogFaults struct {
	// Down makes every append and read fail.
	Down bool
	// LostAnswerRate is the fraction of appends, from 0 to 1, that take effect but return an error.
	LostAnswerRate float64
	// DropRate is the fraction of appends, from 0 to 1, that return an error and take no effect.
	DropRate float64
	// LateRate is the fraction of appends, from 0 to 1, that return an error at once and take effect
	// after LateDelay.
	LateRate  float64
	LateDelay time.Duration
	// AppendDelay is how long every append is delayed.
	AppendDelay time.Duration
}

// Errors of the stand-in log.
var (
	errDown = errors.New("the log is down")
	// errAnswerLost means that the append has an unknown outcome: it may have taken effect, or may
	// do so later.
	errAnswerLost = errors.New("the answer was lost")
)

// Log is an append-only log in memory.
type Log struct {
	clock   damsonwinch.Clock
	mutex   sync.Mutex
	random  *rand.Rand
	streams map[string]*stream
	faults  LogFaults
	// appends is the number of appends that took effect.
	appends int
	// maxRecords is the number of records kept in each stream, or 0 for all.
	maxRecords int
}

// stream is one stream of records of a Log.
type stream struct {
	// records holds the records that have not expired. The first one has the offset first.
	first   int
	records []wire.Entry
	// changed is closed by the next append.
	changed chan struct{}
}

var _ damsonwinch.Log = (*Log)(nil)

// NewLog returns an empty log that keeps the last maxRecords records of each stream, or all if maxRecords
// is 0. The seed determines which appends are affected by faults.
func NewLog(clock damsonwinch.Clock, seed uint64, maxRecords int) *Log {
	return &Log{clock: clock, random: rand.New(rand.NewPCG(seed, seed)), streams: map[string]*stream{}, maxRecords: maxRecords}
}

// SetFaults sets the faults of the log from now on.
func (l *Log) SetFaults(faults LogFaults) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.faults = faults
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.appends
}

// Expire drops the records of a stream whose offsets are below first.
func (l *Log) Expire(name string, first int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.stream(name).expire(first)
}

// Append adds a record to the named stream and returns its offset. The current faults can make it fail,
// with or without adding the record.
func (l *Log) Append(ctx context.Context, name, data string) (int, error) {
	l.mutex.Lock()
	faults := l.faults
	draw := l.random.Float64()
	l.mutex.Unlock()
	if faults.Down {
		return 0, errDown
	}
	if faults.AppendDelay > 0 && !l.sleep(ctx, faults.AppendDelay) {
		return 0, ctx.Err()
	}
	if draw < faults.DropRate {
		return 0, errAnswerLost
	}
	draw -= faults.DropRate
	if draw < faults.LateRate && draw >= 0 {
		l.clock.AfterFunc(faults.LateDelay, func() { l.add(name, data) })
		return 0, errAnswerLost
	}
	offset := l.add(name, data)
	if draw -= faults.LateRate; draw < faults.LostAnswerRate && draw >= 0 {
		return 0, errAnswerLost
	}
	return offset, nil
}

// sleep waits for a duration and reports whether it has passed before ctx ended.
func (l *Log) sleep(ctx context.Context, wait time.Duration) bool {
	select {
	case <-l.clock.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// add adds a record to a stream, wakes its readers and returns the record's offset.
func (l *Log) add(name, data string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.appends++
	s := l.stream(name)
	offset := s.next()
	s.records = append(s.records, wire.Entry{Offset: offset, At: int(l.clock.Now().UnixMilli()), Data: data})
	if l.maxRecords > 0 {
		s.expire(s.next() - l.maxRecords)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// Read returns at most maximum records of the named stream, starting at offset from. If there is none
// yet, it waits up to waitMs milliseconds for the next append.
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

// Peek returns at most maximum records of the named stream, starting at offset from. Faults don't affect
// it: it is for observers outside the system.
func (l *Log) Peek(name string, from, maximum int) []wire.Entry {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.stream(name).page(from, maximum).Records
}

// page returns a page of at most maximum records of the named stream, starting at offset from, and a
// channel that the next append to the stream closes.
func (l *Log) page(name string, from, maximum int) (wire.LogPage, chan struct{}, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.faults.Down {
		return wire.LogPage{}, nil, errDown
	}
	s := l.stream(name)
	return s.page(from, maximum), s.changed, nil
}

// stream returns the named stream. It creates the stream if there is none. The caller holds the lock.
func (l *Log) stream(name string) *stream {
	if l.streams[name] == nil {
		l.streams[name] = &stream{changed: make(chan struct{})}
	}
	return l.streams[name]
}

// page returns at most maximum records, but at least one if there is any, starting at offset from. If
// the record at that offset has expired, the page starts at the first record kept.
func (s *stream) page(from, maximum int) wire.LogPage {
	page := wire.LogPage{First: s.first, Next: s.next(), Records: []wire.Entry{}}
	start := max(from, s.first) - s.first
	if start < len(s.records) {
		end := min(len(s.records), start+max(maximum, 1))
		page.Records = append(page.Records, s.records[start:end]...)
	}
	return page
}

// next returns the offset that the next record will get.
func (s *stream) next() int {
	return s.first + len(s.records)
}

// expire drops the records whose offsets are below first.
func (s *stream) expire(first int) {
	if first <= s.first {
		return
	}
	first = min(first, s.next())
	s.records = append([]wire.Entry{}, s.records[first-s.first:]...)
	s.first = first
}
