// Package eject finds out whether boxes or requests are bad, by which requests fail on which boxes,
// and ejects bad boxes for some time. It does no I/O and reads no clock; the time is passed in.
package eject

import "time"

const (
	// failedRequestsToEject is the number of different requests that must have failed on a box and
	// succeeded on another one before the box should be ejected.
	failedRequestsToEject = 3
	// boxesToBlameRequest is the number of different boxes on which a request must have failed
	// before the request itself is to blame.
	boxesToBlameRequest = 3
	// consecutiveFailuresToEject is the number of failures in a row after which a box should be ejected.
	// These count even if the requests were not tried on other boxes.
	consecutiveFailuresToEject = 5
	// firstEjection is how long a first ejection lasts. Each further one in a row lasts twice as
	// long, up to maxEjection. A row ends once the box has had failedRequestsToEject successes.
	firstEjection = 2 * time.Second
	maxEjection   = 60 * time.Second
	// failureRetention is how long a request's failures are remembered.
	failureRetention = 2 * time.Minute
)

// Tracker tracks the failures of requests on boxes, and the boxes that are ejected. Boxes and requests
// are given by names that the caller chooses.
type Tracker struct {
	boxes    map[string]*boxState
	requests map[string]*requestFailures // Only those that have failed and not succeeded since.
}

// boxState holds the evidence for and against one box, and its ejection.
type boxState struct {
	// failedRequests are the requests that failed on the box and succeeded on another one.
	failedRequests      map[string]bool
	consecutiveFailures int
	ejected             bool
	// ejectedUntil is when an ejected box may be probed.
	ejectedUntil         time.Time
	consecutiveEjections int
	recentSuccesses      int // Since the box was reinstated, or last blamed for a failure.
}

// requestFailures holds the boxes on which one request has failed, and when it failed last.
type requestFailures struct {
	boxes []string
	at    time.Time
}

// New returns a Tracker without failures and ejected boxes.
func New() *Tracker {
	return &Tracker{boxes: map[string]*boxState{}, requests: map[string]*requestFailures{}}
}

// box returns the state of a box, which it creates if there is none.
func (t *Tracker) box(name string) *boxState {
	if t.boxes[name] == nil {
		t.boxes[name] = &boxState{failedRequests: map[string]bool{}}
	}
	return t.boxes[name]
}

// AddFailure notes that a request failed on a box. Whether the box or the request is to blame shows
// when the request is tried on other boxes.
func (t *Tracker) AddFailure(request, box string, now time.Time) {
	failures := t.requests[request]
	if failures == nil {
		failures = &requestFailures{}
		t.requests[request] = failures
	}
	failures.boxes = append(failures.boxes, box)
	failures.at = now
	t.box(box).consecutiveFailures++
	if t.FailsEverywhere(request) {
		t.excuseBoxes(request, failures)
	}
}

// excuseBoxes takes back what the failures of a request that fails everywhere count against the boxes.
func (t *Tracker) excuseBoxes(request string, failures *requestFailures) {
	for _, name := range failures.boxes {
		box := t.box(name)
		delete(box.failedRequests, request)
		box.consecutiveFailures = max(0, box.consecutiveFailures-1)
	}
}

// AddSuccess notes that a request succeeded on a box. The other boxes where it failed before are to
// blame for that.
func (t *Tracker) AddSuccess(request, box string) {
	succeeded := t.box(box)
	succeeded.consecutiveFailures = 0
	succeeded.recentSuccesses++
	if succeeded.recentSuccesses >= failedRequestsToEject {
		succeeded.consecutiveEjections = 0
		succeeded.failedRequests = map[string]bool{}
	}
	failures := t.requests[request]
	if failures == nil {
		return
	}
	for _, name := range failures.boxes {
		if name != box {
			t.box(name).failedRequests[request] = true
			t.box(name).recentSuccesses = 0
		}
	}
	delete(t.requests, request)
}

// FailsEverywhere reports whether a request has failed on so many different boxes that the request
// itself is to blame. Boxes that are ejected don't count.
func (t *Tracker) FailsEverywhere(request string) bool {
	failures := t.requests[request]
	if failures == nil {
		return false
	}
	different := map[string]bool{}
	for _, box := range failures.boxes {
		if !t.IsEjected(box) {
			different[box] = true
		}
	}
	return len(different) >= boxesToBlameRequest
}

// ForgetRequest drops the failures of a request. It is for requests that aren't tried again.
func (t *Tracker) ForgetRequest(request string) {
	delete(t.requests, request)
}

// ShouldEject reports whether a box has failed often enough to be ejected. It is false for a box that is
// ejected already.
func (t *Tracker) ShouldEject(name string) bool {
	box := t.boxes[name]
	if box == nil || box.ejected {
		return false
	}
	return len(box.failedRequests) >= failedRequestsToEject || box.consecutiveFailures >= consecutiveFailuresToEject
}

// Eject ejects a box, for a time that doubles with each ejection in a row. For a box that is ejected the
// time starts anew, so that Eject is also for boxes that have failed a probe.
func (t *Tracker) Eject(name string, now time.Time) {
	box := t.box(name)
	pause := min(maxEjection, firstEjection<<min(box.consecutiveEjections, 10))
	box.ejected, box.ejectedUntil = true, now.Add(pause)
	box.consecutiveEjections++
	box.consecutiveFailures, box.recentSuccesses = 0, 0
	box.failedRequests = map[string]bool{}
}

// IsEjected reports whether a box is ejected. It stays so until Reinstate, also while it may be
// probed.
func (t *Tracker) IsEjected(name string) bool {
	box := t.boxes[name]
	return box != nil && box.ejected
}

// MayProbe reports whether the time of an ejection is over, so that the box may be probed with one
// request that may safely be repeated.
func (t *Tracker) MayProbe(name string, now time.Time) bool {
	box := t.boxes[name]
	return box != nil && box.ejected && !now.Before(box.ejectedUntil)
}

// Reinstate ends the ejection of a box. It is for boxes that have answered a probe.
func (t *Tracker) Reinstate(name string) {
	box := t.box(name)
	box.ejected, box.consecutiveFailures, box.recentSuccesses = false, 0, 0
}

// ForgetOldFailures drops the failures of the requests whose last failure is more than
// failureRetention ago.
func (t *Tracker) ForgetOldFailures(now time.Time) {
	for request, failures := range t.requests {
		if now.Sub(failures.at) > failureRetention {
			delete(t.requests, request)
		}
	}
}
