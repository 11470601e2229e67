package trial

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/standin"
)

func twoHalls() User {
	user := smallUser()
	user.Fleet.Halls = []settings.Hall{hall("north", 5, 2), hall("south", 5, 1)}
	return user
}

// longerThanTheLease is a cut that the log's lease alone doesn't outlast.
const longerThanTheLease = 3 * leaseMs * time.Millisecond

// TestACutHallServesOn: cut off from the platform and the other hall, its
// entries go on by each other's promises, and nobody frees their boxes.
func TestACutHallServesOn(t *testing.T) {
	s := startStory(t, twoHalls())
	s.await("the hall's entries have boxes", func() bool { return s.holds(0) > 0 && s.holds(1) > 0 })
	before := s.run.observer.present()
	s.cluster.Network.CutBoth("north", platformHall)
	s.cluster.Network.CutBoth("north", "south")
	s.run.wait(context.Background(), longerThanTheLease)

	got := s.call("view", standin.Work{Nonce: s.nonce(), WorkMs: 1}, nil)
	assert.Equal(t, got.status, http.StatusOK, got.body)
	for _, box := range s.run.observer.present().Boxes() {
		was, _ := before.Box(box.Info.Name)
		if box.Info.Hall == "north" {
			assert.Equal(t, box.Sender, was.Sender, "a cut hall's box got another sender")
		}
	}
	s.cluster.Network.Heal()
	s.await("the hall reads the log again", func() bool {
		return s.cluster.Nodes[0].keeperProcess.Metrics.Count("offset") >= s.run.observer.present().Offset()
	})
}

// TestAnOutageOfTheLogStopsNoRequest, however long it is: what is assigned stays
// so, and entries go on by their hall's promises.
func TestAnOutageOfTheLogStopsNoRequest(t *testing.T) {
	s := startStory(t, twoHalls())
	s.cluster.Platform.Log.SetFaults(standin.Faults{Down: true})
	s.run.wait(context.Background(), longerThanTheLease)

	const requests = 20
	for range requests {
		got := s.call("view", standin.Work{Nonce: s.nonce(), WorkMs: 1}, nil)
		assert.Equal(t, got.status, http.StatusOK, got.body)
	}
	s.cluster.Platform.Log.SetFaults(standin.Faults{})
}

// TestEverythingReplacedWhileTheLogIsDown: new processes know nothing, serve
// nothing, and come back with the log.
func TestEverythingReplacedWhileTheLogIsDown(t *testing.T) {
	s := startStory(t, twoHalls())
	s.cluster.Platform.Log.SetFaults(standin.Faults{Down: true})
	for _, node := range s.cluster.Nodes {
		assert.NilError(t, s.cluster.KillEntry(node))
		assert.NilError(t, s.cluster.StopKeeper(node))
	}
	for _, node := range s.cluster.Nodes {
		assert.NilError(t, s.cluster.StartNode(node))
	}
	got := s.call("view", standin.Work{Nonce: s.nonce(), WorkMs: 1}, nil)
	assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
	assert.Equal(t, got.outcome, "not-run")

	s.cluster.Platform.Log.SetFaults(standin.Faults{})

	s.await("requests are answered again", func() bool {
		return s.call("view", standin.Work{Nonce: s.nonce(), WorkMs: 1}, nil).status == http.StatusOK
	})
	assert.Equal(t, s.run.observer.present().Table().Version(), 1)
}

// TestANewProcessStartsFromASnapshot when the first records have expired.
func TestANewProcessStartsFromASnapshot(t *testing.T) {
	s := startStory(t, twoHalls())
	s.await("a snapshot is in the log", func() bool { return len(s.cluster.Platform.Log.Peek("snapshots", 0, 1)) > 0 })
	s.cluster.Platform.Log.Expire("fleet", s.cluster.Snapshotted())
	for _, node := range s.cluster.Nodes {
		assert.NilError(t, s.cluster.KillEntry(node))
		assert.NilError(t, s.cluster.StopKeeper(node))
	}
	for _, node := range s.cluster.Nodes {
		assert.NilError(t, s.cluster.StartNode(node))
	}
	s.await("requests are answered again", func() bool {
		return s.call("view", standin.Work{Nonce: s.nonce(), WorkMs: 1}, nil).status == http.StatusOK
	})
}
