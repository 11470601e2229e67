package cell

// leavers are runs that are to continue on other endpoints, with the endpoints that are counted on for them.
type leavers map[*endpoint][]*run

// leaveEvacuatedZones stops the runs in evacuated zones whose tasks can start in another zone now,
// as far as that interrupts no job too much. Their tasks are then placed there.
func (c *Cell) leaveEvacuatedZones() {
	if len(c.evacuations.zones) == 0 || !c.evacuationsKnown() {
		return
	}
	counted := c.countStoppedRuns()
	for _, e := range c.sortedEndpoints {
		if !e.zone.evacuated || e.exited {
			continue
		}
		for _, r := range e.sortedRuns() {
			if !r.stopping && r.state == runConfirmed && c.mayLeaveZone(r) && counted.add(c, r) {
				c.stop(r, "its zone is evacuated")
			}
		}
	}
}

// countStoppedRuns returns the runs in evacuated zones that are being stopped already. Their tasks need the
// capacity elsewhere that still seems to be free.
func (c *Cell) countStoppedRuns() leavers {
	counted := leavers{}
	for _, e := range c.sortedEndpoints {
		if !e.zone.evacuated || e.exited {
			continue
		}
		for _, r := range e.runsByStart {
			if r.stopping {
				counted.add(c, r)
			}
		}
	}
	return counted
}

// add counts on an endpoint for a run's task, which could start there now beside those that others are counted
// for, and returns false if there is none. Without that, one free place would stop all the runs that fit it, and
// all but one of them would wait.
func (l leavers) add(c *Cell, r *run) bool {
	for _, e := range c.sortedEndpoints {
		if e == r.endpoint || e.withdrawal.requested || !c.canStart(r.task, e) || !l.fits(r, e) {
			continue
		}
		l[e] = append(l[e], r)
		return true
	}
	return false
}

// fits reports whether an endpoint has capacity for a run's task beside those that it is counted on for.
func (l leavers) fits(r *run, e *endpoint) bool {
	p := r.task.phase
	free, ofPhase := e.free(), 0
	for _, other := range l[e] {
		free = free.Minus(other.task.phase.need())
		if other.task.phase == p {
			ofPhase++
		}
	}
	return free.Holds(p.need()) && (p.spec.MostPerBox == 0 || countOnEndpoint(p, e)+ofPhase < p.spec.MostPerBox)
}

// mayLeaveZone reports whether a run may be stopped because its zone is evacuated: the run of a
// long-running task while enough others of its phase are available, and a run with a checkpoint if
// its job can still meet its deadline and the run wouldn't end sooner than its move.
func (c *Cell) mayLeaveZone(r *run) bool {
	spec := r.task.phase.spec
	if spec.Lasting {
		return c.mayInterrupt(r.task.phase)
	}
	return spec.Checkpoints && !spec.Gang && c.canWaitForCapacity(r) && !c.endsBeforeMove(r)
}

// endsBeforeMove reports whether a run is expected to end in less time than it takes at most to stop it and to
// resume its task elsewhere. To move it would gain nothing and lose its work since the last checkpoint.
func (c *Cell) endsBeforeMove(r *run) bool {
	return c.estimateRemainingMs(r) <= int((c.options.MaxStopTime + c.options.RestoreTime).Milliseconds())
}

// longRunningInEvacuatedZones returns the long-running tasks that run in evacuated zones and may be moved, in
// the order of their endpoints.
func (c *Cell) longRunningInEvacuatedZones() []*task {
	if len(c.evacuations.zones) == 0 {
		return nil
	}
	var tasks []*task
	for _, e := range c.sortedEndpoints {
		for _, r := range e.runsByStart {
			if spec := r.task.phase.spec; spec.Lasting && !spec.Gang && spec.AwayAtMost > 0 && r.mustLeaveZone() {
				tasks = append(tasks, r.task)
			}
		}
	}
	return tasks
}

// mustLeaveZone reports whether the run is in an evacuated zone and goes on there until it is moved.
func (r *run) mustLeaveZone() bool {
	return r.endpoint.zone.evacuated && !r.endpoint.exited && r.state == runConfirmed
}

// reserveForEvacuated reserves endpoints for long-running tasks in evacuated zones that have found none with
// enough free capacity for reservationDelay; see reserveForLongRunning. It reserves for no more tasks of a phase
// than may be unavailable, since the others have to wait for those.
func (c *Cell) reserveForEvacuated() {
	reserved := map[*phase]int{}
	for _, t := range c.longRunningInEvacuatedZones() {
		p := t.phase
		if t.reservation == nil && (c.now.Sub(t.runs[0].endpoint.zone.evacuatedSince) < reservationDelay || reserved[p] >= p.spec.AwayAtMost || !c.reserveFor(t)) {
			continue
		}
		reserved[p]++
	}
}

// wantsReservation reports whether a task still needs an endpoint that is reserved for it: it waits, or it has
// to leave an evacuated zone.
func (t *task) wantsReservation() bool {
	return t.ready || len(t.runs) == 1 && t.runs[0].mustLeaveZone()
}
