package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestASuspendedOwnerGivesNoOrder: what it has decided is dropped, and it ends.
func TestASuspendedOwnerGivesNoOrder(t *testing.T) {
	m := newMoving(t, &partedStore{})
	slept := time.Duration(0)
	m.deps.SuspendedTime = func() time.Duration { return slept }
	committed{number: 1}.apply(m.Owner, m.clock.Now())
	submission("b", m.clock.Now(), m.replies).apply(m.Owner, m.clock.Now())
	m.clock.Advance(time.Second)
	m.cell.Tick(m.clock.Now())
	slept = 50 * time.Millisecond
	assert.Assert(t, !m.wake(), "too short to matter")

	slept = 3 * time.Second
	assert.Assert(t, m.wake())
	assert.Assert(t, m.carryOut(), "it ends")
	assert.Equal(t, len(m.replies), 1, "what the store holds is true all the same")
	assert.Assert(t, m.writer.Next().Sequence <= 2, "nothing more was appended")
}
