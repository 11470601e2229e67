package cell

import (
	"cmp"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/crash"
	"damsonwinch/pkg/wire"
)

// job is a job as its owner knows it.
type job struct {
	id    string
	queue string
	// customer is whose key handed it in, empty for nobody's.
	customer   string
	spec       wire.JobSpec
	acceptedMs int
	// clientWaitsUntil is until when a client waits to hear that the job is kept.
	clientWaitsUntil time.Time
	dueMs            int
	endedMs          int
	priority         int
	// maxAttempts is the queue's limit when the job came; a newer one of the
	// queue goes before it.
	maxAttempts int
	// state is what the owner has decided, and shown what the stream holds.
	state         wire.JobState
	recordedState wire.JobState
	// recorded says that the stream holds the job.
	recorded bool
	// placed says that an endpoint has been chosen for a task, and begun that a task is
	// known to have started.
	placed bool
	begun  bool
	rounds []*round
	// runCount counts attempts that may be running.
	runCount int
	// criticalPathMs tells, by phase, how long the job takes from there on.
	criticalPathMs []int
	// taskMs is the time that a task of each phase is expected to take, and work that
	// of all of them times their room, in thousandths of a core times milliseconds.
	taskMs []int
	work   int
	// homeZone is the zone where its tasks are started, as far as there is room.
	homeZone *zone
	// specRecorded says that the stream holds, or is being given, the job's text.
	specRecorded bool
}

// ended says whether the job's end is decided.
func (j *job) ended() bool {
	return j.state == wire.JobStateCompleted || j.state == wire.JobStateFailed || j.state == wire.JobStateCancelled
}

// round is one time that a job's phases run.
type round struct {
	job    *job
	number int
	phases []*phase
	// unfinishedPhases counts phases that are not done.
	unfinishedPhases int
}

// phase is a set of like tasks of a round.
type phase struct {
	round  *round
	number int
	spec   *wire.Phase
	tasks  []*task
	// unfinishedDeps counts earlier phases that are not done.
	unfinishedDeps int
	// unfinishedTasks counts tasks that are not done.
	unfinishedTasks int
	// ready holds the tasks that may start now, in order.
	ready []*task
	// gangReadySince is when a gang was first ready to be placed as a whole, and held
	// the places held for it while it is placed.
	gangReadySince time.Time
	gangReserved   map[*endpoint]int
	advice         advice
	// lateAtMs is when its job can hardly be done in time any more, 0 for never.
	lateAtMs int
	// deferred says that it waits behind others so that those are in time.
	deferred bool
	// overQuotaSince is since when its tasks wait for their customer's allowance, zero for not.
	overQuotaSince time.Time
	// open says that the phase stands among the cell's open ones.
	open bool
}

func (p *phase) job() *job {
	return p.round.job
}

func (p *phase) need() damsonwinch.Resources {
	need := damsonwinch.Resources{MilliCPU: p.spec.Cpu, MemoryMB: p.spec.MemoryMb, GPUs: p.spec.Gpu}
	if p.spec.Fills {
		// It lives on what others leave.
		need.MilliCPU = 0
	}
	return need
}

// task is one task of a phase.
type task struct {
	phase *phase
	index int
	// lastAttempt is the highest that has been used.
	lastAttempt int
	// failedAttempts counts attempts that ended as failedAttempts.
	failedAttempts int
	done           bool
	ready          bool
	// checkpoint is the newest known checkpoint.
	checkpoint string
	runs       []*run
	// crashes tells of the endpoints that have ended under it, and suspected that it stands
	// among the cell's suspects.
	crashes   crash.History
	suspected bool
	// probationWaitSince is since when it waits for a trial, if it is a suspect.
	probationWaitSince time.Time
	// givenUp says that it is not started any more.
	givenUp bool
	// lapsedAttempts counts the attempts of which it isn't known how they ended.
	lapsedAttempts int
	// refusals counts the starts in a row that endpoints have refused for good, and notBefore
	// is when it may be started again.
	refusals  int
	notBefore time.Time
	// avoid names the endpoint where the task failed last.
	avoid damsonwinch.Life
}

func (t *task) id() damsonwinch.TaskID {
	return damsonwinch.TaskID{Job: t.phase.round.job.id, Round: t.phase.round.number, Phase: t.phase.number, Index: t.index}
}

// comparePhases orders phases by urgency: priority, then the time by which the
// job should be done, then age.
func comparePhases(a, b *phase) int {
	return cmp.Or(
		cmp.Compare(a.job().priority, b.job().priority),
		cmp.Compare(a.job().dueMs, b.job().dueMs),
		cmp.Compare(a.job().acceptedMs, b.job().acceptedMs),
		cmp.Compare(a.job().id, b.job().id),
		cmp.Compare(a.round.number, b.round.number),
		cmp.Compare(a.number, b.number),
	)
}

// newRound returns a round with all its phases closed.
func newRound(j *job, number int) *round {
	r := &round{job: j, number: number, unfinishedPhases: len(j.spec.Phases)}
	for at := range j.spec.Phases {
		spec := &j.spec.Phases[at]
		p := &phase{round: r, number: at, spec: spec, unfinishedDeps: len(spec.After), unfinishedTasks: spec.Count}
		p.tasks = make([]*task, spec.Count)
		for index := range p.tasks {
			p.tasks[index] = &task{phase: p, index: index}
		}
		r.phases = append(r.phases, p)
	}
	return r
}

// startRound opens the phases of a round that wait for nothing.
func (c *Cell) startRound(j *job, number int) *round {
	r := newRound(j, number)
	j.rounds = append(j.rounds, r)
	for _, p := range r.phases {
		if p.unfinishedDeps == 0 {
			c.openPhase(p)
		}
	}
	return r
}

// openPhase makes a phase's tasks ready.
func (c *Cell) openPhase(p *phase) {
	for _, t := range p.tasks {
		if !t.done && len(t.runs) == 0 {
			c.makeReady(t)
		}
	}
}

// makeReady puts a task among those that may start.
func (c *Cell) makeReady(t *task) {
	p := t.phase
	if t.ready || t.done || p.unfinishedDeps > 0 || p.job().ended() || t.givenUp || c.giveUpIfStartsExhausted(t) {
		return
	}
	t.ready, t.probationWaitSince = true, c.now
	c.placementDue = true
	p.ready = append(p.ready, t)
	if !p.open {
		p.open = true
		p.setLateTime()
		c.insertOpenPhase(p)
	}
}

// removeReady takes a task from those that may start.
func (p *phase) removeReady(t *task) {
	if !t.ready {
		return
	}
	t.ready = false
	p.ready = slices.DeleteFunc(p.ready, func(other *task) bool { return other == t })
}

// closePhase takes a phase from the open ones.
func (c *Cell) closePhase(p *phase) {
	if p.open {
		p.open = false
		c.removeOpenPhase(p)
	}
	for _, t := range p.ready {
		t.ready = false
	}
	p.ready = nil
}

// rounds returns how many rounds a job has in all.
func (j *job) totalRounds() int {
	return max(1, j.spec.Rounds)
}

// roundDue returns when a round falls due.
func (j *job) roundDue(number int) time.Time {
	if j.spec.Rounds == 0 {
		return time.Time{}
	}
	return time.UnixMilli(int64(j.spec.FirstMs + number*j.spec.EveryMs))
}

// startDueRounds starts the rounds that have fallen due.
func (c *Cell) startDueRounds() {
	for _, j := range c.activeJobs {
		for !j.ended() && len(j.rounds) < j.totalRounds() && !c.now.Before(j.roundDue(len(j.rounds))) {
			c.startRound(j, len(j.rounds))
		}
	}
}
