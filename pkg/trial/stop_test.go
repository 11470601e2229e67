package trial

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/wire"
)

// twoEntryUser returns a small user with one zone that has eight boxes and two entries.
func twoEntryUser() User {
	user := smallUser()
	user.Fleet.Halls = []settings.Hall{newZone("north", 8, 2)}
	return user
}

// TestPlannedStopInterruptsNoRequest stops an entry under load and starts it again.
// Every request is answered, and the other entry takes over the boxes in between.
func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	f := newFixture(t, twoEntryUser())
	load := startLoadGenerator(f.cluster, testClients)
	node := f.cluster.Nodes[1]
	f.waitFor("both entries have boxes", func() bool { return f.boxesSentTo(0) > 0 && f.boxesSentTo(1) > 0 })

	assert.NilError(t, f.cluster.StopEntry(context.Background(), node))

	f.waitFor("its boxes have another sender", func() bool { return f.boxesSentTo(1) == 0 })
	assert.NilError(t, f.cluster.StartEntry(node))
	f.waitFor("the new process has boxes", func() bool { return f.boxesSentTo(1) > 0 })
	load.stop()
	for _, result := range load.results() {
		assert.Equal(t, result.outcome, wire.OutcomeAnswered, "%+v", result)
	}
}

// TestBoxesOfKilledEntryAreReleased: an entry ends without a planned stop. The keeper
// on its node releases its boxes, and no request that may not be repeated runs twice.
func TestBoxesOfKilledEntryAreReleased(t *testing.T) {
	f := newFixture(t, twoEntryUser())
	load := startLoadGenerator(f.cluster, testClients)
	f.waitFor("both entries have boxes", func() bool { return f.boxesSentTo(0) > 0 && f.boxesSentTo(1) > 0 })

	assert.NilError(t, f.cluster.KillEntry(f.cluster.Nodes[1]))

	f.waitFor("its boxes are released", func() bool { return f.boxesSentTo(1) == 0 && f.run.observer.poolsFilled() })
	load.stop()
	for _, result := range load.results() {
		assert.Assert(t, result.repeatable || f.cluster.Observations.Runs(result.nonce) <= 1, "%+v", result)
	}
}

// TestBoxesOfLostNodeAreReleased: the keeper and the entry of a node end together. The
// other keeper of the zone releases the entry's boxes once its lease has expired.
func TestBoxesOfLostNodeAreReleased(t *testing.T) {
	f := newFixture(t, twoEntryUser())
	f.waitFor("both entries have boxes", func() bool { return f.boxesSentTo(0) > 0 && f.boxesSentTo(1) > 0 })
	lost := f.cluster.Nodes[1]
	assert.NilError(t, f.cluster.StopKeeper(lost))
	assert.NilError(t, f.cluster.KillEntry(lost))

	f.waitFor("its boxes are released", func() bool { return f.boxesSentTo(1) == 0 && f.run.observer.poolsFilled() })

	assert.NilError(t, f.cluster.StartKeeper(lost))
	assert.NilError(t, f.cluster.StartEntry(lost))
	f.waitFor("the new entry has boxes again", func() bool { return f.boxesSentTo(1) > 0 })
}

// boxesSentTo counts the boxes whose sender is the entry of a node, or a former process
// of that entry.
func (f *fixture) boxesSentTo(node int) int {
	count := 0
	for _, sender := range f.run.observer.currentState().Senders() {
		if sender.Key.Node == f.cluster.Nodes[node].Name {
			count += sender.Boxes
		}
	}
	return count
}
