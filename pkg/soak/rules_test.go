package soak

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"damsonwinch/platform/standin"
)

// evidence is what clients and endpoints have seen during a test.
type evidence struct {
	jobs    map[string]*job
	starts  []standin.Start
	faults  []fault
	endedAt time.Time
}

// violation is a rule that has been broken for a job.
type violation struct {
	rule, job, text string
}

// violations returns the first violation of each rule for each job.
func (e *evidence) violations() []violation {
	var found []violation
	byTask := map[string][]standin.Start{}
	for _, s := range e.starts {
		found = append(found, e.checkOrder(s)...)
		if s.Began {
			found = append(found, e.checkStart(s)...)
			found = append(found, checkOtherRuns(byTask[s.Task], s)...)
			byTask[s.Task] = append(byTask[s.Task], s)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(e.jobs)) {
		found = append(found, checkKnown(e.jobs[id])...)
	}
	seen := map[string]bool{}
	return slices.DeleteFunc(found, func(v violation) bool {
		again := seen[v.rule+v.job]
		seen[v.rule+v.job] = true
		return again
	})
}

func violationOf(rule string, s standin.Start, format string, args ...any) []violation {
	return []violation{{rule: rule, job: s.Job(), text: s.Task + " " + fmt.Sprintf(format, args...)}}
}

// checkOrder guards against orders whose content no client has sent.
func (e *evidence) checkOrder(s standin.Start) []violation {
	j := e.jobs[s.Job()]
	if j == nil || !j.isSubmittedBefore(s.At) {
		return violationOf("UNASKED", s, "is of a job that no client has submitted")
	}
	if spec, err := j.spec(); err != nil || spec != s.Spec {
		return violationOf("UNASKED", s, "was ordered with the spec %q, not %q", s.Spec, spec)
	}
	if !s.CheckpointListed {
		return violationOf("UNASKED", s, "was ordered with the checkpoint %q, which was not listed for it", s.Checkpoint)
	}
	return nil
}

func (j *job) isSubmittedBefore(at time.Time) bool {
	for _, c := range j.calls {
		if c.method == http.MethodPost && c.sentAt.Before(at) {
			return true
		}
	}
	return false
}

// checkStart guards against starts of cancelled and of refused jobs.
func (e *evidence) checkStart(s standin.Start) []violation {
	j := e.jobs[s.Job()]
	if j == nil || !j.isSubmittedBefore(s.At) {
		return nil // checkOrder reports it.
	}
	if j.isRefused() {
		return violationOf("REFUSED", s, "was started although each submission was refused")
	}
	cancelled := j.cancelCall()
	if cancelled == nil {
		return nil
	}
	if late := s.At.Sub(cancelled.answeredAt); late > cancelTime {
		return violationOf("UNASKED", s, "was started %v after the cancel of its job %s", late, j.describeCancel(cancelled))
	}
	if at := e.mustHaveEndedBy(cancelled.answeredAt); e.runsAt(s, at) {
		return violationOf("UNASKED", s, "still ran %v after the cancel of its job %s", at.Sub(cancelled.answeredAt), j.describeCancel(cancelled))
	}
	return nil
}

// describeCancel says how a cancel was answered, and whether the job was accepted before and submitted
// again after it, which tells the known causes apart.
func (j *job) describeCancel(cancelled *call) string {
	text := fmt.Sprintf("was answered with %d by node-%d", cancelled.status, cancelled.node)
	for _, c := range j.calls {
		switch {
		case c.isAccepted() && c.sentAt.Before(cancelled.sentAt):
			text += fmt.Sprintf("; accepted %v before", cancelled.sentAt.Sub(c.answeredAt))
		case c.method == http.MethodPost && c.sentAt.After(cancelled.sentAt):
			text += fmt.Sprintf("; submitted again %v after and answered with %d", c.sentAt.Sub(cancelled.answeredAt), c.status)
		}
	}
	return text
}

// isRefused reports whether each submission was answered with a refusal.
func (j *job) isRefused() bool {
	for _, c := range j.calls {
		if c.method == http.MethodPost && c.status != http.StatusTooManyRequests && c.status != http.StatusServiceUnavailable {
			return false
		}
	}
	return true
}

// cancelCall returns the first call that cancelled the job, or nil if no such call was answered.
func (j *job) cancelCall() *call {
	for number, c := range j.calls {
		if c.isCancelled() {
			return &j.calls[number]
		}
	}
	return nil
}

// runsAt reports whether a run was in progress at a time up to which the test has lasted.
func (e *evidence) runsAt(s standin.Start, at time.Time) bool {
	return !at.After(e.endedAt) && s.At.Before(at) && (s.EndedAt.IsZero() || s.EndedAt.After(at))
}

// mustHaveEndedBy returns when a job whose cancel was confirmed at the given time must have no runs any
// more: at the end of the first cancelTime and stopTime during which, and for contactTime before, there
// was no disruption. The rule on runs that go on holds only then.
func (e *evidence) mustHaveEndedBy(cancelledAt time.Time) time.Time {
	calmFrom := cancelledAt
	for {
		next := calmFrom
		for _, f := range e.faults {
			afterFault := f.until.Add(contactTime)
			if !f.planned && f.from.Before(calmFrom.Add(cancelTime+stopTime)) && afterFault.After(next) {
				next = afterFault
			}
		}
		if next.Equal(calmFrom) {
			return calmFrom.Add(cancelTime + stopTime)
		}
		calmFrom = next
	}
}

// checkOtherRuns guards against a second run of a task at the same time, or after the task was done.
// Earlier are the task's runs that began before.
func checkOtherRuns(earlier []standin.Start, s standin.Start) []violation {
	for _, other := range earlier {
		if other.EndedAt.IsZero() || other.EndedAt.After(s.At) {
			return violationOf("TWICE", s, "was started on %s while it ran on %s", s.Endpoint, other.Endpoint)
		}
		if other.Ending == "done" && !other.AckedAt.IsZero() {
			return violationOf("TWICE", s, "was started on %s after it was done on %s, which was acknowledged", s.Endpoint, other.Endpoint)
		}
	}
	return nil
}

// checkKnown guards against an accepted job that is said not to exist although nobody has cancelled it.
func checkKnown(j *job) []violation {
	var acceptedAt time.Time
	for _, c := range j.calls {
		switch {
		case c.method == http.MethodDelete:
			return nil
		case c.isAccepted() && acceptedAt.IsZero():
			acceptedAt = c.answeredAt
		case c.method == http.MethodGet && c.status == http.StatusGone && !acceptedAt.IsZero() && c.sentAt.Sub(acceptedAt) > visibleTime:
			return []violation{{rule: "LOST", job: j.id, text: fmt.Sprintf("%s is unknown at node-%d %v after it was accepted", j.id, c.node, c.sentAt.Sub(acceptedAt))}}
		}
	}
	return nil
}
