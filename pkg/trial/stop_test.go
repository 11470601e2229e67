package trial

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/wire"
)

func twoEntries() User {
	user := smallUser()
	user.Fleet.Halls = []settings.Hall{hall("north", 8, 2)}
	return user
}

// TestAPlannedStopCutsNothing stops an entry and starts it anew under load:
// every caller is answered, and the other entry takes its boxes.
func TestAPlannedStopCutsNothing(t *testing.T) {
	s := startStory(t, twoEntries())
	load := startCallers(s.cluster, storyCallers)
	node := s.cluster.Nodes[1]
	s.await("both entries have boxes", func() bool { return s.holds(0) > 0 && s.holds(1) > 0 })

	assert.NilError(t, s.cluster.StopEntry(context.Background(), node))

	s.await("its boxes have another sender", func() bool { return s.holds(1) == 0 })
	assert.NilError(t, s.cluster.StartEntry(node))
	s.await("the new process has boxes", func() bool { return s.holds(1) > 0 })
	load.stop()
	for _, line := range load.lines() {
		assert.Equal(t, line.outcome, wire.OutcomeAnswered, "%+v", line)
	}
}

// TestAKilledEntryIsFollowedByAnother: the boxes of a process that ended without
// a word are freed by the keeper beside it, and nothing runs twice.
func TestAKilledEntryIsFollowedByAnother(t *testing.T) {
	s := startStory(t, twoEntries())
	load := startCallers(s.cluster, storyCallers)
	s.await("both entries have boxes", func() bool { return s.holds(0) > 0 && s.holds(1) > 0 })

	assert.NilError(t, s.cluster.KillEntry(s.cluster.Nodes[1]))

	s.await("its boxes are freed", func() bool { return s.holds(1) == 0 && s.run.observer.formed() })
	load.stop()
	for _, line := range load.lines() {
		assert.Assert(t, line.repeatable || s.cluster.Book.Runs(line.nonce) <= 1, "%+v", line)
	}
}

// TestALostBoxIsReleasedByItsPeer: keeper and entry of a box end together, and
// the other keeper of the hall waits their lease out.
func TestALostBoxIsReleasedByItsPeer(t *testing.T) {
	s := startStory(t, twoEntries())
	s.await("both entries have boxes", func() bool { return s.holds(0) > 0 && s.holds(1) > 0 })
	lost := s.cluster.Nodes[1]
	assert.NilError(t, s.cluster.StopKeeper(lost))
	assert.NilError(t, s.cluster.KillEntry(lost))

	s.await("its boxes are freed", func() bool { return s.holds(1) == 0 && s.run.observer.formed() })

	assert.NilError(t, s.cluster.StartKeeper(lost))
	assert.NilError(t, s.cluster.StartEntry(lost))
	s.await("the new box has a part again", func() bool { return s.holds(1) > 0 })
}

// holds counts the boxes that a node sends to.
func (s *story) holds(node int) int {
	count := 0
	for _, sender := range s.run.observer.present().Senders() {
		if sender.Key.Node == s.cluster.Nodes[node].Name {
			count += sender.Boxes
		}
	}
	return count
}
