package cell_test

import (
	"cmp"
	"slices"
	"time"

	"damsonwinch"
)

// simEndpoint is a life of an endpoint, as the platform's protocol has it.
type simEndpoint struct {
	world *world
	info  damsonwinch.Endpoint
	// drift is the speed of its steady clock.
	drift             float64
	startedAt         time.Time
	registrationDelay time.Duration // Until its entry is in the registry.
	token             int
	leaseUntilMs      int // End of the lease of all that runs, on its clock.
	runs              map[damsonwinch.Run]*simRun
	lastAttempts      map[damsonwinch.TaskID]int // Highest attempt stopped or ended here.
	finished          []damsonwinch.RunResult
	lastSequence      int
	exited            bool
	misaddressed      bool // It answers a look that is meant for an earlier life.
	// onResult are looks that wait for an end, and breaking the connections that break when
	// the life ends.
	onResult []func()
	onExit   []func()
	// pastCapacities are the rooms that it has had.
	pastCapacities []pastCapacity
}

// simRun is a run on an endpoint.
type simRun struct {
	request   damsonwinch.StartRequest
	need      damsonwinch.Resources
	startedAt time.Time
	endsAt    time.Time
	ending    damsonwinch.Ending
	stopping  bool
}

func (e *simEndpoint) clockMs() int {
	return 1000 + int(float64(e.world.now.Sub(e.startedAt).Milliseconds())*e.drift)
}

// reportedStartMs is when it was reportedStartMs, as it tells it.
func (e *simEndpoint) reportedStartMs() int {
	if e.world.mutation.hideStartTimes {
		return 0
	}
	return e.info.Life.StartedUnixMs
}

// acceptToken keeps out orders of older owners.
func (e *simEndpoint) acceptToken(token int) bool {
	if e.world.mutation.noFencing {
		return true
	}
	if token < e.token {
		return false
	}
	e.token = token
	return true
}

func (e *simEndpoint) used() damsonwinch.Resources {
	var sum damsonwinch.Resources
	for _, r := range e.runs {
		sum = sum.Plus(r.need)
	}
	return sum
}

func (e *simEndpoint) start(order damsonwinch.StartRequest) error {
	switch {
	case !e.acceptToken(order.Token):
		return damsonwinch.ErrStaleToken
	case order.Attempt <= e.lastAttempts[order.Task]:
		e.renewLease(order.LeaseUntilMs)
		return damsonwinch.ErrStaleRun
	case order.LeaseUntilMs <= e.clockMs():
		return damsonwinch.ErrTooLate
	case e.runs[order.Run] != nil:
		return nil
	}
	e.renewLease(order.LeaseUntilMs)
	task := e.world.behaviourOf(order.Task)
	need := task.need
	if e.world.registry != nil {
		e.world.rules.checkCapacity(e, order, need)
	} else if !e.info.Capacity.Minus(e.used()).Holds(need) {
		return damsonwinch.ErrNoCapacity
	}
	e.world.rules.checkStart(e, order)
	r := &simRun{request: order, need: need, startedAt: e.world.now, ending: damsonwinch.EndedDone}
	if e.world.random.Float64() < task.failureRate {
		r.ending = damsonwinch.EndedFailed
	}
	r.endsAt = e.world.now.Add(task.duration)
	if task.longRunning {
		r.endsAt = e.world.now.Add(time.Hour)
	}
	e.runs[order.Run] = r
	if e.world.planner != nil {
		e.world.rules.checkCap(need.MilliCPU)
	}
	e.world.at(r.endsAt, func() { e.endRun(r, r.ending) })
	if task.crashes && order.Task.Phase == 0 && order.Task.Index == task.crashIndex {
		e.world.after(task.crashAfter, func() { e.crashUnder(order.Run) })
	}
	return nil
}

func (e *simEndpoint) endRun(r *simRun, how damsonwinch.Ending) {
	if e.exited || e.runs[r.request.Run] != r {
		return
	}
	delete(e.runs, r.request.Run)
	e.lastAttempts[r.request.Task] = max(e.lastAttempts[r.request.Task], r.request.Attempt)
	e.lastSequence++
	e.finished = append(e.finished, damsonwinch.RunResult{Run: r.request.Run, Sequence: e.lastSequence, Ending: how})
	e.world.rules.runEnded(e, r, how)
	waiting := e.onResult
	e.onResult, e.onExit = nil, nil
	for _, answer := range waiting {
		answer()
	}
}

func (e *simEndpoint) stop(order damsonwinch.StopRequest) error {
	if !e.acceptToken(order.Token) {
		return damsonwinch.ErrStaleToken
	}
	e.lastAttempts[order.Task] = max(e.lastAttempts[order.Task], order.Attempt)
	if r := e.runs[order.Run]; r != nil && !r.stopping {
		r.stopping = true
		e.world.after(e.world.randomDuration(0, 300*time.Millisecond), func() { e.endRun(r, damsonwinch.EndedStopped) })
	}
	return nil
}

func (e *simEndpoint) renewLease(until int) {
	until = min(until, e.clockMs()+int(simMaxLease.Milliseconds()))
	if until > e.leaseUntilMs {
		e.leaseUntilMs = until
		e.world.after(time.Duration(float64(until-e.clockMs())/e.drift)*time.Millisecond+time.Millisecond, e.expireLease)
	}
}

// expireLease kills everything once the lease is over.
func (e *simEndpoint) expireLease() {
	if e.exited || e.clockMs() < e.leaseUntilMs {
		return
	}
	for _, r := range e.sortedRuns() {
		e.endRun(r, damsonwinch.EndedLapsed)
	}
}

func (e *simEndpoint) sortedRuns() []*simRun {
	var found []*simRun
	for _, r := range e.runs {
		found = append(found, r)
	}
	slices.SortFunc(found, func(a, b *simRun) int { return cmp.Compare(a.request.Task.String(), b.request.Task.String()) })
	return found
}

// pollAddressedTo answers a look that is meant for a life. Where that is an earlier one, what the look
// acknowledges may be ends of this one, which nobody has taken note of: nothing in the call tells
// them apart.
func (e *simEndpoint) pollAddressedTo(life damsonwinch.Life, order damsonwinch.PollRequest) (damsonwinch.PollReply, error) {
	e.misaddressed = !life.MayBeSame(e.info.Life)
	defer func() { e.misaddressed = false }()
	return e.poll(order)
}

// poll answers at once; the world makes it wait where it should.
func (e *simEndpoint) poll(order damsonwinch.PollRequest) (damsonwinch.PollReply, error) {
	if !e.acceptToken(order.Token) {
		return damsonwinch.PollReply{}, damsonwinch.ErrStaleToken
	}
	for len(e.finished) > 0 && e.finished[0].Sequence <= order.AckedSequence {
		if !e.misaddressed {
			e.world.rules.resultAcked(e, e.finished[0])
		}
		e.finished = e.finished[1:]
	}
	if order.LeaseUntilMs > 0 {
		e.renewLease(order.LeaseUntilMs)
	}
	found := damsonwinch.PollReply{StartedUnixMs: e.reportedStartMs(), ClockMs: e.clockMs(), Finished: append([]damsonwinch.RunResult{}, e.finished...)}
	for _, r := range e.sortedRuns() {
		percent := 100
		if r.ending == damsonwinch.EndedDone && !e.world.behaviourOf(r.request.Task).longRunning {
			percent = int(100 * e.world.now.Sub(r.startedAt) / r.endsAt.Sub(r.startedAt))
		}
		found.Running = append(found.Running, damsonwinch.RunProgress{Run: r.request.Run, DonePercent: percent})
	}
	return found, nil
}

// crashUnder ends the life since it runs a task that it can't bear; another comes.
func (e *simEndpoint) crashUnder(which damsonwinch.Run) {
	if e.exited || e.runs[which] == nil {
		return
	}
	w := e.world
	w.logf("%s crashes under %s", e.info.Life, which.Task)
	w.rules.crashCounts[which.Task]++
	e.exit()
	w.after(w.randomDuration(2*time.Second, 4*time.Second), func() { w.addEndpoint(e.info.Box) })
}

// exit ends the life with all that runs there.
func (e *simEndpoint) exit() {
	e.exited = true
	for _, broken := range e.onExit {
		broken()
	}
	e.onExit = nil
	for _, r := range e.sortedRuns() {
		delete(e.runs, r.request.Run)
		e.world.rules.runLost(e, r)
	}
	e.onResult = nil
}
