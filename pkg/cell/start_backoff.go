package cell

import (
	"slices"
	"time"

	"damsonwinch"
)

const (
	// minRefusals is the number of starts in a row that an endpoint must have refused to count as one that
	// refuses starts. A single one may be due to a task that had not ended there.
	minRefusals = 2
	// refusalMemory is how long after its last refusal an endpoint counts as one that refuses starts, unless
	// it accepts one meanwhile. It is longer than the longest backoff of a task, so that the task has time
	// to find another endpoint between two tries.
	refusalMemory = 2 * maxStartBackoff
)

// refusals counts the starts in a row that an endpoint has refused because of its health or capacity.
type refusals struct {
	count int
	last  time.Time
}

// add notes a refusal.
func (r *refusals) add(now time.Time) {
	r.count++
	r.last = now
}

// persist reports whether the endpoint has refused all its recent starts.
func (r *refusals) persist(now time.Time) bool {
	return r.count >= minRefusals && now.Sub(r.last) < refusalMemory
}

// backOffTask delays the next start of a task that endpoints refuse, longer each time. Each start
// costs a record and a call, and a request that one endpoint refuses as invalid is refused by the
// next one as well.
func (c *Cell) backOffTask(t *task) {
	t.notBefore = c.now.Add(min(maxStartBackoff, minStartBackoff<<min(t.refusals, 8)))
	t.refusals++
}

// taskRefusal is the newest refusal of a task by an endpoint.
type taskRefusal struct {
	life damsonwinch.Life
	// byState says that the endpoint's health or capacity was the reason: a further box may accept the task.
	byState bool
}

// noteRefusedBy notes that an endpoint has refused a task, because of its health or capacity or not.
func (c *Cell) noteRefusedBy(t *task, life damsonwinch.Life, byState bool) {
	if len(t.refusedBy) == 0 {
		t.refusedSince = c.now
	}
	t.refusedBy = slices.DeleteFunc(t.refusedBy, func(other taskRefusal) bool {
		return other.life == life || c.endpoints[other.life] == nil
	})
	t.refusedBy = append(t.refusedBy, taskRefusal{life: life, byState: byState})
}

// forgetRefusals forgets which endpoints have refused a task, since one has accepted it. The members of a gang run only
// together: one that was accepted is stopped if another one is refused, so theirs are forgotten once all have been accepted.
func (t *task) forgetRefusals() {
	if !t.phase.spec.Gang {
		t.refusals, t.refusedBy = 0, nil
		return
	}
	for _, member := range t.phase.tasks {
		if !member.done && !slices.ContainsFunc(member.runs, (*run).isAccepted) {
			return
		}
	}
	for _, member := range t.phase.tasks {
		member.refusals, member.refusedBy = 0, nil
	}
}

// isAccepted reports whether an endpoint has accepted the run and it is not to be stopped.
func (r *run) isAccepted() bool {
	return r.state == runConfirmed && !r.stopping
}

// refusalScore returns the part of an endpoint's score that is due to its refusals of a task.
func (t *task) refusalScore(e *endpoint) int {
	place := slices.IndexFunc(t.refusedBy, func(refusal taskRefusal) bool { return refusal.life == e.info.Life })
	return scoreRefused * (1 + place)
}

// isRefusedForLong reports whether endpoints have refused a task, and it has not started, for maxObstruction.
func (c *Cell) isRefusedForLong(t *task) bool {
	return len(t.refusedBy) > 0 && c.now.Sub(t.refusedSince) >= maxObstruction
}

// Bounds of the backoff after a refused start. The first one is short, since another endpoint may
// soon accept the task. The last one is about as long as it takes to notice that the endpoints'
// program has been replaced.
const (
	minStartBackoff = 100 * time.Millisecond
	maxStartBackoff = 2 * time.Second
)
