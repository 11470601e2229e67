package cell_test

import (
	"time"

	"damsonwinch"
)

// gangWait is how long a member of a gang waits on its endpoint for the others.
const gangWait = 4 * time.Second

// isGang reports whether a task belongs to a gang.
func (w *world) isGang(task damsonwinch.TaskID) bool {
	c := w.rules.clientOf(task.Job)
	return c != nil && c.spec.Phases[task.Phase].Gang
}

// gangMember is a run of a gang's member.
type gangMember struct {
	endpoint *simEndpoint
	run      *simRun
}

// gangMembers returns the runs of the gang that a task belongs to.
func (w *world) gangMembers(task damsonwinch.TaskID) []gangMember {
	var members []gangMember
	for _, e := range w.endpoints {
		for _, r := range e.sortedRuns() {
			if other := r.request.Task; other.Job == task.Job && other.Round == task.Round && other.Phase == task.Phase {
				members = append(members, gangMember{endpoint: e, run: r})
			}
		}
	}
	return members
}

// startGangMember lets a run wait for the other members of its gang. Once all are there, they work for the given time
// and end together.
func (w *world) startGangMember(e *simEndpoint, r *simRun, duration time.Duration) {
	task := r.request.Task
	r.endsAt = w.now.Add(gangWait + duration)
	if members := w.gangMembers(task); len(members) == w.gangSize(task) {
		for _, m := range members {
			m.run.workingSince = w.now
		}
		w.after(duration, func() { w.completeGang(e, r) })
		return
	}
	w.after(gangWait, func() {
		if len(w.gangMembers(task)) < w.gangSize(task) {
			e.endRun(r, damsonwinch.EndedGangIncomplete)
		}
	})
}

// gangSize returns the number of members of the gang that a task belongs to.
func (w *world) gangSize(task damsonwinch.TaskID) int {
	return w.rules.clientOf(task.Job).spec.Phases[task.Phase].Count
}

// completeGang ends the members of a gang, of which last was the last one to start. They are done, unless an endpoint
// has exited under one of them.
func (w *world) completeGang(e *simEndpoint, last *simRun) {
	task := last.request.Task
	if e.runs[last.request.Run] != last {
		return
	}
	ending := damsonwinch.EndedDone
	if len(w.gangMembers(task)) < w.gangSize(task) {
		ending = damsonwinch.EndedGangFailed
	}
	w.endGang(task, ending)
}

// endGang ends all members of a gang, because one of them has ended.
func (w *world) endGang(task damsonwinch.TaskID, ending damsonwinch.Ending) {
	for _, m := range w.gangMembers(task) {
		m.endpoint.endRun(m.run, ending)
	}
}
