package cell_test

import (
	"slices"
	"time"

	"damsonwinch"
)

// Bounds of the rule on restarts: in calm, a long-running task that has run before doesn't wait for longer than
// maxRestartWait while minRoomEndpoints endpoints have had room for it for minRoomTime. It is calm once there has been
// no fault for restartCalm. minRoomTime is longer than an owner takes to see an endpoint that has become free.
const (
	maxRestartWait   = 6 * time.Second
	restartCalm      = 7 * time.Second
	minRoomEndpoints = 2
	minRoomTime      = 3 * time.Second
)

// restartRule checks that long-running tasks which have run before run again in time. What counts as room is what an
// observer of the endpoints sees, whatever the owners know: an endpoint that a planner has had withdrawn counts, since
// it is idle. One whose box has been ordered away has exited and doesn't count.
type restartRule struct {
	world *world
	// lastRanAt holds, by task, when it last ran, and roomSince, by task that doesn't run, since when each
	// endpoint has had room for it.
	lastRanAt map[damsonwinch.TaskID]time.Time
	roomSince map[damsonwinch.TaskID]map[*simEndpoint]time.Time
	// restarts counts how often a task ran again after it had not run, and waits how often one waited in calm for
	// longer than maxRestartWait because there was no room for it.
	restarts, waits int
	// longestWait is the longest wait in calm, with room for it or without.
	longestWait time.Duration
}

func newRestartRule(w *world) *restartRule {
	return &restartRule{world: w, lastRanAt: map[damsonwinch.TaskID]time.Time{}, roomSince: map[damsonwinch.TaskID]map[*simEndpoint]time.Time{}}
}

// check checks all long-running tasks, again and again. It leaves out tasks that may have been given up, and
// simulations with a customer's cap: what the cap holds back has room and must wait.
func (r *restartRule) check() {
	w := r.world
	if w.planner != nil {
		return
	}
	calm := w.calmFor()
	listed := map[damsonwinch.Life]bool{}
	for _, info := range w.listedEndpoints() {
		listed[info.Life] = true
	}
	for _, c := range w.clients {
		for number, phase := range c.spec.Phases {
			if !phase.Lasting || c.cancelRequested {
				continue
			}
			for index := range phase.Count {
				r.checkTask(damsonwinch.TaskID{Job: c.id, Phase: number, Index: index}, listed, calm)
			}
		}
	}
	w.after(50*time.Millisecond, r.check)
}

// checkTask checks one task. listed holds the endpoints that the registry lists, and calm is for how long there has
// been no fault.
func (r *restartRule) checkTask(task damsonwinch.TaskID, listed map[damsonwinch.Life]bool, calm time.Duration) {
	w := r.world
	if w.rules.activeRuns[task] > 0 {
		if r.roomSince[task] != nil {
			r.restarts++
		}
		r.lastRanAt[task] = w.now
		delete(r.roomSince, task)
		return
	}
	lastRanAt, hasRun := r.lastRanAt[task]
	if !hasRun || w.rules.lossCounts[task] >= minLossesToGiveUp {
		return
	}
	withRoom := r.updateRoom(task, listed)
	wait := w.now.Sub(lastRanAt)
	if calm < restartCalm {
		return
	}
	r.longestWait = max(r.longestWait, wait)
	if wait <= maxRestartWait {
		return
	}
	if wait <= maxRestartWait+50*time.Millisecond {
		r.waits++
	}
	if len(withRoom) < minRoomEndpoints {
		return
	}
	r.logOwnersView(task.Job)
	w.rules.fail("RESTART: long-running task %s has waited for %v with room on %d endpoints: %v", task, wait, len(withRoom), withRoom)
}

// updateRoom updates which endpoints have room for a task, and returns the lives of those that have had it for
// minRoomTime.
func (r *restartRule) updateRoom(task damsonwinch.TaskID, listed map[damsonwinch.Life]bool) []string {
	w := r.world
	since := r.roomSince[task]
	if since == nil {
		since = map[*simEndpoint]time.Time{}
		r.roomSince[task] = since
	}
	var withRoom []string
	for _, e := range w.endpoints {
		if !listed[e.info.Life] || !w.hasRoomFor(task, e) {
			delete(since, e)
			continue
		}
		if _, seen := since[e]; !seen {
			since[e] = w.now
		}
		if w.now.Sub(since[e]) >= minRoomTime {
			withRoom = append(withRoom, e.info.Life.String())
		}
	}
	return withRoom
}

// hasRoomFor reports whether an endpoint that is up has room for a task beside all that runs there.
func (w *world) hasRoomFor(task damsonwinch.TaskID, e *simEndpoint) bool {
	phase := w.rules.clientOf(task.Job).spec.Phases[task.Phase]
	if e.exited || !e.info.Capacity.Minus(e.used()).Holds(w.behaviourOf(task).need) {
		return false
	}
	if phase.Label != "" && !slices.Contains(e.info.Labels, phase.Label) {
		return false
	}
	if w.operator != nil {
		if _, evacuated := w.operator.evacuatedAt[e.info.Zone]; evacuated {
			return false
		}
	}
	count := 0
	for run := range e.runs {
		if run.Task.Job == task.Job && run.Task.Phase == task.Phase {
			count++
		}
	}
	return phase.MostPerBox == 0 || count < phase.MostPerBox
}

// calmFor returns for how long there has been no fault. It has to be called all the time.
func (w *world) calmFor() time.Duration {
	switch {
	case w.mixed != nil:
		return w.mixed.calmFor()
	case w.faultsOn || w.registry != nil && w.registry.down:
		w.disturbedAt = w.now
	}
	return w.now.Sub(w.disturbedAt)
}

// logOwnersView logs what the newest owner says of a job's tasks and endpoints, and the planner of the cells.
func (r *restartRule) logOwnersView(job string) {
	w := r.world
	if len(w.owners) == 0 {
		return
	}
	o := w.owners[len(w.owners)-1]
	w.logf("owner %s, ready %v, exited %v, paused %v", o.name, o.ready, o.exited, w.now.Before(o.pausedUntil))
	for _, line := range o.cell.Explain(job) {
		w.logf("%s: %s", o.name, line)
	}
	if w.fleet != nil {
		for _, line := range w.fleet.planner.Summary() {
			w.logf("planner: %s", line)
		}
	}
}
