package liveness_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"damsonwinch/pkg/liveness"
)

// script simulates a watched owner in steps of 10 ms. A data file says how it replies and appends,
// and how long the store takes.
type script struct {
	now      time.Time
	evidence liveness.Evidence
	// replyTime is how long a reply takes, 0 for no replies, and appendEvery the time between two
	// appends, 0 for none.
	replyTime   time.Duration
	appendEvery time.Duration
	// readTime is how long a read of the streams takes.
	readTime time.Duration
	// watcherSuspended is set while the watching node is suspended.
	watcherSuspended bool
	ends             int
	reading          bool
	due              []event
}

// event is a function to run at a time.
type event struct {
	at time.Time
	do func()
}

const (
	stepTime      = 10 * time.Millisecond
	requestEvery  = 100 * time.Millisecond
	usualReadTime = 5 * time.Millisecond
)

// TestOnlyOwnersThatStoppedWorkingAreLost runs the commands of the data files and compares their output.
// Commands:
//
//	owner answers=MS appends=MS store=MS watcher-still: from now on the owner replies after answers,
//	  and appends every appends, in each case never if the argument is missing; a read of its streams
//	  takes store; with watcher-still the watching node is suspended
//	watch ms=MS claim-age=MS: lets time pass and prints when the owner is taken for lost; claim-age
//	  is the age of the owner's claim at the start
func TestOnlyOwnersThatStoppedWorkingAreLost(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{now: time.Unix(1_000_000, 0), readTime: usualReadTime}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "owner":
				s.replyTime, s.appendEvery, s.readTime = milliseconds(t, d, "answers", 0), milliseconds(t, d, "appends", 0), milliseconds(t, d, "store", usualReadTime)
				s.watcherSuspended = d.HasArg("watcher-still")
				return ""
			case "watch":
				return s.watch(milliseconds(t, d, "ms", 0), milliseconds(t, d, "claim-age", time.Minute))
			}
			d.Fatalf(t, "unknown command")
			return ""
		})
	})
}

// milliseconds returns the duration that a command's argument gives in milliseconds, or the usual one if
// the argument is missing.
func milliseconds(t *testing.T, d *datadriven.TestData, name string, usual time.Duration) time.Duration {
	if !d.HasArg(name) {
		return usual
	}
	var value int
	d.ScanArgs(t, name, &value)
	return time.Duration(value) * time.Millisecond
}

// watch lets time pass up to the given length. It returns a text on when the owner is taken for lost, or
// that it lives.
func (s *script) watch(length, claimAge time.Duration) string {
	for passed := time.Duration(0); passed < length; passed += stepTime {
		s.step(passed)
		if !s.watcherSuspended && s.evidence.IsLost(s.now, claimAge+passed) {
			return fmt.Sprintf("lost after %d ms\n", passed.Milliseconds())
		}
		s.now = s.now.Add(stepTime)
	}
	return "lives\n"
}

// step runs the events that are due now, the owner's append, and the watching node's request and read.
func (s *script) step(passed time.Duration) {
	for len(s.due) > 0 && !s.due[0].at.After(s.now) {
		s.due[0].do()
		s.due = s.due[1:]
	}
	if s.appendEvery > 0 && passed%s.appendEvery == 0 {
		s.ends++
	}
	if s.watcherSuspended {
		return
	}
	if s.now.Sub(s.evidence.LastRequestAt()) >= requestEvery {
		s.request()
	}
	if !s.reading && s.evidence.StreamReadDue(s.now) {
		s.read()
	}
}

// request sends a request to the owner and schedules the reply, if there is one.
func (s *script) request() {
	s.evidence = s.evidence.WithRequest(s.now)
	sentAt := s.now
	if s.replyTime > 0 {
		s.after(s.replyTime, func() { s.evidence = s.evidence.WithReply(sentAt) })
	}
}

// read reads the end of the owner's stream at the store.
func (s *script) read() {
	s.reading = true
	startedAt := s.now
	s.after(s.readTime/2, func() {
		ends := s.ends
		s.after(s.readTime/2, func() {
			s.reading = false
			s.evidence = s.evidence.WithStreamRead(startedAt, s.now.Sub(startedAt), ends)
		})
	})
}

// after runs a function later. Events are kept in the order of their times.
func (s *script) after(length time.Duration, do func()) {
	at := s.now.Add(length)
	index := len(s.due)
	for index > 0 && s.due[index-1].at.After(at) {
		index--
	}
	s.due = append(s.due[:index], append([]event{{at: at, do: do}}, s.due[index:]...)...)
}
