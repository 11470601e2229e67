package cell

import (
	"maps"

	"damsonwinch"
)

// noteEnded notes that the result of a run has been applied at the given step. The reply to a poll that was sent before may have
// been overtaken by the one that had the result, and still list the run.
func (e *endpoint) noteEnded(ended damsonwinch.Run, step int) {
	if e.endedAtStep == nil {
		e.endedAtStep = map[damsonwinch.Run]int{}
	}
	e.endedAtStep[ended] = step
}

// endedSince reports whether the result of a run has been applied after a poll was sent at sentStep. Then the reply to the poll
// doesn't show that the run exists.
func (e *endpoint) endedSince(listed damsonwinch.Run, sentStep int) bool {
	step, ended := e.endedAtStep[listed]
	return ended && step > sentStep
}

// forgetEnded forgets the runs whose results were applied before all polls in flight were sent.
func (e *endpoint) forgetEnded() {
	oldest, inFlight := e.polls.oldestStep()
	maps.DeleteFunc(e.endedAtStep, func(_ damsonwinch.Run, step int) bool { return !inFlight || step <= oldest })
}

// oldestStep returns the step at which the oldest poll in flight was sent. It returns false if there is none.
func (p *polls) oldestStep() (oldest int, inFlight bool) {
	for _, sent := range append([]*sentPoll{p.waiting, p.immediate}, p.overdue...) {
		if sent != nil && (!inFlight || sent.step < oldest) {
			oldest, inFlight = sent.step, true
		}
	}
	return oldest, inFlight
}
