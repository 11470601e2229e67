package crash

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestProbationsTakeUpAPartOfTheCell guards against probations that take the endpoints from all other work,
// and against a small cell without any probation.
func TestProbationsTakeUpAPartOfTheCell(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	var l ProbationLimit
	assert.Assert(t, l.Allows(now, 0, 2, true), "a small cell may have one probation")
	assert.Assert(t, l.Allows(now, 9, 40, false) && !l.Allows(now, 10, 40, false))
	assert.Assert(t, l.Allows(now, 3, 40, true) && !l.Allows(now, 4, 40, true))
	l.AddExit(now)
	assert.Assert(t, !l.Allows(now.Add(3*time.Second), 9, 40, false), "the endpoint that has exited isn't back yet")
	assert.Assert(t, l.Allows(now.Add(3001*time.Millisecond), 9, 40, false))
}

// TestOverdueProbationsTakeUpAPartOfTheCell guards against a task that mustn't start beside others and waits for its
// probation forever, because endpoints exit all the time.
func TestOverdueProbationsTakeUpAPartOfTheCell(t *testing.T) {
	assert.Assert(t, AllowsOverdueProbation(0, 2), "a small cell may have one probation")
	assert.Assert(t, AllowsOverdueProbation(9, 40) && !AllowsOverdueProbation(10, 40))
}
