package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// While the machine is suspended another node may take the cell over. The owner must then drop what it
// has decided and stop.
func TestOwnerSendsNothingAfterSuspension(t *testing.T) {
	f := newFixture(t, &partialOutageStore{})
	suspended := time.Duration(0)
	f.deps.SuspendedTime = func() time.Duration { return suspended }
	committed{number: 1}.apply(f.Owner, f.clock.Now())
	submission("b", f.clock.Now(), f.replies).apply(f.Owner, f.clock.Now())
	f.clock.Advance(time.Second)
	f.cell.Tick(f.clock.Now())
	suspended = 50 * time.Millisecond
	assert.Assert(t, !f.checkSuspension(), "a suspension of 50 ms must be ignored")

	suspended = 3 * time.Second
	assert.Assert(t, f.checkSuspension())
	assert.Assert(t, f.executeEffects(), "the owner must stop")
	assert.Equal(t, len(f.replies), 1, "the job that is stored must still be confirmed to its client")
	assert.Assert(t, f.writer.NextFence().Sequence <= 2, "nothing more may be appended")
}
