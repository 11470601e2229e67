package trial

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/standin"
	"damsonwinch/pkg/wire"
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
	s.cluster.Platform.Log.SetFaults(standin.LogFaults{Down: true})
	s.run.wait(context.Background(), longerThanTheLease)

	const requests = 20
	for range requests {
		got := s.call("view", standin.Work{Nonce: s.nonce(), WorkMs: 1}, nil)
		assert.Equal(t, got.status, http.StatusOK, got.body)
	}
	s.cluster.Platform.Log.SetFaults(standin.LogFaults{})
}

// TestEverythingReplacedWhileTheLogIsDown: new processes know nothing, serve
// nothing, and come back with the log.
func TestEverythingReplacedWhileTheLogIsDown(t *testing.T) {
	s := startStory(t, twoHalls())
	s.cluster.Platform.Log.SetFaults(standin.LogFaults{Down: true})
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

	s.cluster.Platform.Log.SetFaults(standin.LogFaults{})

	s.await("requests are answered again", func() bool {
		return s.call("view", standin.Work{Nonce: s.nonce(), WorkMs: 1}, nil).status == http.StatusOK
	})
	assert.Equal(t, s.run.observer.present().Table().Version(), 1)
}

// TestANewProcessStartsFromASnapshot when the first records have expired.
func TestANewProcessStartsFromASnapshot(t *testing.T) {
	s := startStory(t, twoHalls())
	s.await("a snapshot is in the log", func() bool { return len(s.cluster.Platform.Log.Peek("snapshots", 0, 1)) > 0 })
	s.cluster.Platform.Log.Expire("fleet", s.cluster.NewestSnapshotOffset())
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

// TestACutInOneDirection: a hall that can't reach the platform follows the log
// through the other hall's keepers, so that an edit is in force there too.
func TestACutInOneDirection(t *testing.T) {
	s := startStory(t, twoHalls())
	s.cluster.Network.Cut("north", platformHall)
	const south = 2

	assert.NilError(t, s.run.edit(context.Background(), "ana", south, func(wanted *settings.Table) { wanted.Services[0].Row.Queue++ }))

	s.await("the edit is in force at the cut hall", s.run.inForceEverywhere)
	got := s.call("view", standin.Work{Nonce: s.nonce(), WorkMs: 1}, nil)
	assert.Equal(t, got.status, http.StatusOK, got.body)
	s.cluster.Network.Heal()
}

// TestAListThatIsWrong drops an entry box and an endpoint box that live. The
// entry keeps its boxes, because it renews; the endpoint box is replaced without
// harm, and comes back.
func TestAListThatIsWrong(t *testing.T) {
	s := startStory(t, twoHalls())
	s.await("the hall's entries have boxes", func() bool { return s.holds(0) > 0 && s.holds(1) > 0 })
	load := startCallers(s.cluster, storyCallers)
	dropped := s.firstBox()
	info, _ := s.run.observer.present().Box(dropped)
	s.cluster.Platform.RemoveBox(dropped)
	s.cluster.Platform.RemoveBox(s.cluster.Nodes[0].Name)

	s.await("the box is replaced", func() bool {
		box, _ := s.run.observer.present().Box(dropped)
		return box.Pool == fold.FreePool && s.run.observer.formed()
	})
	s.run.wait(context.Background(), longerThanTheLease)
	assert.Assert(t, s.holds(0) > 0, "a living entry lost its boxes")
	s.cluster.Platform.PutBox(wire.ListedBox{Info: info.Info})
	s.await("the box is up again", func() bool {
		box, _ := s.run.observer.present().Box(dropped)
		return box.Health == wire.HealthUp
	})
	load.stop()
	for _, line := range load.lines() {
		assert.Equal(t, line.outcome, wire.OutcomeAnswered, "%+v", line)
	}
}

// TestARackLostDuringAWave: the boxes are replaced, the wave goes on within the
// budget, and the pool is formed again.
func TestARackLostDuringAWave(t *testing.T) {
	user := smallUser()
	user.Fleet.Halls = []settings.Hall{hall("north", 10, 2)}
	user.Fleet.RackBoxes = 2
	s := startStory(t, user)
	load := startCallers(s.cluster, storyCallers)
	now := s.cluster.clock.Now().UnixMilli()
	assert.NilError(t, s.run.edit(context.Background(), "ana", 0, func(wanted *settings.Table) { wanted.Deployment.MaintainBefore = int(now) }))
	lost, _ := s.run.observer.present().Box(s.firstBox())
	for _, box := range s.run.observer.present().Boxes() {
		if box.Info.Rack == lost.Info.Rack {
			s.cluster.Endpoints[box.Info.Name].SetFault(standin.FaultRefuse)
			s.cluster.Platform.RemoveBox(box.Info.Name)
		}
	}

	s.await("the others are maintained and the pool is formed", func() bool { return s.run.observer.due() == 0 && s.run.observer.formed() })

	load.stop()
	overlaps, cut, _ := s.cluster.Book.Violations()
	assert.Equal(t, overlaps+cut, 0)
}
