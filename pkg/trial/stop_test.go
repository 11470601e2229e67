package trial

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/wire"
)

func twoEntryUser() User {
	user := smallUser()
	user.Fleet.Halls = []settings.Hall{newZone("north", 8, 2)}
	return user
}

// TestAPlannedStopCutsNothing stops an entry and starts it anew under load:
// every caller is answered, and the other entry takes its boxes.
func TestAPlannedStopCutsNothing(t *testing.T) {
	s := newFixture(t, twoEntryUser())
	load := startLoadGenerator(s.cluster, testClients)
	node := s.cluster.Nodes[1]
	s.waitFor("both entries have boxes", func() bool { return s.boxesSentTo(0) > 0 && s.boxesSentTo(1) > 0 })

	assert.NilError(t, s.cluster.StopEntry(context.Background(), node))

	s.waitFor("its boxes have another sender", func() bool { return s.boxesSentTo(1) == 0 })
	assert.NilError(t, s.cluster.StartEntry(node))
	s.waitFor("the new process has boxes", func() bool { return s.boxesSentTo(1) > 0 })
	load.stop()
	for _, line := range load.results() {
		assert.Equal(t, line.outcome, wire.OutcomeAnswered, "%+v", line)
	}
}

// TestAKilledEntryIsFollowedByAnother: the boxes of a process that ended without
// a word are freed by the keeper beside it, and nothing runs twice.
func TestAKilledEntryIsFollowedByAnother(t *testing.T) {
	s := newFixture(t, twoEntryUser())
	load := startLoadGenerator(s.cluster, testClients)
	s.waitFor("both entries have boxes", func() bool { return s.boxesSentTo(0) > 0 && s.boxesSentTo(1) > 0 })

	assert.NilError(t, s.cluster.KillEntry(s.cluster.Nodes[1]))

	s.waitFor("its boxes are freed", func() bool { return s.boxesSentTo(1) == 0 && s.run.observer.poolsFilled() })
	load.stop()
	for _, line := range load.results() {
		assert.Assert(t, line.repeatable || s.cluster.Observations.Runs(line.nonce) <= 1, "%+v", line)
	}
}

// TestALostBoxIsReleasedByItsPeer: keeper and entry of a box end together, and
// the other keeper of the hall waits their lease out.
func TestALostBoxIsReleasedByItsPeer(t *testing.T) {
	s := newFixture(t, twoEntryUser())
	s.waitFor("both entries have boxes", func() bool { return s.boxesSentTo(0) > 0 && s.boxesSentTo(1) > 0 })
	lost := s.cluster.Nodes[1]
	assert.NilError(t, s.cluster.StopKeeper(lost))
	assert.NilError(t, s.cluster.KillEntry(lost))

	s.waitFor("its boxes are freed", func() bool { return s.boxesSentTo(1) == 0 && s.run.observer.poolsFilled() })

	assert.NilError(t, s.cluster.StartKeeper(lost))
	assert.NilError(t, s.cluster.StartEntry(lost))
	s.waitFor("the new box has a part again", func() bool { return s.boxesSentTo(1) > 0 })
}

// boxesSentTo counts the boxes that a node sends to.
func (s *fixture) boxesSentTo(node int) int {
	count := 0
	for _, sender := range s.run.observer.currentState().Senders() {
		if sender.Key.Node == s.cluster.Nodes[node].Name {
			count += sender.Boxes
		}
	}
	return count
}
