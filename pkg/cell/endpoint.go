package cell

import (
	"fmt"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/fillerspeed"
	"damsonwinch/pkg/freecores"
	"damsonwinch/pkg/leasebound"
	"damsonwinch/pkg/responsiveness"
)

// endpoint is one life of the program that runs tasks on a box, as the cell's owner knows it.
type endpoint struct {
	info damsonwinch.Endpoint
	zone *zone
	// knownSince is when the endpoint became known to this owner. It had started by then.
	knownSince time.Time
	// listed is set while the registry lists the endpoint for this cell, and everListed once it has done so. A later
	// life under the ID of one of the cell's endpoints may belong to another cell.
	listed     bool
	everListed bool
	// pollDue is set while the endpoint is in Cell.pollDue.
	pollDue bool
	// coreEntry is the endpoint's place in its zone's index of free cores.
	coreEntry freecores.Entry
	// attached is set once the endpoint has answered a poll with this owner's token. From then on
	// it refuses requests of older owners, and all its runs are known.
	attached bool
	// attachedAt is when attached was set.
	attachedAt time.Time
	// exited is set once this life is taken to have exited. exitReported is set if that is known only
	// from a list of boxes, the owner's or the planner's, and exitStep is the step at which it was reported.
	exited       bool
	exitReported bool
	exitStep     int
	// withdrawn is set if the endpoint gets no more work because its box is to be moved or
	// maintained. withdrawal is the state of that withdrawal.
	withdrawn  bool
	withdrawal withdrawal
	// maintenanceDue is set while the endpoint's box still has to be maintained.
	maintenanceDue bool
	// runs holds the runs that may exist on the endpoint, and runsByStart the same runs in the
	// order in which they were started.
	runs        map[damsonwinch.Run]*run
	runsByStart []*run
	// used is the capacity that runs occupy.
	used damsonwinch.Resources
	// endedAtStep holds, by run, the step at which its result was applied, as long as polls are in flight that were sent
	// before that.
	endedAtStep map[damsonwinch.Run]int
	// strayRuns is the number of runs in the last poll's reply that the cell doesn't know. The
	// capacity that they use until they have ended isn't known.
	strayRuns int
	// strayRunsSince is since when each reply has had such runs; zero if the last one had none.
	strayRunsSince time.Time
	// lastBusy is when the last run was removed from the endpoint, or when the endpoint became
	// known.
	lastBusy time.Time
	leases   leasebound.Leases
	polls    polls
	// lapsedAttempts holds the attempts on the endpoint whose leases expired while it was out of
	// reach. Their results aren't known.
	lapsedAttempts []lapsedAttempt
	// pollWanted requests a poll that the endpoint answers at once.
	pollWanted bool
	// appliedSequence is the sequence number of the last result that has been applied to the state,
	// and recordedSequence that of the last one whose effect is recorded in the stream.
	appliedSequence  int
	recordedSequence int
	// silent is set if the last poll failed without a reply, and silentSince is when it did.
	// pollBroken is set if the connection of that poll broke while the endpoint held the poll: if
	// the endpoint has exited, it did so at that moment.
	silent      bool
	silentSince time.Time
	pollBroken  bool
	// silentStep is the step at silentSince.
	silentStep int
	// lastAnsweredAt is when the endpoint last answered a call, not counting replies that were
	// handled before the owner had caught up after a pause.
	lastAnsweredAt time.Time
	// aliveAt is when the endpoint became known or, if that was later, when the owner last handled an answer
	// of it. An older list of boxes doesn't show that it has exited. reportsBefore is the number of reports to the
	// planner that the owner had made by then.
	aliveAt       time.Time
	reportsBefore int
	// probation is the run that is on probation on the endpoint, and reservedFor the task that is
	// to be started on probation there next. Nothing else starts there meanwhile.
	probation   *run
	reservedFor *task
	// reservedTasks holds the long-running tasks that wait for the short tasks here to end. Nothing else
	// starts meanwhile.
	reservedTasks []*task
	// overdue is set while a call to the endpoint has been unanswered for longer than usual.
	overdue bool
	// calls counts the recent calls to the endpoint. suspected is set while so many of them stay
	// unanswered that the endpoint gets no new work.
	calls     responsiveness.Calls
	suspected bool
	// suspectedSince is when suspected was last set.
	suspectedSince time.Time
	// backoffUntil is the time until which no runs are planned here, after a start was refused or
	// could not be sent.
	backoffUntil time.Time
	refusals     refusals
	obstruction  obstruction
	health       health
	fillerSpeed  fillerspeed.Controller
	// lastFiller is the speed of the last filler task that ended there.
	lastFiller fillerspeed.Last
}

// usable reports whether new work may be started on the endpoint.
func (e *endpoint) usable() bool {
	return e.listed && e.attached && !e.exited && !e.withdrawn && !e.withdrawal.requested && !e.silent && !e.info.Draining && !e.zone.evacuated
}

// free returns the capacity that no run occupies.
func (e *endpoint) free() damsonwinch.Resources {
	return e.info.Capacity.Minus(e.used)
}

// hasLabel reports whether the endpoint has a label. It returns true for the empty label.
func (e *endpoint) hasLabel(label string) bool {
	return label == "" || slices.Contains(e.info.Labels, label)
}

// sortedRuns returns a copy of the endpoint's runs in the order of their starts. Runs may be added
// and removed while the caller iterates over it.
func (e *endpoint) sortedRuns() []*run {
	return slices.Clone(e.runsByStart)
}

// ensureEndpoint returns the endpoint with the given life, and adds it if it isn't known yet.
func (c *Cell) ensureEndpoint(life damsonwinch.Life) *endpoint {
	if known := c.endpoints[life]; known != nil {
		return known
	}
	e := &endpoint{
		info: damsonwinch.Endpoint{Life: life}, knownSince: c.now, aliveAt: c.now, reportsBefore: c.lastSync.reportNumber, runs: map[damsonwinch.Run]*run{}, lastBusy: c.now,
		leases: leasebound.Unknown(c.now, c.options.RenewalGrace, c.options.MaxLease),
	}
	e.coreEntry.Value = e
	c.endpoints[life] = e
	c.updateZone(e)
	c.sortedEndpoints = slices.Insert(c.sortedEndpoints, c.indexOfLife(life), e)
	return e
}

// SetEndpoints sets the cell's endpoints to those that the registry lists now. Others are kept
// while they may still hold runs or report results.
func (c *Cell) SetEndpoints(now time.Time, listed []damsonwinch.Endpoint) {
	c.beginEvent(now)
	c.endpointsChanged()
	defer c.finishEvent()
	present := make(map[damsonwinch.Life]bool, len(listed))
	for _, info := range listed {
		present[info.Life] = true
		e := c.ensureEndpoint(info.Life)
		if info.Draining && !e.info.Draining {
			c.logEndpoint("endpoint drains", e, "")
		}
		if !e.listed && !e.exited {
			c.logEndpoint("endpoint listed", e, "box "+info.Box+" at "+info.Address)
		}
		e.info, e.listed, e.everListed = info, true, true
		c.updateZone(e)
	}
	for _, e := range c.sortedEndpoints {
		if e.listed && !present[e.info.Life] {
			e.listed = false
			c.logEndpoint("endpoint unlisted", e, "")
		}
	}
	c.sweepEndpoints()
}

// lapsedResultWait is how long, after the leases on an endpoint that is no longer listed have
// expired, the cell waits for the endpoint to come back and report the results of attempts there.
// Network cuts that users report last up to 14 s.
const lapsedResultWait = 15 * time.Second

// sweepEndpoints removes the endpoints that are not listed, hold no runs and can report no results
// of lapsed attempts any more.
func (c *Cell) sweepEndpoints() {
	c.sortedEndpoints = slices.DeleteFunc(c.sortedEndpoints, func(e *endpoint) bool {
		mayReport := len(e.lapsedAttempts) > 0 && !e.exited && e.leases.ExpiredFor(c.now) < lapsedResultWait
		if e.listed || len(e.runs) > 0 || mayReport {
			return false
		}
		c.forgetLapsed(e)
		delete(c.endpoints, e.info.Life)
		e.zone.byFreeCores.Remove(&e.coreEntry)
		c.deleteEndpointRecord(e)
		return true
	})
}

// maxListLag is how long after the start of an endpoint the platform's lists of boxes may lack it, with a second for the value
// at which its clock starts. How far the lists of the users' platform lag isn't known.
const maxListLag = 2 * time.Second

// isYoung reports whether lists of boxes that are requested at the given time may lack the endpoint because it has just
// started. Its clock, which starts anew with each life, shows its age to any owner.
func (e *endpoint) isYoung(at time.Time) bool {
	clockMs, known := e.leases.ClockAt(at)
	return known && clockMs < int(maxListLag.Milliseconds())
}

// SetBoxes handles the platform's list of boxes, which was requested at requestedAt. The list
// distinguishes endpoints that have exited from those that merely can't be reached. The former are
// marked as lost, unless they have answered since the request: the box may have been down when the platform
// read its row, before the program started again. The list doesn't count either for an endpoint that had just started.
func (c *Cell) SetBoxes(now, requestedAt time.Time, boxes []damsonwinch.Box) {
	c.beginEvent(now)
	c.endpointsChanged()
	defer c.finishEvent()
	live := damsonwinch.NewLiveEndpoints(boxes)
	for _, e := range slices.Clone(c.sortedEndpoints) {
		// The list takes seconds to read, and doesn't have an endpoint that started meanwhile.
		if requestedAt.Before(e.aliveAt) || e.isYoung(requestedAt) {
			continue
		}
		if !live.MayInclude(e.info.Life.ID, e.info.Box) && !e.exited && !c.mayAnswer(e) && len(e.runs) > 0 {
			c.markLostByReport(e, "the platform's list of boxes does not have it", removal{
				reason: removedByBoxList, source: fmt.Sprintf("list requested %d ms ago", now.Sub(requestedAt).Milliseconds()),
			})
		}
	}
	c.sweepEndpoints()
}

// requestBoxList requests the platform's list of boxes while runs may exist on endpoints that can't
// be polled because their address isn't known. The registry does not list them any more, perhaps
// because they have exited.
func (c *Cell) requestBoxList() {
	for _, e := range c.sortedEndpoints {
		if len(e.runs) > 0 && !e.exited && !e.attached && e.info.Address == "" {
			c.effects.ListBoxes = true
			return
		}
	}
}

// expireLeases removes the runs on endpoints that can't be reached, once their leases have
// certainly expired. It also removes the runs that were kept for a life that has exited (see
// markLostKeeping).
func (c *Cell) expireLeases() {
	for _, e := range c.sortedEndpoints {
		answers := e.attached && !e.silent && !e.exited
		if len(e.runs) == 0 || answers || e.leases.ExpiredFor(c.now) <= 0 {
			continue
		}
		if e.exited {
			c.dropKeptRuns(e)
			continue
		}
		c.logEndpoint("leases lapsed", e, "out of reach")
		for _, r := range e.sortedRuns() {
			if r.state != runPending {
				c.markLapsed(r)
			}
		}
	}
}
