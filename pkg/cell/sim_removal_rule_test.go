package cell_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"damsonwinch"
	"damsonwinch/pkg/cell"
)

// removalRule checks the runs that the newest owner removes from the cell's state: it takes them for ended, refused or never
// begun. None of them may go on at that moment or begin later. A task runs twice only if its next attempt begins while the
// removed one still goes on, so that most wrong removals break no other rule.
type removalRule struct {
	world *world
	// known holds, by owner, the runs of the cell after the owner's last event. spare is a slice for the next ones.
	known map[*simOwner][]cell.KnownRun
	spare []cell.KnownRun
	// removed holds the removals of runs that did not go on at that moment.
	removed map[damsonwinch.Run][]removal
	// violation is the first violation of the rule, or empty.
	violation string
	// count is the number of runs that were removed.
	count int
}

// removal is the removal of a run by an owner.
type removal struct {
	run  damsonwinch.Run
	life damsonwinch.Life
	// moved is set if the run was assigned to another life, which may run it.
	moved bool
	// token is the token of the owner that removed the run.
	token int
	// by says which owner removed the run, when, and what it logged in that event.
	by string
}

func newRemovalRule(w *world) *removalRule {
	return &removalRule{world: w, known: map[*simOwner][]cell.KnownRun{}, removed: map[damsonwinch.Run][]removal{}}
}

// check checks the runs that an owner has removed in its last event. lines are the log lines of that event.
func (r *removalRule) check(o *simOwner, lines []cell.LogLine) {
	before, after := r.known[o], o.cell.AppendRuns(r.spare[:0])
	r.known[o], r.spare = after, before
	if slices.Equal(before, after) || o != r.world.owners[len(r.world.owners)-1] {
		return
	}
	for _, known := range before {
		if !slices.Contains(after, known) {
			r.checkRemoved(o, known, slices.ContainsFunc(after, known.IsSameRun), lines)
		}
	}
}

// checkRemoved checks a run that an owner has removed, or moved from one life to another.
func (r *removalRule) checkRemoved(o *simOwner, known cell.KnownRun, moved bool, lines []cell.LogLine) {
	gone := removal{run: known.ID(), life: known.Life(), moved: moved, token: o.token}
	gone.by = fmt.Sprintf("%s after %v by %s", o.name, r.world.now.Sub(r.world.startedAt), gone.linesAbout(lines))
	r.count++
	for _, e := range r.world.endpoints {
		if e.runs[gone.run] != nil && gone.concerns(e) {
			r.fail(gone, e, "goes on")
			return
		}
	}
	r.removed[gone.run] = append(r.removed[gone.run], gone)
}

// checkStart checks a start that an endpoint carries out. A later owner doesn't know the attempts that the one before has not
// recorded, and uses their numbers again for runs of its own.
func (r *removalRule) checkStart(e *simEndpoint, request damsonwinch.StartRequest) {
	for _, gone := range r.removed[request.Run] {
		if request.Token <= gone.token && gone.concerns(e) {
			r.fail(gone, e, "begins later")
			return
		}
	}
}

// fail notes that a removed run exists. The simulation goes on, since a task may run twice because of that.
func (r *removalRule) fail(gone removal, e *simEndpoint, what string) {
	if r.violation == "" {
		r.violation = fmt.Sprintf("REMOVED: %s attempt %d of %s %s on %s; removed by %s", gone.run.Task, gone.run.Attempt, gone.life, what, e.info.Life, gone.by)
		r.world.logf("%s", r.violation)
	}
}

// report makes the violation of this rule that of the simulation, unless another rule was violated.
func (r *removalRule) report() {
	if r.violation != "" {
		r.world.rules.fail("%s", r.violation)
	}
}

// concerns reports whether a removed run must not run on an endpoint.
func (gone removal) concerns(e *simEndpoint) bool {
	return !gone.moved || gone.life.MayBeSame(e.info.Life)
}

// linesAbout returns the log lines about the run or its endpoint.
func (gone removal) linesAbout(lines []cell.LogLine) string {
	var about []string
	for _, line := range lines {
		if line.Task == gone.run.Task.String() || line.Task == "" && line.Endpoint == gone.life.String() {
			about = append(about, fmt.Sprintf("%q %s", line.Message, line.Reason))
		}
	}
	if len(about) == 0 {
		return "no line"
	}
	return strings.Join(about, ", ")
}

// TestRemovalRuleDetectsDisabledMechanisms guards against a rule on removed runs that can't fail. With some seed it is violated
// if a mechanism is disabled.
func TestRemovalRuleDetectsDisabledMechanisms(t *testing.T) {
	for name, c := range map[string]struct {
		mutation mutation
		simulate func(seed uint64, m mutation) *world
	}{
		"leases expire early":           {mutation{expireLeasesEarly: true}, simulateSharedIDs},
		"no fencing":                    {mutation{noFencing: true}, simulateSharedIDs},
		"lists of boxes lack endpoints": {mutation{listsLackCutOff: true}, simulateRestartsAndCuts},
	} {
		t.Run(name, func(t *testing.T) { expectViolation(t, "REMOVED", firstSeeds(999), c.mutation, c.simulate) })
	}
}
