// Package eject tells bad boxes from bad jobs by what fails where. It is pure;
// the time is passed in.
package eject

import "time"

// Rules of ejection.
const (
	// strikesToEject is the number of different requests that must have failed
	// on a box and count against it.
	strikesToEject = 3
	// boxesToBlame is the number of different boxes on which a request must have
	// failed before the request is to blame.
	boxesToBlame = 3
	// runToEject is the number of failures in a row, of requests that were not
	// tried elsewhere, that eject a box while others answer.
	runToEject    = 5
	firstEjection = 2 * time.Second
	mostEjection  = 60 * time.Second
	// forgetAfter is how long a request's failures are remembered.
	forgetAfter = 2 * time.Minute
)

// Tracker remembers failures of boxes and of requests.
type Tracker struct {
	boxes    map[string]*record
	requests map[string]*trial
}

// record is what counts for and against one box.
type record struct {
	strikes  map[string]bool
	run      int // Failures in a row.
	ejected  bool
	until    time.Time
	times    int // Ejections in a row.
	answered int // Successes since its return.
}

// trial is where one request has failed.
type trial struct {
	failed []string
	at     time.Time
}

// New returns an empty book.
func New() *Tracker {
	return &Tracker{boxes: map[string]*record{}, requests: map[string]*trial{}}
}

func (b *Tracker) box(name string) *record {
	if b.boxes[name] == nil {
		b.boxes[name] = &record{strikes: map[string]bool{}}
	}
	return b.boxes[name]
}

// AddFailure notes that a request failed on a box.
func (b *Tracker) AddFailure(request, box string, now time.Time) {
	known := b.requests[request]
	if known == nil {
		known = &trial{}
		b.requests[request] = known
	}
	known.failed = append(known.failed, box)
	known.at = now
	b.box(box).run++
	if b.FailsEverywhere(request) {
		b.excuse(request, known)
	}
}

// excuse takes a request's failures off the boxes: it fails everywhere.
func (b *Tracker) excuse(request string, known *trial) {
	for _, name := range known.failed {
		box := b.box(name)
		delete(box.strikes, request)
		box.run = max(0, box.run-1)
	}
}

// AddSuccess notes that a request was answered by a box. Where it failed before,
// the box was to blame.
func (b *Tracker) AddSuccess(request, box string) {
	passed := b.box(box)
	passed.run = 0
	passed.answered++
	if passed.answered >= strikesToEject {
		passed.times = 0
		passed.strikes = map[string]bool{}
	}
	known := b.requests[request]
	if known == nil {
		return
	}
	for _, name := range known.failed {
		if name != box {
			b.box(name).strikes[request] = true
			b.box(name).answered = 0
		}
	}
	delete(b.requests, request)
}

// FailsEverywhere says whether a request has failed on so many boxes that it is to
// blame itself.
func (b *Tracker) FailsEverywhere(request string) bool {
	known := b.requests[request]
	if known == nil {
		return false
	}
	different := map[string]bool{}
	for _, box := range known.failed {
		if !b.IsEjected(box) {
			different[box] = true
		}
	}
	return len(different) >= boxesToBlame
}

// ForgetRequest forgets a request that is tried no more.
func (b *Tracker) ForgetRequest(request string) {
	delete(b.requests, request)
}

// ShouldEject says whether a box has failed often enough to be ejected.
func (b *Tracker) ShouldEject(name string) bool {
	box := b.boxes[name]
	if box == nil || box.ejected {
		return false
	}
	return len(box.strikes) >= strikesToEject || box.run >= runToEject
}

// Eject takes a box out for a time that doubles with each ejection in a row.
func (b *Tracker) Eject(name string, now time.Time) {
	box := b.box(name)
	pause := min(mostEjection, firstEjection<<min(box.times, 10))
	box.ejected, box.until = true, now.Add(pause)
	box.times++
	box.run, box.answered = 0, 0
	box.strikes = map[string]bool{}
}

// IsEjected says whether a box is out, waiting or on trial.
func (b *Tracker) IsEjected(name string) bool {
	box := b.boxes[name]
	return box != nil && box.ejected
}

// MayProbe says whether an ejected box may be tried with one repeatable request.
func (b *Tracker) MayProbe(name string, now time.Time) bool {
	box := b.boxes[name]
	return box != nil && box.ejected && !now.Before(box.until)
}

// Reinstate takes an ejected box back after it has answered.
func (b *Tracker) Reinstate(name string) {
	box := b.box(name)
	box.ejected, box.run, box.answered = false, 0, 0
}

// ForgetOldFailures drops old failures of requests.
func (b *Tracker) ForgetOldFailures(now time.Time) {
	for request, known := range b.requests {
		if now.Sub(known.at) > forgetAfter {
			delete(b.requests, request)
		}
	}
}
