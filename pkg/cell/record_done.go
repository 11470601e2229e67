package cell

import (
	"fmt"

	"damsonwinch"
	"damsonwinch/pkg/cellrecord"
	jobs "damsonwinch/pkg/job"
	"damsonwinch/pkg/wire"
)

// settled reports whether the task is done and no attempt at it may still run or have an unknown result. Nothing but
// that it is done matters to a later owner.
func (t *task) settled() bool {
	return t.done && len(t.runs) == 0 && t.lapsedAttempts == 0
}

// settleRounds drops the tasks of the job's rounds in which all tasks are settled, unless the record lists all tasks of
// the job. Without that, the memory that a repeated job takes and the cost of its record would grow with each round.
func (c *Cell) settleRounds(j *job) {
	if c.listsAllTasks(j) {
		return
	}
	for _, r := range j.rounds {
		if r.unfinishedPhases == 0 && !r.settled && r.allSettled() {
			r.settled, r.phases = true, nil
		}
	}
}

// allSettled reports whether all tasks of the round are settled.
func (r *round) allSettled() bool {
	for _, p := range r.phases {
		for _, t := range p.tasks {
			if !t.settled() {
				return false
			}
		}
	}
	return true
}

// doneRanges collects the work of a job that is done, in the order of rounds, phases and tasks, as ranges.
type doneRanges struct {
	// listsTasks is set if each task gets a row of its own instead.
	listsTasks bool
	rounds     []cellrecord.RoundRange
	tasks      []cellrecord.TaskRange
	// lastTask is the task that was added last.
	lastTask *task
}

// addRound adds a settled round.
func (d *doneRanges) addRound(r *round) {
	if last := len(d.rounds) - 1; last >= 0 && d.rounds[last].First+d.rounds[last].Count == r.number {
		d.rounds[last].Count++
		return
	}
	d.rounds = append(d.rounds, cellrecord.RoundRange{First: r.number, Count: 1})
}

// addTask adds a task. It returns false if the task needs a row of its own.
func (d *doneRanges) addTask(t *task) bool {
	if d.listsTasks || !t.settled() {
		return false
	}
	if d.lastTask != nil && t.follows(d.lastTask) {
		d.tasks[len(d.tasks)-1].Count++
	} else {
		d.tasks = append(d.tasks, cellrecord.TaskRange{Round: t.phase.round.number, Phase: t.phase.number, Index: t.index, Count: 1})
	}
	d.lastTask = t
	return true
}

// follows reports whether the task comes directly after another one in the order of a TaskRange.
func (t *task) follows(earlier *task) bool {
	if t.phase == earlier.phase {
		return t.index == earlier.index+1
	}
	atBorder := t.index == 0 && earlier.index == len(earlier.phase.tasks)-1
	return atBorder && t.phase.round == earlier.phase.round && t.phase.number == earlier.phase.number+1
}

// write adds the ranges to the job's record.
func (d *doneRanges) write(record *wire.JobRecord) {
	for _, rounds := range d.rounds {
		cellrecord.AddDoneRounds(record, rounds)
	}
	for _, tasks := range d.tasks {
		cellrecord.AddDoneTasks(record, tasks)
	}
}

// addRounds adds rounds to a job that is loaded, until it has count rounds.
func (j *job) addRounds(count int) {
	for len(j.rounds) < count {
		j.rounds = append(j.rounds, newRound(j, len(j.rounds)))
	}
}

// restoreDone restores the work that a job's record lists as ranges. It must come before the job's single tasks are
// restored, so that settled rounds get no tasks.
func (c *Cell) restoreDone(j *job, record wire.JobRecord) error {
	rounds, tasks, err := cellrecord.Done(record)
	if err != nil {
		return err
	}
	for _, done := range rounds {
		if err := j.restoreDoneRounds(done); err != nil {
			return err
		}
	}
	for _, done := range tasks {
		if err := c.restoreDoneTasks(j, done); err != nil {
			return err
		}
	}
	return nil
}

// restoreDoneRounds restores a range of settled rounds. The ranges of a record are in the order of rounds.
func (j *job) restoreDoneRounds(done cellrecord.RoundRange) error {
	total := jobs.Rounds(j.spec)
	if done.First < len(j.rounds) || done.First > total || done.Count < 1 || done.Count > total-done.First {
		return fmt.Errorf("invalid range of %d rounds from round %d of %d", done.Count, done.First, total)
	}
	j.addRounds(done.First)
	for range done.Count {
		j.rounds = append(j.rounds, &round{job: j, number: len(j.rounds), settled: true, begun: true})
	}
	j.placed, j.begun = true, true
	return nil
}

// restoreDoneTasks restores a range of tasks that are done.
func (c *Cell) restoreDoneTasks(j *job, done cellrecord.TaskRange) error {
	if done.Round < 0 || done.Round >= jobs.Rounds(j.spec) {
		return fmt.Errorf("reference to missing round %d of %d", done.Round, jobs.Rounds(j.spec))
	}
	j.addRounds(done.Round + 1)
	id := damsonwinch.TaskID{Job: j.id, Round: done.Round, Phase: done.Phase, Index: done.Index}
	for range done.Count {
		t := c.findTask(id)
		if t == nil {
			return fmt.Errorf("no task with round, phase and index %v", []int{id.Round, id.Phase, id.Index})
		}
		t.restoreDone()
		t.phase.round.begun = true
		id.Index++
		if id.Index == len(t.phase.tasks) {
			id.Phase, id.Index = id.Phase+1, 0
		}
	}
	j.placed, j.begun = true, true
	return nil
}

// restoreDone notes that a task is done.
func (t *task) restoreDone() {
	if !t.done {
		t.done = true
		t.phase.unfinishedTasks--
	}
}
