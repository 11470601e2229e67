package cell_test

import (
	"testing"

	"damsonwinch"
)

// doneEnd is what the rules note when a run ends as done.
type doneEnd struct {
	// startCount is the number of starts until then, in the whole simulation, and lapses how often the leases of the
	// endpoint had lapsed.
	startCount, lapses int
}

// lateAcks checks that no run starts after an earlier one of its task has ended as done, if that end is acknowledged
// later. An end that its endpoint's leases have outlived counts, however long its owner was out of reach.
type lateAcks struct {
	rules *rules
	// ends holds the ends as done that haven't been acknowledged, by run and endpoint.
	ends map[endOfRun]doneEnd
	// lastStarts holds, by task, the number of its last start among all starts of the simulation.
	lastStarts map[damsonwinch.TaskID]int
}

// endOfRun identifies the end of a run on a life of an endpoint.
type endOfRun struct {
	run  damsonwinch.Run
	life damsonwinch.Life
}

func newLateAcks(r *rules) *lateAcks {
	return &lateAcks{rules: r, ends: map[endOfRun]doneEnd{}, lastStarts: map[damsonwinch.TaskID]int{}}
}

// started notes a start.
func (a *lateAcks) started(task damsonwinch.TaskID) {
	a.lastStarts[task] = a.rules.startCount
}

// ended notes that a run has ended as done.
func (a *lateAcks) ended(e *simEndpoint, run damsonwinch.Run) {
	a.ends[endOfRun{run, e.info.Life}] = doneEnd{startCount: a.rules.startCount, lapses: e.lapses}
}

// acked checks an end as done that an owner acknowledges. If the endpoint's leases have lapsed since the end, its owner may
// have had the task run elsewhere.
func (a *lateAcks) acked(e *simEndpoint, run damsonwinch.Run) {
	end, known := a.ends[endOfRun{run, e.info.Life}]
	c := a.rules.clientOf(run.Task.Job)
	if !known || c == nil || e.lapses != end.lapses || e.leasesLapsed() {
		return
	}
	if phase := c.spec.Phases[run.Task.Phase]; !phase.Lasting && !phase.Copies && a.lastStarts[run.Task] > end.startCount {
		a.rules.fail("TWICE: the end as done of %s attempt %d on %s is acknowledged, and the task has started again since that end", run.Task, run.Attempt, e.info.Life)
	}
}

// leasesLapsed reports whether no lease is in force on the endpoint.
func (e *simEndpoint) leasesLapsed() bool {
	return e.clockMs() >= e.leaseUntilMs
}

// TestRulesDetectResultsOfRunsTakenForLost checks that a rule is violated if owners take endpoints for exited that are only
// cut off: they finish runs that are started again, and these results are acknowledged after the cut.
func TestRulesDetectResultsOfRunsTakenForLost(t *testing.T) {
	expectViolation(t, "TWICE: the end as done", firstSeeds(1999), mutation{listsLackCutOff: true}, simulateFaults)
}
