package cell

import (
	"cmp"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/crash"
	jobs "damsonwinch/pkg/job"
	"damsonwinch/pkg/permit"
	"damsonwinch/pkg/wire"
)

// job is a job with its rounds, and what the owner has decided and recorded about it.
type job struct {
	id    string
	queue string
	// address is where the job was submitted, or empty if that isn't known.
	address string
	// customer is the customer whose key the submission carried, or empty if it carried none.
	customer string
	spec     wire.JobSpec
	// acceptedMs is when the submission arrived, in Unix milliseconds.
	acceptedMs int
	// clientWaitsUntil is when the client stops waiting for the reply to its submission, less a
	// margin.
	clientWaitsUntil time.Time
	// deadlineMs is the job's deadline. endedMs is when the job ended. Both are in Unix
	// milliseconds.
	deadlineMs int
	endedMs    int
	priority   int
	// acceptedTerms are the terms under which the job was accepted, and terms those in force: see updateTerms.
	acceptedTerms terms
	terms         terms
	// needsTickets is set once an endpoint has refused a start of the job because it carried no ticket, whatever the
	// terms are.
	needsTickets bool
	// state is the state that the owner has decided; recordedState is the state in the stream.
	state         wire.JobState
	recordedState wire.JobState
	// recorded is set once the stream holds the job.
	recorded bool
	// placed is set once an endpoint has been chosen for a task, and begun once a task is known to
	// have started.
	placed bool
	begun  bool
	rounds []*round
	// runCount is the number of attempts that may be running.
	runCount int
	// criticalPathMs holds, by phase, the expected time from the phase's start to the end of the
	// job, in milliseconds.
	criticalPathMs []int
	// taskMs holds, by phase, the expected time of a task in milliseconds. work is the total of all
	// tasks' expected time multiplied by their CPU, in thousandths of a core times milliseconds;
	// long-running and filler tasks do not count.
	taskMs []int
	work   int
	// unsubmitted is set if a client has cancelled the job before a submission of it arrived. The job stands for
	// that cancellation: it has ended, has no specification and is shown to no client.
	unsubmitted bool
	// overShare is set if the job was beyond its customer's share when it was accepted. shareRank
	// orders such jobs; it is not recorded, so that after a takeover their deadlines do.
	overShare bool
	shareRank float64
	// charged is set while the job's work counts in the ranks of its customer's later jobs.
	charged bool
	// homeZone is the availability zone where the job's tasks are started as long as there is
	// capacity.
	homeZone *zone
	// specRecorded is set when the stream holds the job's specification or an append with it is
	// being built or in flight.
	specRecorded bool
	// totalTasks is the number of tasks in all rounds.
	totalTasks int
	// recordedRows and recordBytes are the number of single tasks in the job's newest record and its length. plannedRows is the
	// number of tasks that were planned for the first time since.
	recordedRows int
	recordBytes  int
	plannedRows  int
}

// ended reports whether the job's final state has been decided.
func (j *job) ended() bool {
	return j.state == wire.JobStateCompleted || j.state == wire.JobStateFailed || j.state == wire.JobStateCancelled
}

// round is one execution of all phases of a job. A repeated job has several. number counts the
// job's rounds from 0.
type round struct {
	job    *job
	number int
	phases []*phase
	// unfinishedPhases is the number of phases that are not done.
	unfinishedPhases int
	// begun is set once a start has been planned. settled is set once all tasks are done and nothing of them can run:
	// then phases is empty.
	begun   bool
	settled bool
}

// phase is a set of identical tasks in a round. It can start when the phases that it depends on are
// done.
type phase struct {
	round  *round
	number int
	spec   *wire.Phase
	tasks  []*task
	// unfinishedDeps is the number of unfinished phases that this phase depends on.
	unfinishedDeps int
	// unfinishedTasks is the number of tasks that are not done.
	unfinishedTasks int
	// ready holds the tasks that can start now, in the order in which they became ready.
	ready []*task
	// gangReadySince is when all members of a gang were first ready to be placed. gangReserved
	// counts, by endpoint, the members for which capacity is reserved while the gang is being
	// placed.
	gangReadySince time.Time
	gangReserved   map[*endpoint]int
	permits        permit.Permits
	// lateAtMs is the Unix time in milliseconds after which the job is unlikely to meet its
	// deadline if the phase still waits; 0 means never.
	lateAtMs int
	// deferred is set while the phase waits behind others, so that those meet their deadlines.
	deferred bool
	// overQuotaSince is since when its tasks wait for their customer's allowance, or zero.
	overQuotaSince time.Time
	// waitLoggedAt is when it was last logged why its long-running tasks wait.
	waitLoggedAt time.Time
	// open is set while the phase is in the cell's openPhases.
	open bool
}

func (p *phase) job() *job {
	return p.round.job
}

// need returns the resources that each task of the phase reserves on its endpoint.
func (p *phase) need() damsonwinch.Resources {
	need := damsonwinch.Resources{MilliCPU: p.spec.Cpu, MemoryMB: p.spec.MemoryMb, GPUs: p.spec.Gpu}
	if p.spec.Fills {
		// Filler tasks use the CPU that other tasks leave idle.
		need.MilliCPU = 0
	}
	return need
}

// task is one task of a phase, with its attempts.
type task struct {
	phase *phase
	index int
	// lastAttempt is the highest attempt number used so far.
	lastAttempt int
	// failedAttempts is the number of attempts that ended as failed.
	failedAttempts int
	done           bool
	ready          bool
	// checkpoint is the newest known checkpoint, or empty.
	checkpoint string
	runs       []*run
	// crashes is the history of the losses of endpoints where the task was running. suspected is
	// set while the task is in the cell's suspects.
	crashes   crash.History
	suspected bool
	// readySince is when the task last became ready, not counting starts that have certainly not begun.
	readySince time.Time
	// reservation is the endpoint that is reserved for the task, or nil.
	reservation *endpoint
	// probationWaitSince is when the task became ready, or a suspect if that was later. A suspect
	// waits for its probation from then on.
	probationWaitSince time.Time
	// givenUp is set when the task must not be started again.
	givenUp bool
	// lapsedAttempts is the number of attempts with unknown results, whose leases expired while
	// their endpoints were out of reach.
	lapsedAttempts int
	// refusals counts the starts that endpoints have refused since the last one that was accepted,
	// not counting refusals by another life or for an invalid ticket. notBefore is the earliest
	// time of the next start.
	refusals  int
	notBefore time.Time
	// refusedBy holds the endpoints that have refused the task since its last start that was accepted, the one that did
	// so last at the end. refusedSince is when the first of these refusals came.
	refusedBy    []taskRefusal
	refusedSince time.Time
	// avoid is the endpoint to avoid at the next start, usually the one where the task failed last.
	avoid damsonwinch.Life
}

func (t *task) id() damsonwinch.TaskID {
	return damsonwinch.TaskID{Job: t.phase.round.job.id, Round: t.phase.round.number, Phase: t.phase.number, Index: t.index}
}

// comparePhases orders phases by urgency: by priority, then by deadline, then by age. Ties are
// broken by job ID, round and phase.
func comparePhases(a, b *phase) int {
	return cmp.Or(
		cmp.Compare(a.job().priority, b.job().priority),
		cmp.Compare(a.job().deadlineMs, b.job().deadlineMs),
		cmp.Compare(a.job().acceptedMs, b.job().acceptedMs),
		cmp.Compare(a.job().id, b.job().id),
		cmp.Compare(a.round.number, b.round.number),
		cmp.Compare(a.number, b.number),
	)
}

// newRound returns a round with no phase open.
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

// startRound adds a round to the job and opens the phases that depend on no other.
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

// openPhase makes the unfinished tasks of a phase ready, except those that have attempts which may
// be running.
func (c *Cell) openPhase(p *phase) {
	for _, t := range p.tasks {
		if !t.done && len(t.runs) == 0 {
			c.makeReady(t)
		}
	}
}

// makeReady adds a task to the ready ones of its phase, unless it need not or must not start now,
// and puts the phase into openPhases. It gives the task up if its starts are exhausted.
func (c *Cell) makeReady(t *task) {
	p := t.phase
	if t.ready || t.done || p.unfinishedDeps > 0 || p.job().ended() || t.givenUp || c.giveUpIfStartsExhausted(t) {
		return
	}
	t.ready, t.readySince, t.probationWaitSince = true, c.now, c.now
	c.placementDue = true
	p.ready = append(p.ready, t)
	if !p.open {
		p.open = true
		p.permits.Await(c.now, p.round.number > 0)
		p.setLateTime()
		c.insertOpenPhase(p)
	}
}

// removeReady removes a task from the ready ones of its phase.
func (p *phase) removeReady(t *task) {
	if !t.ready {
		return
	}
	t.ready = false
	p.ready = slices.DeleteFunc(p.ready, func(other *task) bool { return other == t })
}

// closePhase removes a phase from openPhases. None of its tasks is ready after that.
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

// startDueRounds starts the rounds of active jobs that are due.
func (c *Cell) startDueRounds() {
	for _, j := range c.activeJobs {
		for !j.ended() && len(j.rounds) < jobs.Rounds(j.spec) && !c.now.Before(jobs.RoundDue(j.spec, len(j.rounds))) {
			c.startRound(j, len(j.rounds))
		}
	}
}
