package cell_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/cell"
	"damsonwinch/pkg/wire"
)

const (
	// nodeCallTimeout is the timeout of an owner's calls, beside the time for which an endpoint may hold a poll.
	nodeCallTimeout = 500 * time.Millisecond
	// lateShare is the share of requests that are carried out late while the fault is present.
	// concentratedShare is that at a single box.
	lateShare         = 0.055
	concentratedShare = 0.5
	lateFaultTime     = 5 * time.Second
	gangJobsPerBurst  = 4
	// backlogTime is the time before the end of the simulation in which no more jobs come. Without other faults all
	// are done by then.
	backlogTime = 20 * time.Second
)

// lateRequests leaves a share of the requests to endpoints unanswered and has them carried out seconds later. It also
// measures what these requests delay.
type lateRequests struct {
	world *world
	// shares holds, by box, the share of requests that are carried out late now.
	shares map[string]float64
	// pendingStarts holds, by task, the newest start request that has not been answered.
	pendingStarts map[damsonwinch.TaskID]pendingStart
	// endedAt holds when a run ended of which no owner has received the result.
	endedAt map[damsonwinch.Run]time.Time
	// measures is set in seeds in which no other call gets lost: only these are measured.
	measures bool
	// demandEnds is when the last short job comes.
	demandEnds time.Time
	// oneBox is set if the fault is at a single box.
	oneBox bool
	// restartDelays are the times from an unanswered start of a short task to its next start by the same owner.
	// resultDelays are the times from the end of a run until an owner received its result.
	restartDelays []time.Duration
	resultDelays  []time.Duration
	polls         int
	// followUps counts the starts that owners took for unanswered, and suspicions the endpoints that they excluded.
	followUps  int
	suspicions int
}

// pendingStart is a start request that has not been answered.
type pendingStart struct {
	owner   *simOwner
	attempt int
	sentAt  time.Time
}

// simulateLateRequests runs the simulation of a seed in which requests to endpoints are carried out late, at all boxes
// or at one. In half of the seeds other faults are present, too.
func simulateLateRequests(seed uint64, m mutation) *world {
	w := newLateWorld(seed, m)
	w.resetsOnExit = w.random.Float64() < 0.5
	otherFaults := w.random.Float64() < 0.5
	w.late.measures = !otherFaults
	w.late.oneBox = w.random.Float64() < 0.5
	w.setUpMixed()
	w.mixed.addLongRunningJobs()
	w.mixed.addDemand()
	w.late.addGangs()
	for burst := range mixedBursts {
		w.after(w.randomDuration(2*time.Second, 4*time.Second)+time.Duration(burst)*mixedBurstInterval, func() {
			w.late.begin()
			if otherFaults {
				w.mixed.beginBurst()
			}
		})
	}
	w.late.demandEnds = w.now.Add(mixedEnd - backlogTime)
	w.run(w.now.Add(mixedEnd))
	w.late.checkDone()
	return w
}

// newLateWorld returns a simulation in which requests can be carried out late. It has no boxes yet.
func newLateWorld(seed uint64, m mutation) *world {
	w := newMixedWorld(seed, m)
	w.late = &lateRequests{world: w, shares: map[string]float64{}, pendingStarts: map[damsonwinch.TaskID]pendingStart{}, endedAt: map[damsonwinch.Run]time.Time{}}
	return w
}

// addGangs adds clients with jobs of two tasks that run together.
func (l *lateRequests) addGangs() {
	w := l.world
	for number := range 2 * gangJobsPerBurst {
		at := time.Duration(number/gangJobsPerBurst)*mixedBurstInterval + w.randomDuration(time.Second, 10*time.Second)
		w.after(at, func() {
			behaviour := taskBehaviour{need: damsonwinch.Resources{MilliCPU: 1000, MemoryMB: 500}, duration: w.randomDuration(300*time.Millisecond, time.Second)}
			phase := wire.Phase{Count: 2, Cpu: behaviour.need.MilliCPU, MemoryMb: behaviour.need.MemoryMB, EstimateMs: 600, Gang: true}
			c := w.addClient(fmt.Sprintf("gang%d", number), simSpec(phase), behaviour)
			w.after(300*time.Millisecond, c.watchUntilEnd)
		})
	}
}

// checkDone checks that the jobs have ended for whose tasks an endpoint has room beside the long-running ones, unless
// there were other faults.
func (l *lateRequests) checkDone() {
	for _, c := range l.world.clients {
		if c.unfinished() && l.measures && l.world.hasRoom(l.world.behaviours[c.id].need) {
			l.world.rules.fail("LOST: %s has not ended %v after the last job came", c.id, backlogTime)
		}
	}
}

// begin makes requests late for lateFaultTime: a small share at all boxes, or a large one at a single box.
func (l *lateRequests) begin() {
	w := l.world
	w.mixed.disturb(lateFaultTime)
	if l.oneBox {
		l.shares[w.randomBox()] = concentratedShare
	} else {
		for box := range w.boxCount {
			l.shares[fmt.Sprintf("box-%d", box)] = lateShare
		}
	}
	w.logf("requests are carried out late at %d boxes", len(l.shares))
	w.after(lateFaultTime, func() { clear(l.shares) })
}

// intercept leaves a request unanswered if it is to be carried out late, and reports whether it is.
func (l *lateRequests) intercept(e *simEndpoint, timeout time.Duration, handle func(e *simEndpoint) func() error, done func(err error)) bool {
	w := l.world
	share := l.shares[e.info.Box]
	if share == 0 || w.random.Float64() >= share {
		return false
	}
	delay := w.randomDuration(minLateness, maxLateness)
	w.mixed.disturb(delay)
	w.after(delay, func() { w.mixed.carryOut(e, handle, delay) })
	w.after(timeout, func() { done(errNoReply) })
	return true
}

// hasRoom reports whether an endpoint has that much free capacity.
func (w *world) hasRoom(need damsonwinch.Resources) bool {
	return slices.ContainsFunc(w.endpoints, func(e *simEndpoint) bool {
		return !e.exited && e.info.Capacity.Minus(e.used()).Holds(need)
	})
}

// startSent notes a start request, and how long after an unanswered one it comes.
func (l *lateRequests) startSent(o *simOwner, start cell.Start) {
	if l == nil || l.world.behaviourOf(start.Request.Task).longRunning {
		return
	}
	if earlier, found := l.pendingStarts[start.Request.Task]; found && l.measures && earlier.owner == o && earlier.attempt < start.Request.Attempt {
		l.restartDelays = append(l.restartDelays, l.world.now.Sub(earlier.sentAt))
	}
	l.pendingStarts[start.Request.Task] = pendingStart{owner: o, attempt: start.Request.Attempt, sentAt: l.world.now}
}

// startReturned notes the reply to a start request.
func (l *lateRequests) startReturned(start cell.Start, err error) {
	if l != nil && err != errNoReply && l.pendingStarts[start.Request.Task].attempt == start.Request.Attempt {
		delete(l.pendingStarts, start.Request.Task)
	}
}

// runEnded notes the end of a run while requests are carried out late.
func (l *lateRequests) runEnded(run damsonwinch.Run) {
	if l != nil && l.measures && len(l.shares) > 0 && !l.world.behaviourOf(run.Task).longRunning {
		l.endedAt[run] = l.world.now
	}
}

// resultsReturned notes the results that a reply to a poll brings an owner.
func (l *lateRequests) resultsReturned(o *simOwner, reply damsonwinch.PollReply) {
	if l == nil {
		return
	}
	l.polls++
	for _, result := range reply.Finished {
		if at, found := l.endedAt[result.Run]; found && !o.exited {
			l.resultDelays = append(l.resultDelays, l.world.now.Sub(at))
			delete(l.endedAt, result.Run)
		}
	}
}

// logged counts the decisions that a line of an owner's log reports.
func (l *lateRequests) logged(line cell.LogLine) {
	switch {
	case l == nil:
	case line.Message == "start overdue":
		l.followUps++
	case line.Message == "endpoint suspected":
		l.suspicions++
	}
}

// summary returns the number of delays and their quantiles.
func summary(delays []time.Duration) string {
	if len(delays) == 0 {
		return "none"
	}
	sorted := slices.Clone(delays)
	slices.Sort(sorted)
	at := func(percent int) int64 { return sorted[(len(sorted)-1)*percent/100].Milliseconds() }
	return fmt.Sprintf("%d; median %d ms, 90%% within %d ms, 99%% within %d ms", len(sorted), at(50), at(90), at(99))
}

// TestRulesHoldWithLateRequests simulates requests that are carried out seconds late: no task may run twice because a
// start was given up that then took effect. DAMSONWINCH_SEEDS and DAMSONWINCH_FIRST_SEED choose the seeds.
func TestRulesHoldWithLateRequests(t *testing.T) {
	restarts, results := map[bool][]time.Duration{}, map[bool][]time.Duration{}
	polls, starts, suspicions := 0, 0, 0
	seeds := testSeeds(100)
	for _, seed := range seeds {
		w := simulateLateRequests(seed, mutation{})
		if w.rules.violation != "" {
			t.Errorf("seed %d: %s\n%s", seed, w.rules.violation, strings.Join(w.log, "\n"))
		}
		at := w.late.oneBox
		restarts[at], results[at] = append(restarts[at], w.late.restartDelays...), append(results[at], w.late.resultDelays...)
		polls, starts, suspicions = polls+w.late.polls, starts+w.rules.startCount, suspicions+w.late.suspicions
	}
	t.Logf("%d seeds, %d starts, %d polls, %d suspected endpoints", len(seeds), starts, polls, suspicions)
	for _, oneBox := range []bool{false, true} {
		t.Logf("one box only %v: from an unanswered start to the next one: %s", oneBox, summary(restarts[oneBox]))
		t.Logf("one box only %v: from the end of a run to its result: %s", oneBox, summary(results[oneBox]))
	}
}

// TestLateRequestRulesDetectDisabledMechanisms makes sure that a task which runs twice because of late requests is
// found.
func TestLateRequestRulesDetectDisabledMechanisms(t *testing.T) {
	expectViolation(t, "TWICE", firstSeeds(499), mutation{expireLeasesEarly: true}, simulateLateRequests)
}

// TestAnsweredCallsCostNothing guards against calls that are followed up although endpoints answer, however many there
// are: each would cost a poll, and a start that is taken for unanswered a stop as well.
func TestAnsweredCallsCostNothing(t *testing.T) {
	for _, boxes := range []int{mixedBoxes, 2 * mixedBoxes, 4 * mixedBoxes} {
		starts := 0
		for seed := uint64(1); seed <= 10; seed++ {
			w := newLateWorld(seed, mutation{})
			w.boxCount, w.late.measures = boxes, true
			w.setUpMixed()
			w.mixed.addDemand()
			w.late.demandEnds = w.now.Add(mixedEnd)
			w.run(w.now.Add(mixedEnd))
			assert.Equal(t, w.rules.violation, "")
			assert.Equal(t, w.late.followUps, 0, "%d boxes, seed %d", boxes, seed)
			assert.Equal(t, w.late.suspicions, 0, "%d boxes, seed %d", boxes, seed)
			starts += w.rules.startCount
		}
		t.Logf("%d boxes: %d starts, none taken for unanswered", boxes, starts)
	}
}

// TestLateRequestsAreDeterministic makes sure that a seed which has found a fault finds it again.
func TestLateRequestsAreDeterministic(t *testing.T) {
	first, second := simulateLateRequests(1, mutation{}), simulateLateRequests(1, mutation{})
	assert.DeepEqual(t, first.log, second.log)
}
