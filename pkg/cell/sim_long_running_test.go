package cell_test

import (
	"fmt"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// Bounds of the rule on long-running tasks: while there is room for it, such a task runs again within maxAbsence,
// counted from minAbsence after its last run on, if there has been no fault meanwhile nor settleTime before.
const (
	minAbsence = 6 * time.Second
	maxAbsence = 3 * time.Second
	settleTime = 4 * time.Second
)

// longRunningRule checks that long-running tasks run again.
type longRunningRule struct {
	world *world
	// lastRanAt holds, by task, when it last ran, or when its job was accepted.
	lastRanAt map[damsonwinch.TaskID]time.Time
	// roomSince holds, by task that doesn't run, since when endpoints have had room for it.
	roomSince map[damsonwinch.TaskID]map[*simEndpoint]time.Time
	// restarts counts how often a task ran again after it had not run.
	restarts int
}

func newLongRunningRule(w *world) *longRunningRule {
	return &longRunningRule{world: w, lastRanAt: map[damsonwinch.TaskID]time.Time{}, roomSince: map[damsonwinch.TaskID]map[*simEndpoint]time.Time{}}
}

// check checks all long-running tasks, again and again.
func (l *longRunningRule) check() {
	for _, c := range l.world.clients {
		if !c.accepted || c.cancelRequested || !c.spec.Phases[0].Lasting {
			continue
		}
		for index := range c.spec.Phases[0].Count {
			l.checkTask(damsonwinch.TaskID{Job: c.id, Index: index})
		}
	}
	l.world.after(50*time.Millisecond, l.check)
}

// checkTask checks one task. One that may have been given up is not checked.
func (l *longRunningRule) checkTask(task damsonwinch.TaskID) {
	w := l.world
	if _, seen := l.lastRanAt[task]; !seen || w.rules.activeRuns[task] > 0 {
		if l.roomSince[task] != nil {
			l.restarts++
		}
		l.lastRanAt[task] = w.now
		delete(l.roomSince, task)
		return
	}
	roomFor := l.updateRoom(task)
	absent := w.now.Sub(l.lastRanAt[task])
	if absent < minAbsence+maxAbsence || w.mixed.calmFor() < settleTime+maxAbsence || roomFor < maxAbsence || w.rules.lossCounts[task] >= minLossesToGiveUp {
		return
	}
	w.restarts.logOwnersView(task.Job)
	w.rules.fail("LOST: long-running task %s has not run for %v, and an endpoint has had room for %v", task, absent, roomFor)
}

// updateRoom updates which endpoints have room for a task, and returns the longest time for which one has had it.
func (l *longRunningRule) updateRoom(task damsonwinch.TaskID) time.Duration {
	w, need := l.world, l.world.behaviourOf(task).need
	since := l.roomSince[task]
	if since == nil {
		since = map[*simEndpoint]time.Time{}
		l.roomSince[task] = since
	}
	longest := time.Duration(0)
	for _, e := range w.endpoints {
		if e.exited || w.mixed.has(unregistered+e.info.Box) || !e.info.Capacity.Minus(e.used()).Holds(need) || l.atLimit(task, e) {
			delete(since, e)
			continue
		}
		if _, seen := since[e]; !seen {
			since[e] = w.now
		}
		longest = max(longest, w.now.Sub(since[e]))
	}
	return longest
}

// atLimit reports whether an endpoint runs as many tasks of a task's phase as may run on one box.
func (l *longRunningRule) atLimit(task damsonwinch.TaskID, e *simEndpoint) bool {
	limit, count := l.world.rules.clientOf(task.Job).spec.Phases[task.Phase].MostPerBox, 0
	for run := range e.runs {
		if run.Task.Job == task.Job {
			count++
		}
	}
	return limit > 0 && count >= limit
}

// addLongRunningJobs adds clients with long-running jobs. Some of them fail again and again.
func (f *mixedFaults) addLongRunningJobs() {
	w := f.world
	for number := range 3 {
		fails := number == 0 || w.random.Float64() < 0.5
		w.after(w.randomDuration(0, 500*time.Millisecond), func() { f.addLongRunningJob(fmt.Sprintf("service%d", number), fails) })
	}
}

// addLongRunningJob adds a client with a long-running job, whose tasks need much memory and little CPU.
func (f *mixedFaults) addLongRunningJob(id string, fails bool) {
	w := f.world
	behaviour := taskBehaviour{need: damsonwinch.Resources{MilliCPU: 200, MemoryMB: 1000 + w.random.IntN(2500)}, longRunning: true}
	if fails {
		behaviour.maxUptime = w.randomDuration(5*time.Second, 60*time.Second)
	}
	phase := wire.Phase{Count: 1 + w.random.IntN(4), Cpu: behaviour.need.MilliCPU, MemoryMb: behaviour.need.MemoryMB, EstimateMs: 300, Lasting: true, AwayAtMost: 1}
	if w.random.Float64() < 0.6 {
		phase.MostPerBox = 1
	}
	c := w.addClient(id, simSpec(phase), behaviour)
	w.after(300*time.Millisecond, c.watchState)
}

// addDemand adds clients with short jobs: in turns of some seconds, five times the mean and then a twentieth of it.
func (f *mixedFaults) addDemand() {
	w := f.world
	const meanInterval = 2000 * time.Millisecond
	interval := meanInterval
	w.after(w.randomDuration(0, 2*time.Second), func() { interval = meanInterval / 5 })
	var turn func()
	turn = func() {
		if interval < meanInterval {
			interval = meanInterval * 20
		} else {
			interval = meanInterval / 5
		}
		w.after(w.randomDuration(2*time.Second, 8*time.Second), turn)
	}
	w.after(3*time.Second, turn)
	number := 0
	var arrive func()
	arrive = func() {
		if w.late != nil && w.now.After(w.late.demandEnds) {
			return
		}
		number++
		if w.random.Float64() < float64(meanInterval)/5/float64(interval) {
			f.addShortJob(fmt.Sprintf("job%d", number))
		}
		w.after(w.randomDuration(50*time.Millisecond, 2*meanInterval/5-50*time.Millisecond), arrive)
	}
	w.after(500*time.Millisecond, arrive)
}

// addShortJob adds a client with a job of one phase.
func (f *mixedFaults) addShortJob(id string) {
	w := f.world
	behaviour := taskBehaviour{
		need: damsonwinch.Resources{MilliCPU: 500 + w.random.IntN(3000), MemoryMB: 200 + w.random.IntN(1500)}, duration: w.randomDuration(100*time.Millisecond, 2*time.Second),
	}
	if w.random.Float64() < 0.1 {
		behaviour.failureRate = 0.4
	}
	phase := wire.Phase{Count: 1 + w.random.IntN(4), Cpu: behaviour.need.MilliCPU, MemoryMb: behaviour.need.MemoryMB, EstimateMs: 600}
	c := w.addClient(id, simSpec(phase), behaviour)
	w.after(300*time.Millisecond, c.watchUntilEnd)
}

// watchUntilEnd asks for the job's state about once a second until the job has ended.
func (c *simClient) watchUntilEnd() {
	c.checkState()
	if !c.accepted || c.unfinished() {
		c.world.after(c.world.randomDuration(500*time.Millisecond, 1500*time.Millisecond), c.watchUntilEnd)
	}
}
