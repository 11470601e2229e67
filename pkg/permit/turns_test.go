package permit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/permit"
)

// TestTurnsOfNewAndRepeatedPhases guards against phases that get one turn after the other while a new one waits, and against
// new ones that keep those waiting for good.
func TestTurnsOfNewAndRepeatedPhases(t *testing.T) {
	start := time.UnixMilli(1_700_000_000_000)
	var turns permit.Turns
	var first, repeating, unused permit.Permits
	first.Await(start, false)
	repeating.Await(start.Add(time.Second), true)
	assert.Assert(t, !first.HadTurn() && repeating.HadTurn() && turns.RepeatNext())
	turns.Take(&repeating)
	assert.Assert(t, !turns.RepeatNext() && turns.UnusedNext())

	unused.Asked(start)
	unused.Answered([]damsonwinch.Life{{ID: "a"}}, []damsonwinch.Permit{{EndpointID: "a"}}, start, time.Second)
	turns.Take(&unused)
	assert.Assert(t, !turns.UnusedNext() && !turns.RepeatNext(), "of the other calls, the last one was for a repeated phase")
	turns.Take(&first)
	assert.Assert(t, turns.UnusedNext() && turns.RepeatNext())
}

// TestTurnsGoToThoseThatHaveWaitedLongest guards against a phase that is asked for again before others, and against one whose
// turn counts from when it waits again.
func TestTurnsGoToThoseThatHaveWaitedLongest(t *testing.T) {
	start := time.UnixMilli(1_700_000_000_000)
	var asked, repeating permit.Permits
	asked.Await(start, false)
	repeating.Await(start.Add(time.Second), true)
	assert.Assert(t, asked.TurnBefore(&repeating))
	asked.Asked(start.Add(2 * time.Second))
	asked.Failed()
	asked.Await(start.Add(3*time.Second), false)
	assert.Assert(t, asked.HadTurn() && repeating.TurnBefore(&asked))
	repeating.Asked(start.Add(2500 * time.Millisecond))
	assert.Assert(t, asked.TurnBefore(&repeating))
}
