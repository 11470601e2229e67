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

func twoZoneUser() User {
	user := smallUser()
	user.Fleet.Halls = []settings.Hall{newZone("north", 5, 2), newZone("south", 5, 1)}
	return user
}

// longerThanLease is a cut that the log's lease alone doesn't outlast.
const longerThanLease = 3 * leaseMs * time.Millisecond

// TestACutHallServesOn: cut off from the platform and the other hall, its
// entries go on by each other's promises, and nobody frees their boxes.
func TestACutHallServesOn(t *testing.T) {
	s := newFixture(t, twoZoneUser())
	s.waitFor("the hall's entries have boxes", func() bool { return s.boxesSentTo(0) > 0 && s.boxesSentTo(1) > 0 })
	before := s.run.observer.currentState()
	s.cluster.Network.CutBoth("north", platformZone)
	s.cluster.Network.CutBoth("north", "south")
	s.run.wait(context.Background(), longerThanLease)

	got := s.call("view", standin.Work{Nonce: s.nonce(), WorkMs: 1}, nil)
	assert.Equal(t, got.status, http.StatusOK, got.body)
	for _, box := range s.run.observer.currentState().Boxes() {
		was, _ := before.Box(box.Info.Name)
		if box.Info.Hall == "north" {
			assert.Equal(t, box.Sender, was.Sender, "a cut hall's box got another sender")
		}
	}
	s.cluster.Network.Heal()
	s.waitFor("the hall reads the log again", func() bool {
		return s.cluster.Nodes[0].keeperProcess.Metrics.Count("offset") >= s.run.observer.currentState().Offset()
	})
}

// TestAnOutageOfTheLogStopsNoRequest, however long it is: what is assigned stays
// so, and entries go on by their hall's promises.
func TestAnOutageOfTheLogStopsNoRequest(t *testing.T) {
	s := newFixture(t, twoZoneUser())
	s.cluster.Platform.Log.SetFaults(standin.LogFaults{Down: true})
	s.run.wait(context.Background(), longerThanLease)

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
	s := newFixture(t, twoZoneUser())
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

	s.waitFor("requests are answered again", func() bool {
		return s.call("view", standin.Work{Nonce: s.nonce(), WorkMs: 1}, nil).status == http.StatusOK
	})
	assert.Equal(t, s.run.observer.currentState().Table().Version(), 1)
}

// TestANewProcessStartsFromASnapshot when the first records have expired.
func TestANewProcessStartsFromASnapshot(t *testing.T) {
	s := newFixture(t, twoZoneUser())
	s.waitFor("a snapshot is in the log", func() bool { return len(s.cluster.Platform.Log.Peek("snapshots", 0, 1)) > 0 })
	s.cluster.Platform.Log.Expire("fleet", s.cluster.NewestSnapshotOffset())
	for _, node := range s.cluster.Nodes {
		assert.NilError(t, s.cluster.KillEntry(node))
		assert.NilError(t, s.cluster.StopKeeper(node))
	}
	for _, node := range s.cluster.Nodes {
		assert.NilError(t, s.cluster.StartNode(node))
	}
	s.waitFor("requests are answered again", func() bool {
		return s.call("view", standin.Work{Nonce: s.nonce(), WorkMs: 1}, nil).status == http.StatusOK
	})
}

// TestACutInOneDirection: a hall that can't reach the platform follows the log
// through the other hall's keepers, so that an edit is in force there too.
func TestACutInOneDirection(t *testing.T) {
	s := newFixture(t, twoZoneUser())
	s.cluster.Network.Cut("north", platformZone)
	const south = 2

	assert.NilError(t, s.run.editTable(context.Background(), "ana", south, func(wanted *settings.Table) { wanted.Services[0].Row.Queue++ }))

	s.waitFor("the edit is in force at the cut hall", s.run.newestTableInForce)
	got := s.call("view", standin.Work{Nonce: s.nonce(), WorkMs: 1}, nil)
	assert.Equal(t, got.status, http.StatusOK, got.body)
	s.cluster.Network.Heal()
}

// TestAListThatIsWrong drops an entry box and an endpoint box that live. The
// entry keeps its boxes, because it renews; the endpoint box is replaced without
// harm, and comes back.
func TestAListThatIsWrong(t *testing.T) {
	s := newFixture(t, twoZoneUser())
	s.waitFor("the hall's entries have boxes", func() bool { return s.boxesSentTo(0) > 0 && s.boxesSentTo(1) > 0 })
	load := startLoadGenerator(s.cluster, testClients)
	dropped := s.firstPoolBox()
	info, _ := s.run.observer.currentState().Box(dropped)
	s.cluster.Platform.RemoveBox(dropped)
	s.cluster.Platform.RemoveBox(s.cluster.Nodes[0].Name)

	s.waitFor("the box is replaced", func() bool {
		box, _ := s.run.observer.currentState().Box(dropped)
		return box.Pool == fold.FreePool && s.run.observer.poolsFilled()
	})
	s.run.wait(context.Background(), longerThanLease)
	assert.Assert(t, s.boxesSentTo(0) > 0, "a living entry lost its boxes")
	s.cluster.Platform.PutBox(wire.ListedBox{Info: info.Info})
	s.waitFor("the box is up again", func() bool {
		box, _ := s.run.observer.currentState().Box(dropped)
		return box.Health == wire.HealthUp
	})
	load.stop()
	for _, line := range load.results() {
		assert.Equal(t, line.outcome, wire.OutcomeAnswered, "%+v", line)
	}
}

// TestARackLostDuringAWave: the boxes are replaced, the wave goes on within the
// budget, and the pool is formed again.
func TestARackLostDuringAWave(t *testing.T) {
	user := smallUser()
	user.Fleet.Halls = []settings.Hall{newZone("north", 10, 2)}
	user.Fleet.RackBoxes = 2
	s := newFixture(t, user)
	load := startLoadGenerator(s.cluster, testClients)
	now := s.cluster.clock.Now().UnixMilli()
	assert.NilError(t, s.run.editTable(context.Background(), "ana", 0, func(wanted *settings.Table) { wanted.Deployment.MaintainBefore = int(now) }))
	lost, _ := s.run.observer.currentState().Box(s.firstPoolBox())
	for _, box := range s.run.observer.currentState().Boxes() {
		if box.Info.Rack == lost.Info.Rack {
			s.cluster.Endpoints[box.Info.Name].SetFault(standin.FaultRefuse)
			s.cluster.Platform.RemoveBox(box.Info.Name)
		}
	}

	s.waitFor("the others are maintained and the pool is formed", func() bool { return s.run.observer.dueBoxes() == 0 && s.run.observer.poolsFilled() })

	load.stop()
	overlaps, cut, _ := s.cluster.Observations.Violations()
	assert.Equal(t, overlaps+cut, 0)
}
