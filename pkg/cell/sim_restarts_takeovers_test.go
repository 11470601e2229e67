package cell_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
)

// Faults of a simulation of restarts beside takeovers.
const (
	restartRows  = 4
	maxRowLength = 4
	// maxShortLife is the longest life within a row, and maxRestartTime the longest time until the next one.
	maxShortLife   = 700 * time.Millisecond
	maxRestartTime = 300 * time.Millisecond
	// maxKillDelay is how long after a first reply of a life the owner is killed at most. A commit takes as long.
	maxKillDelay = 20 * time.Millisecond
)

// restartFaults restarts endpoints under their IDs several times in a row, and kills owners when a life has answered for
// the first time.
type restartFaults struct {
	world *world
	// answered holds the lives that have answered a poll of an owner, by owner.
	answered map[*simOwner]map[damsonwinch.Life]bool
	// killed counts the owners that were killed after the first reply of a later life.
	killed int
}

// simulateRestartsBesideTakeovers runs the simulation of a seed in which endpoints restart under the same ID while owners
// are killed.
func simulateRestartsBesideTakeovers(seed uint64, m mutation) *world {
	w := newWorld(seed, m)
	w.sharedIDs = true
	w.resetsOnExit, w.promptPolls = seed%2 == 0, seed%3 != 0
	w.restartFaults = &restartFaults{world: w, answered: map[*simOwner]map[damsonwinch.Life]bool{}}
	w.setUp(defaultJobs)
	for range restartRows {
		w.after(w.randomDuration(0, simFaultTime), func() { w.restartFaults.restart(w.randomBox(), 1+w.random.IntN(maxRowLength)) })
	}
	w.runToEnd()
	return w
}

// restart ends the life on a box and starts another one, count times in a row.
func (f *restartFaults) restart(box string, count int) {
	w := f.world
	if count == 0 || !w.faultsOn {
		return
	}
	for _, e := range w.endpoints {
		if e.info.Box != box || e.exited {
			continue
		}
		w.logf("%s on %s restarts", e.info.Life, box)
		e.exit()
		w.after(w.randomDuration(time.Millisecond, maxRestartTime), func() {
			w.addEndpoint(box)
			w.after(w.randomDuration(time.Millisecond, maxShortLife), func() { f.restart(box, count-1) })
		})
		return
	}
}

// polled notes that an owner has handled the reply to a poll that was sent to a life. If it is the first one of the life
// that has answered, the owner may be killed, before or after it has carried out what it decided.
func (f *restartFaults) polled(o *simOwner, called damsonwinch.Life, reply damsonwinch.PollReply, err error) {
	if f == nil || err != nil || !f.isFirst(o, called.WithStarted(reply.StartedUnixMs)) || !f.world.chance(0.2) {
		return
	}
	if f.world.random.Float64() < 0.5 {
		f.kill(o)
		return
	}
	f.world.after(f.world.randomDuration(0, maxKillDelay), func() { f.kill(o) })
}

// isFirst reports whether a later life than the one on its box at the start answers an owner for the first time.
func (f *restartFaults) isFirst(o *simOwner, life damsonwinch.Life) bool {
	if f.answered[o] == nil {
		f.answered[o] = map[damsonwinch.Life]bool{}
	}
	first := !f.answered[o][life]
	f.answered[o][life] = true
	for _, e := range f.world.endpoints[:f.world.boxCount] {
		if e.info.Life == life {
			return false
		}
	}
	return first
}

// kill kills the owner, if it is the newest one, and adds another.
func (f *restartFaults) kill(o *simOwner) {
	w := f.world
	if o.exited || o != w.owners[len(w.owners)-1] || !w.faultsOn {
		return
	}
	w.logf("owner %s is killed after the first reply of a life", o.name)
	f.killed++
	o.exit("killed")
	w.after(w.randomDuration(10*time.Millisecond, 500*time.Millisecond), func() { w.addOwner() })
}

// TestRulesHoldWhenOwnersAreKilledBesideRestarts guards against a run that no owner knows, or a task that runs again, because
// an owner is killed between the first reply of a later life and the record of what follows from it.
func TestRulesHoldWhenOwnersAreKilledBesideRestarts(t *testing.T) {
	killed := 0
	checkSeeds(t, testSeeds(300), func(seed uint64, m mutation) *world {
		w := simulateRestartsBesideTakeovers(seed, m)
		killed += w.restartFaults.killed
		return w
	})
	assert.Assert(t, killed > 0, "no owner was killed after a reply of a later life")
}

// givenUpUnstartedSeeds are seeds in which a task is given up, and its job shown as failed, though most or all of the runs
// that were lost under it had never begun: their owner was killed before it requested them.
var givenUpUnstartedSeeds = []uint64{1126, 80020, 81927}

// TestTaskIsNotGivenUpForRunsThatNeverBegan guards against a sound job that fails because endpoints were lost for which an
// earlier owner had recorded runs that were never started there.
func TestTaskIsNotGivenUpForRunsThatNeverBegan(t *testing.T) {
	for _, seed := range givenUpUnstartedSeeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { checkSeeds(t, []uint64{seed}, simulateRestartsBesideTakeovers) })
	}
	// Two starts that were recorded and not sent count as extra starts, after three losses.
	t.Run("501493, quick restarts", func(t *testing.T) { checkSeeds(t, []uint64{501493}, simulateQuickRestarts) })
}
