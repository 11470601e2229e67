package boxplan_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/boxplan"
	"damsonwinch/pkg/wire"
)

const (
	// simTaskTime is the mean duration of the short tasks of a simulated cell. Each takes a whole box.
	simTaskTime = 700 * time.Millisecond
	// simEjection is for how long an endpoint gets no long-running task after one has failed there.
	simEjection = 8 * time.Second
	// simExitNotice is how long an endpoint that has exited stays registered.
	simExitNotice = 1500 * time.Millisecond
	// simTurn is the duration of the turn of a pool, in which it asks for five times its mean.
	simTurn = 5 * time.Second
)

// simEndpoint is an endpoint as the owner of its cell knows it.
type simEndpoint struct {
	life damsonwinch.Life
	box  string
	// exitedAt is when the life exited; zero while it goes on.
	exitedAt time.Time
	// requested, urgent, withdrawn and recorded are the progress of the endpoint's withdrawal.
	requested, urgent, withdrawn, recorded bool
	// busyUntil is when the short task there ends. lasting says that a long-running task runs there.
	busyUntil    time.Time
	lasting      bool
	ejectedUntil time.Time
	// silentUntil is until when the endpoint doesn't answer its owner.
	silentUntil time.Time
}

// silent reports whether the endpoint doesn't answer.
func (e *simEndpoint) silent(now time.Time) bool {
	return !e.exitedAt.IsZero() || now.Before(e.silentUntil)
}

// usable reports whether new work may be started on the endpoint.
func (e *simEndpoint) usable(now time.Time) bool {
	return !e.silent(now) && !e.requested && !e.withdrawn
}

// mayHost reports whether the endpoint can take a long-running task once its short task has ended.
func (e *simEndpoint) mayHost(now time.Time) bool {
	return e.usable(now) && !e.lasting && !now.Before(e.ejectedUntil)
}

// simCell is a stand-in for a cell and its owner. Long-running tasks must be on different boxes.
type simCell struct {
	random *rand.Rand
	// mean is the mean demand of short tasks, in boxes; turn is the number of the turn in which it is high.
	mean        float64
	turn, turns int
	// longRunning is the number of long-running tasks, and reportsSpread says that the report has it.
	longRunning   int
	reportsSpread bool
	backlog       float64
	endpoints     []*simEndpoint
	// unreachableUntil is until when the planner's calls get no answer.
	unreachableUntil time.Time
}

// demand returns the demand of short tasks, in boxes, at a time since the start.
func (c *simCell) demand(since time.Duration) float64 {
	if int(since/simTurn)%c.turns == c.turn {
		return c.mean * 5
	}
	return c.mean / 20
}

// running returns how many of the long-running tasks run.
func (c *simCell) running() int {
	count := 0
	for _, e := range c.endpoints {
		if e.lasting && e.exitedAt.IsZero() {
			count++
		}
	}
	return count
}

// usableBoxes returns how many endpoints are usable.
func (c *simCell) usableBoxes(now time.Time) int {
	count := 0
	for _, e := range c.endpoints {
		if e.usable(now) {
			count++
		}
	}
	return count
}

// missingBoxes returns how many long-running tasks have no endpoint that could take them.
func (c *simCell) missingBoxes(now time.Time) int {
	missing := c.longRunning - c.running()
	for _, e := range c.endpoints {
		if e.mayHost(now) {
			missing--
		}
	}
	return max(0, missing)
}

// tick starts and ends tasks.
func (c *simCell) tick(now time.Time, since, passed time.Duration) {
	c.backlog += c.demand(since) * float64(passed) / float64(simTaskTime)
	c.endpoints = slices.DeleteFunc(c.endpoints, func(e *simEndpoint) bool {
		return !e.exitedAt.IsZero() && now.Sub(e.exitedAt) > simExitNotice
	})
	waiting := c.longRunning - c.running()
	for _, e := range c.endpoints {
		if waiting > 0 && e.mayHost(now) {
			// The endpoint is reserved until its short task has ended.
			waiting--
			e.lasting = !now.Before(e.busyUntil)
			continue
		}
		if c.backlog >= 1 && e.usable(now) && !e.lasting && !now.Before(e.busyUntil) {
			c.backlog--
			e.busyUntil = now.Add(time.Duration((0.5 + c.random.Float64()) * float64(simTaskTime)))
		}
	}
	for _, e := range c.endpoints {
		c.continueWithdrawal(now, e)
	}
}

// continueWithdrawal goes on with the withdrawal of an endpoint. No more than one long-running task is
// interrupted at a time.
func (c *simCell) continueWithdrawal(now time.Time, e *simEndpoint) {
	if !e.requested || e.withdrawn || e.silent(now) {
		return
	}
	if e.lasting && c.running() == c.longRunning && (e.urgent || c.hostIsFree(now)) {
		e.lasting = false
	}
	if !e.lasting && !now.Before(e.busyUntil) {
		e.withdrawn = true
	}
}

// hostIsFree reports whether a long-running task could start now.
func (c *simCell) hostIsFree(now time.Time) bool {
	return slices.ContainsFunc(c.endpoints, func(e *simEndpoint) bool { return e.mayHost(now) && !now.Before(e.busyUntil) })
}

// failTask has a long-running task fail, if one runs. Its endpoint gets none for a while.
func (c *simCell) failTask(now time.Time) {
	for _, e := range c.endpoints {
		if e.lasting && e.exitedAt.IsZero() {
			e.lasting, e.ejectedUntil = false, now.Add(simEjection)
			return
		}
	}
}

// loseOwner has another owner take the cell over, which doesn't know of withdrawals that aren't recorded.
func (c *simCell) loseOwner() {
	for _, e := range c.endpoints {
		e.requested, e.urgent = false, false
		e.withdrawn = e.withdrawn && e.recorded
	}
}

// apply applies the planner's directives.
func (c *simCell) apply(directives boxplan.Directives) {
	for _, e := range c.endpoints {
		names := func(lives []string) bool {
			return slices.ContainsFunc(lives, func(text string) bool { return damsonwinch.ParseLife(text).MayBeSame(e.life) })
		}
		e.urgent = names(directives.WithdrawUrgently)
		e.requested = e.urgent || names(directives.Withdraw)
		if names(directives.Restore) && e.withdrawn {
			e.withdrawn, e.recorded, e.requested = false, false, false
		}
	}
}

// report returns the owner's report on the cell.
func (c *simCell) report(now time.Time, since time.Duration) wire.SyncReply {
	waiting := c.longRunning - c.running()
	offered := int(c.demand(since) * scriptMilliCPU)
	report := wire.SyncReply{
		Known: true, TaskMs: int(simTaskTime.Milliseconds()), SlackMs: 1200, MissingBoxes: c.missingBoxes(now),
		WaitingCpu: int(c.backlog) * scriptMilliCPU, SteadyCpu: offered, OfferedCpu: offered, LastingCpu: (c.running() + waiting) * scriptMilliCPU / 4,
	}
	if c.reportsSpread {
		report.Spread = c.longRunning
	}
	for _, e := range c.endpoints {
		row := wire.EndpointReport{Endpoint: e.life.String(), Box: e.box, Usable: e.usable(now), Withdrawn: e.withdrawn && e.recorded, Silent: e.silent(now)}
		if waiting > 0 && e.mayHost(now) {
			waiting--
			row.NeededByLasting = true
		}
		if e.lasting {
			row.Lasting, row.Runs, row.UsedCpu = 1, 1, scriptMilliCPU/4
		} else if left := e.busyUntil.Sub(now); left > 0 {
			row.Runs, row.EmptyMs, row.UsedCpu = 1, int(left.Milliseconds()), scriptMilliCPU
			report.RunningCpu += scriptMilliCPU
		}
		report.Endpoints = append(report.Endpoints, row)
	}
	return report
}
