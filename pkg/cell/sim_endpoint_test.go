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
	drift    float64
	bornAt   time.Time
	entryLag time.Duration // Until its entry is in the registry.
	token    int
	until    int // End of the lease of all that runs, on its clock.
	runs     map[damsonwinch.Run]*simRun
	highest  map[damsonwinch.TaskID]int // Highest attempt stopped or ended here.
	finished []damsonwinch.RunResult
	number   int
	dead     bool
	misled   bool // It answers a look that is meant for an earlier life.
	// waiting are looks that wait for an end, and breaking the connections that break when
	// the life ends.
	waiting  []func()
	breaking []func()
	// before are the rooms that it has had.
	before []roomBefore
}

// simRun is a run on an endpoint.
type simRun struct {
	order   damsonwinch.StartRequest
	need    damsonwinch.Resources
	startAt time.Time
	endAt   time.Time
	how     damsonwinch.Ending
	stopped bool
}

func (e *simEndpoint) clock() int {
	return 1000 + int(float64(e.world.now.Sub(e.bornAt).Milliseconds())*e.drift)
}

// born is when it was born, as it tells it.
func (e *simEndpoint) born() int {
	if e.world.sabotage.idsAlone {
		return 0
	}
	return e.info.Life.StartedUnixMs
}

// take keeps out orders of older owners.
func (e *simEndpoint) take(token int) bool {
	if e.world.sabotage.noFencing {
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
	case !e.take(order.Token):
		return damsonwinch.ErrStaleToken
	case order.Attempt <= e.highest[order.Task]:
		e.prolong(order.LeaseUntilMs)
		return damsonwinch.ErrStaleRun
	case order.LeaseUntilMs <= e.clock():
		return damsonwinch.ErrTooLate
	case e.runs[order.Run] != nil:
		return nil
	}
	e.prolong(order.LeaseUntilMs)
	task := e.world.task(order.Task)
	need := task.need
	if e.world.room != nil {
		e.world.rules.fills(e, order, need)
	} else if !e.info.Capacity.Minus(e.used()).Holds(need) {
		return damsonwinch.ErrNoCapacity
	}
	e.world.rules.started(e, order)
	r := &simRun{order: order, need: need, startAt: e.world.now, how: damsonwinch.EndedDone}
	if e.world.random.Float64() < task.failing {
		r.how = damsonwinch.EndedFailed
	}
	r.endAt = e.world.now.Add(task.length)
	if task.lasting {
		r.endAt = e.world.now.Add(time.Hour)
	}
	e.runs[order.Run] = r
	if e.world.caps != nil {
		e.world.rules.capped(need.MilliCPU)
	}
	e.world.at(r.endAt, func() { e.end(r, r.how) })
	if task.crashes && order.Task.Phase == 0 && order.Task.Index == task.crashIndex {
		e.world.after(task.crashAfter, func() { e.crashUnder(order.Run) })
	}
	return nil
}

func (e *simEndpoint) end(r *simRun, how damsonwinch.Ending) {
	if e.dead || e.runs[r.order.Run] != r {
		return
	}
	delete(e.runs, r.order.Run)
	e.highest[r.order.Task] = max(e.highest[r.order.Task], r.order.Attempt)
	e.number++
	e.finished = append(e.finished, damsonwinch.RunResult{Run: r.order.Run, Sequence: e.number, Ending: how})
	e.world.rules.ended(e, r, how)
	waiting := e.waiting
	e.waiting, e.breaking = nil, nil
	for _, answer := range waiting {
		answer()
	}
}

func (e *simEndpoint) stop(order damsonwinch.StopRequest) error {
	if !e.take(order.Token) {
		return damsonwinch.ErrStaleToken
	}
	e.highest[order.Task] = max(e.highest[order.Task], order.Attempt)
	if r := e.runs[order.Run]; r != nil && !r.stopped {
		r.stopped = true
		e.world.after(e.world.between(0, 300*time.Millisecond), func() { e.end(r, damsonwinch.EndedStopped) })
	}
	return nil
}

func (e *simEndpoint) prolong(until int) {
	until = min(until, e.clock()+int(simLease.Milliseconds()))
	if until > e.until {
		e.until = until
		e.world.after(time.Duration(float64(until-e.clock())/e.drift)*time.Millisecond+time.Millisecond, e.lapse)
	}
}

// lapse kills everything once the lease is over.
func (e *simEndpoint) lapse() {
	if e.dead || e.clock() < e.until {
		return
	}
	for _, r := range e.sorted() {
		e.end(r, damsonwinch.EndedLapsed)
	}
}

func (e *simEndpoint) sorted() []*simRun {
	var found []*simRun
	for _, r := range e.runs {
		found = append(found, r)
	}
	slices.SortFunc(found, func(a, b *simRun) int { return cmp.Compare(a.order.Task.String(), b.order.Task.String()) })
	return found
}

// lookFor answers a look that is meant for a life. Where that is an earlier one, what the look
// acknowledges may be ends of this one, which nobody has taken note of: nothing in the call tells
// them apart.
func (e *simEndpoint) lookFor(life damsonwinch.Life, order damsonwinch.PollRequest) (damsonwinch.PollReply, error) {
	e.misled = !life.MayBeSame(e.info.Life)
	defer func() { e.misled = false }()
	return e.look(order)
}

// look answers at once; the world makes it wait where it should.
func (e *simEndpoint) look(order damsonwinch.PollRequest) (damsonwinch.PollReply, error) {
	if !e.take(order.Token) {
		return damsonwinch.PollReply{}, damsonwinch.ErrStaleToken
	}
	for len(e.finished) > 0 && e.finished[0].Sequence <= order.AckedSequence {
		if !e.misled {
			e.world.rules.noted(e, e.finished[0])
		}
		e.finished = e.finished[1:]
	}
	if order.LeaseUntilMs > 0 {
		e.prolong(order.LeaseUntilMs)
	}
	found := damsonwinch.PollReply{StartedUnixMs: e.born(), ClockMs: e.clock(), Finished: append([]damsonwinch.RunResult{}, e.finished...)}
	for _, r := range e.sorted() {
		percent := 100
		if r.how == damsonwinch.EndedDone && !e.world.task(r.order.Task).lasting {
			percent = int(100 * e.world.now.Sub(r.startAt) / r.endAt.Sub(r.startAt))
		}
		found.Running = append(found.Running, damsonwinch.RunProgress{Run: r.order.Run, DonePercent: percent})
	}
	return found, nil
}

// crashUnder ends the life since it runs a task that it can't bear; another comes.
func (e *simEndpoint) crashUnder(which damsonwinch.Run) {
	if e.dead || e.runs[which] == nil {
		return
	}
	w := e.world
	w.logf("%s crashes under %s", e.info.Life, which.Task)
	w.rules.crashedUnder[which.Task]++
	e.die()
	w.after(w.between(2*time.Second, 4*time.Second), func() { w.addEndpoint(e.info.Box) })
}

// die ends the life with all that runs there.
func (e *simEndpoint) die() {
	e.dead = true
	for _, broken := range e.breaking {
		broken()
	}
	e.breaking = nil
	for _, r := range e.sorted() {
		delete(e.runs, r.order.Run)
		e.world.rules.vanished(e, r)
	}
	e.waiting = nil
}
