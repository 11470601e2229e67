package cell

import (
	"fmt"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/permit"
)

// Limits of the calls for permits.
const (
	// maxEndpointsPerCall is the highest number of endpoints in one call. Each of them adds to the
	// time that the call takes, and the time targets of phases assume a call for 30 endpoints.
	maxEndpointsPerCall = 30
	// maxEndpointsPerGangCall is the same for a gang, which needs all its permits at the same time. The service accepts
	// no more.
	maxEndpointsPerGangCall = 100
	// assumedPermitTTL is how long permits are taken to be valid if nobody says so.
	assumedPermitTTL = time.Second
	// sparePermits is how many times as much room a call asks for as the waiting tasks need, because not all endpoints
	// are permitted.
	sparePermits = 2
)

// permitTurn says how far the cell is with its next call for permits.
type permitTurn int

const (
	permitTurnIdle permitTurn = iota
	// permitTurnAwaited: the cell has asked for its node's turn at the service.
	permitTurnAwaited
	// permitTurnTaken: a call is in flight.
	permitTurnTaken
)

// permitCalls holds what the cell knows of its calls for permits. It makes one at a time, and composes it only when its
// node has its turn: until then endpoints may be taken, and phases may need permits more urgently or not any more.
type permitCalls struct {
	turn permitTurn
	// turns decides for which phase the next one is.
	turns permit.Turns
	// heldStarts are recorded starts whose permits have expired meanwhile. They are sent once there are new ones.
	heldStarts []*run
}

// PermitRequest is a call to the advice service for permits to run a phase on endpoints. The service knows
// them by their IDs; its tickets hold for the lives that have these IDs now. The owner passes the reply to
// Advised.
type PermitRequest struct {
	Job   string
	Round int
	Phase int
	Lives []damsonwinch.Life
	// Needed is how long the service takes for the call, or 0 if that isn't known.
	Needed time.Duration
}

// EndpointIDs returns the IDs of the endpoints.
func (r PermitRequest) EndpointIDs() []string {
	ids := make([]string, 0, len(r.Lives))
	for _, life := range r.Lives {
		ids = append(ids, life.ID)
	}
	return ids
}

// needsPermit reports whether the phase may run only where the advice service permits it.
func (c *Cell) needsPermit(p *phase) bool {
	return p.job().terms.advice != nil || p.job().needsTickets
}

// hasPermit reports whether a phase has a permit for an endpoint that is valid for long enough, or
// needs none.
func (c *Cell) hasPermit(p *phase, e *endpoint) bool {
	return !c.needsPermit(p) || p.permits.Valid(c.now, e.info.Life)
}

// mayGetPermit reports whether a phase needs no permit for an endpoint, or can have one when it starts there.
func (c *Cell) mayGetPermit(p *phase, e *endpoint) bool {
	return !c.needsPermit(p) || p.permits.Permitted(e.info.Life)
}

// awaitPermitTurn asks for the node's turn at the advice service if one of the phases wants permits.
func (c *Cell) awaitPermitTurn(phases ...*phase) {
	if c.permitCalls.turn != permitTurnIdle || !slices.ContainsFunc(phases, c.wantsPermits) {
		return
	}
	c.permitCalls.turn = permitTurnAwaited
	c.effects.PermitTurn = true
}

// wantsPermits reports whether a call for permits would be of use to a phase now.
func (c *Cell) wantsPermits(p *phase) bool {
	if !c.needsPermit(p) || !p.permits.MayAsk(c.now) {
		return false
	}
	return len(c.unpermittedStarts(p)) > 0 || !c.waitsForAllowance(p) && len(c.permitCandidates(p)) > 0
}

// NextPermitRequest returns the call for permits that is the most urgent now that the node has its turn at the advice
// service, and whether any is to be made.
func (c *Cell) NextPermitRequest(now time.Time) (PermitRequest, bool) {
	c.beginEvent(now)
	defer c.finishEvent()
	p := c.choosePermitPhase()
	if p == nil {
		c.permitCalls.turn = permitTurnIdle
		return PermitRequest{}, false
	}
	c.permitCalls.turn = permitTurnTaken
	c.permitCalls.turns.Take(&p.permits)
	request := c.composePermitRequest(p)
	p.permits.Asked(now)
	c.stats.PermitCalls++
	return request, true
}

// choosePermitPhase returns the phase for which permits are asked for next, or nil. First come phases with starts that are
// held back, then those of the most urgent class, in turn. Phases that have let their last permits expire, because there
// was no capacity or they are gangs, take turns of their own.
func (c *Cell) choosePermitPhase() *phase {
	for _, r := range c.permitCalls.heldStarts {
		if c.wantsPermits(r.task.phase) {
			return r.task.phase
		}
	}
	var urgent, unused *phase
	for _, class := range c.permitClasses() {
		if urgent == nil {
			urgent = c.chooseInClass(class)
		}
		for _, p := range class {
			if p.permits.Unused() && (unused == nil || p.permits.TurnBefore(&unused.permits)) && c.wantsPermits(p) {
				unused = p
			}
		}
	}
	if urgent == nil || unused != nil && c.permitCalls.turns.UnusedNext() {
		return unused
	}
	return urgent
}

// permitClasses returns the open phases in classes, the most urgent one first. The phases of a class have the same priority
// and are alike in time, deferred or late; they take turns. Phases of jobs over their customers' shares keep their ranks.
func (c *Cell) permitClasses() [][]*phase {
	var classes [][]*phase
	for _, phases := range c.phasesInOrder() {
		for at, p := range phases {
			if at > 0 && !p.job().overShare && p.job().priority == phases[at-1].job().priority {
				last := len(classes) - 1
				classes[last] = append(classes[last], p)
				continue
			}
			classes = append(classes, []*phase{p})
		}
	}
	return classes
}

// chooseInClass returns the phase of a class for which permits are asked for next, apart from those that have let their
// last permits expire, or nil. Those that have had no turn are in order of their deadlines, the others in order of their
// last turns.
func (c *Cell) chooseInClass(class []*phase) *phase {
	var first, repeated *phase
	for _, p := range class {
		switch {
		case p.permits.Unused():
		case !p.permits.HadTurn():
			if first == nil && c.wantsPermits(p) {
				first = p
			}
		case (repeated == nil || p.permits.TurnBefore(&repeated.permits)) && c.wantsPermits(p):
			repeated = p
		}
	}
	if first == nil || repeated != nil && c.permitCalls.turns.RepeatNext() {
		return repeated
	}
	return first
}

// composePermitRequest returns a call for a phase. It names the endpoints of starts that are held back, and of those that
// could take the phase's tasks the best ones. It names no more than are needed, unless the further ones cost less time
// than another call would.
func (c *Cell) composePermitRequest(p *phase) PermitRequest {
	request := PermitRequest{Job: p.job().id, Round: p.round.number, Phase: p.number}
	for _, r := range c.unpermittedStarts(p) {
		if !slices.Contains(request.Lives, r.endpoint.info.Life) {
			request.Lives = append(request.Lives, r.endpoint.info.Life)
		}
	}
	most := maxEndpointsPerCall
	if p.spec.Gang {
		most = maxEndpointsPerGangCall
	}
	enough := endpointsPerCallTime(p.job().terms.advice)
	room := 0
	for _, e := range c.permitCandidates(p) {
		if len(request.Lives) >= most || len(request.Lives) >= enough && room >= sparePermits*len(p.ready) {
			break
		}
		request.Lives = append(request.Lives, e.info.Life)
		room += max(1, c.tasksThatFit(p, e))
	}
	if advice := p.job().terms.advice; advice != nil {
		request.Needed = advice.CallTime + time.Duration(len(request.Lives))*advice.TimePerEndpoint
	}
	return request
}

// endpointsPerCallTime returns how many endpoints add as much time to a call as it takes without any. It returns
// maxEndpointsPerCall if that is less or isn't known.
func endpointsPerCallTime(advice *damsonwinch.AdviceTimes) int {
	if advice == nil || advice.TimePerEndpoint <= 0 {
		return maxEndpointsPerCall
	}
	return int(min(advice.CallTime/advice.TimePerEndpoint, maxEndpointsPerCall))
}

// tasksThatFit returns how many tasks of a phase there is capacity for on an endpoint.
func (c *Cell) tasksThatFit(p *phase, e *endpoint) int {
	fitting := len(p.ready)
	free, need := e.free(), p.need()
	for _, amounts := range [][2]int{{free.MilliCPU, need.MilliCPU}, {free.MemoryMB, need.MemoryMB}, {free.GPUs, need.GPUs}} {
		if amounts[1] > 0 {
			fitting = min(fitting, amounts[0]/amounts[1])
		}
	}
	if p.spec.MostPerBox > 0 {
		fitting = min(fitting, p.spec.MostPerBox-countOnEndpoint(p, e))
	}
	return fitting
}

// permitCandidates returns the endpoints that could take a phase's next task if the phase had a permit, the best ones
// first. If none can now, it returns for a long-running task those that could once their short tasks have ended and on
// which the service has not decided yet: only an endpoint with a permit is reserved.
func (c *Cell) permitCandidates(p *phase) []*endpoint {
	at := slices.IndexFunc(p.ready, func(t *task) bool { return !c.mustWait(t) })
	if at < 0 {
		return nil
	}
	t := p.ready[at]
	var now, later []*endpoint
	for _, e := range c.sortedEndpoints {
		switch life := e.info.Life; {
		case p.permits.Refused(life):
		case c.canHost(t, e):
			if !c.hasPermit(p, e) {
				now = append(now, e)
			}
		case p.spec.Lasting && !p.permits.Permitted(life) && c.fitsBesideLongRunning(t, e):
			later = append(later, e)
		}
	}
	candidates := now
	if len(now) == 0 {
		candidates = later
	}
	slices.SortStableFunc(candidates, func(x, y *endpoint) int { return c.score(t, y) - c.score(t, x) })
	return candidates
}

// Advised handles the reply to a call for permits, which was sent at sentAt. The permits are valid for the given time.
func (c *Cell) Advised(now, sentAt time.Time, request PermitRequest, permits []damsonwinch.Permit, valid time.Duration, err error) {
	c.beginEvent(now)
	c.endpointsChanged()
	defer c.finishEvent()
	c.permitCalls.turn = permitTurnIdle
	t := c.findTask(damsonwinch.TaskID{Job: request.Job, Round: request.Round, Phase: request.Phase})
	if t == nil {
		return
	}
	p := t.phase
	if err != nil {
		p.permits.Failed()
		c.logJob("no advice", p.job(), err.Error())
	} else {
		c.grantPermits(p, sentAt, request, permits, valid)
	}
	c.sendHeldStarts()
	for _, r := range c.unpermittedStarts(p) {
		c.dropHeldStart(r)
	}
}

// grantPermits notes the permits of a reply. They are valid from when the service can have given them at the earliest:
// the reply may have been on its way for long. If they are too old by that, the endpoints have to say whether they are:
// each call may take that long.
func (c *Cell) grantPermits(p *phase, sentAt time.Time, request PermitRequest, permits []damsonwinch.Permit, valid time.Duration) {
	if advice := p.job().terms.advice; valid == 0 && advice != nil {
		valid = advice.PermitTTL
	}
	if valid == 0 {
		valid = assumedPermitTTL
	}
	givenAt := sentAt.Add(request.Needed)
	if givenAt.After(c.now) {
		givenAt = c.now
	}
	p.permits.Answered(request.Lives, permits, givenAt, valid)
	isUsable := func(life damsonwinch.Life) bool { return p.permits.Valid(c.now, life) }
	if len(permits) == 0 || slices.ContainsFunc(request.Lives, isUsable) {
		return
	}
	c.stats.PermitsLate++
	c.logJob("permits came too late", p.job(), fmt.Sprintf("valid for %d ms, asked for %d ms ago", valid.Milliseconds(), c.now.Sub(sentAt).Milliseconds()))
	p.permits.Answered(request.Lives, permits, c.now, valid)
}

// lacksPermit reports whether a recorded start has to wait for a permit. The members of a gang wait for each other.
func (c *Cell) lacksPermit(r *run) bool {
	p := r.task.phase
	if !p.spec.Gang {
		return !c.hasPermit(p, r.endpoint)
	}
	for _, t := range p.tasks {
		for _, member := range t.runs {
			if member.state == runPending && !c.hasPermit(p, member.endpoint) {
				return true
			}
		}
	}
	return false
}

// unpermittedStarts returns the starts of a phase that are held back and for whose endpoints it has no valid permit.
func (c *Cell) unpermittedStarts(p *phase) []*run {
	var starts []*run
	for _, r := range c.permitCalls.heldStarts {
		if r.task.phase == p && !c.hasPermit(p, r.endpoint) {
			starts = append(starts, r)
		}
	}
	return starts
}

// sendHeldStarts sends the starts that are held back, as far as there are permits by now, and drops those that must not
// be sent any more. For the others it asks for the node's turn at the advice service.
func (c *Cell) sendHeldStarts() {
	held := c.permitCalls.heldStarts
	c.permitCalls.heldStarts = nil
	for _, r := range held {
		c.sendStart(r)
	}
	for _, r := range c.permitCalls.heldStarts {
		c.awaitPermitTurn(r.task.phase)
	}
}

// dropHeldStart removes a run whose start is held back. It has certainly not begun.
func (c *Cell) dropHeldStart(r *run) {
	c.permitCalls.heldStarts = slices.DeleteFunc(c.permitCalls.heldStarts, func(other *run) bool { return other == r })
	c.dropStart(r, "there is no permit for its endpoint")
}
