package liveness_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"damsonwinch/pkg/liveness"
)

// script plays a watched owner in steps of 10 ms: what it answers and appends, and how long
// the store takes, are the pattern of a data file.
type script struct {
	now      time.Time
	evidence liveness.Evidence
	// answers is how long an answer takes, 0 for none, and appends the time between two
	// appends, 0 for none.
	answers time.Duration
	appends time.Duration
	// store is how long a reading takes.
	store time.Duration
	// still says that the watching node stands still.
	still   bool
	ends    int
	reading bool
	due     []event
}

// event is something that comes at a time.
type event struct {
	at time.Time
	do func()
}

const (
	step       = 10 * time.Millisecond
	askEvery   = 100 * time.Millisecond
	usualStore = 5 * time.Millisecond
)

// TestPatterns plays the data files. Commands:
//
//	owner answers=MS appends=MS store=MS watcher-still: how things go from now on
//	watch ms=MS claim-age=MS: lets time pass and tells when the owner is taken for lost
func TestPatterns(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{now: time.Unix(1_000_000, 0), store: usualStore}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "owner":
				s.answers, s.appends, s.store = milliseconds(t, d, "answers", 0), milliseconds(t, d, "appends", 0), milliseconds(t, d, "store", usualStore)
				s.still = d.HasArg("watcher-still")
				return ""
			case "watch":
				return s.watch(milliseconds(t, d, "ms", 0), milliseconds(t, d, "claim-age", time.Minute))
			}
			d.Fatalf(t, "unknown command")
			return ""
		})
	})
}

func milliseconds(t *testing.T, d *datadriven.TestData, name string, usual time.Duration) time.Duration {
	if !d.HasArg(name) {
		return usual
	}
	var value int
	d.ScanArgs(t, name, &value)
	return time.Duration(value) * time.Millisecond
}

func (s *script) watch(length, claimAge time.Duration) string {
	for passed := time.Duration(0); passed < length; passed += step {
		s.pass(passed)
		if !s.still && s.evidence.IsLost(s.now, claimAge+passed) {
			return fmt.Sprintf("lost after %d ms\n", passed.Milliseconds())
		}
		s.now = s.now.Add(step)
	}
	return "lives\n"
}

// pass does what is due at a moment.
func (s *script) pass(passed time.Duration) {
	for len(s.due) > 0 && !s.due[0].at.After(s.now) {
		s.due[0].do()
		s.due = s.due[1:]
	}
	if s.appends > 0 && passed%s.appends == 0 {
		s.ends++
	}
	if s.still {
		return
	}
	if s.now.Sub(s.evidence.LastRequestAt()) >= askEvery {
		s.ask()
	}
	if !s.reading && s.evidence.StreamReadDue(s.now) {
		s.read()
	}
}

func (s *script) ask() {
	s.evidence = s.evidence.WithRequest(s.now)
	asked := s.now
	if s.answers > 0 {
		s.after(s.answers, func() { s.evidence = s.evidence.WithReply(asked) })
	}
}

func (s *script) read() {
	s.reading = true
	asked := s.now
	s.after(s.store/2, func() {
		ends := s.ends
		s.after(s.store/2, func() {
			s.reading = false
			s.evidence = s.evidence.WithStreamRead(asked, s.now.Sub(asked), ends)
		})
	})
}

// after does something later; events stand in order of their times.
func (s *script) after(length time.Duration, do func()) {
	at := s.now.Add(length)
	place := len(s.due)
	for place > 0 && s.due[place-1].at.After(at) {
		place--
	}
	s.due = append(s.due[:place], append([]event{{at: at, do: do}}, s.due[place:]...)...)
}
