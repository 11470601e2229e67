package crash

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestQueueIsCrashProneForAWhile guards against a queue that counts as crash-prone after a single exit,
// and against one that counts as crash-prone forever.
func TestQueueIsCrashProneForAWhile(t *testing.T) {
	start := time.UnixMilli(1_700_000_000_000)
	q := NewQueues()
	q.AddExit("a", start)
	q.AddExit("b", start)
	assert.Equal(t, len(q.Update(start)), 0)
	q.AddExit("a", start.Add(time.Second))
	assert.DeepEqual(t, q.Update(start.Add(time.Second)), []QueueChange{{Queue: "a", Prone: true, Exits: 2}})
	assert.Assert(t, q.IsProne("a") && !q.IsProne("b"))
	assert.Equal(t, len(q.Update(start.Add(ProneWindow))), 0, "changes are returned once")
	assert.DeepEqual(t, q.Update(start.Add(ProneWindow+time.Millisecond)), []QueueChange{{Queue: "a", Prone: false, Exits: 1}})
	assert.Assert(t, !q.AnyProne())
}
