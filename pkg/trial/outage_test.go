package trial

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/fakes"
	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/wire"
)

// twoZoneUser returns smallUser with two zones of five boxes each: north with two
// entries, and south with one.
func twoZoneUser() User {
	user := smallUser()
	user.Fleet.Halls = []settings.Hall{newZone("north", 5, 2), newZone("south", 5, 1)}
	return user
}

// longerThanLease is the length of an outage of the log in which every lease expires,
// unless the keepers of the zone extend it.
const longerThanLease = 3 * leaseMs * time.Millisecond

// TestZoneThatIsCutOffKeepsServing: a zone is cut off from the platform and the other
// zone. Its own keepers extend the leases of its entries, and its boxes keep their
// senders.
func TestZoneThatIsCutOffKeepsServing(t *testing.T) {
	f := newFixture(t, twoZoneUser())
	f.waitFor("the zone's entries have boxes", func() bool { return f.boxesSentTo(0) > 0 && f.boxesSentTo(1) > 0 })
	before := f.run.observer.currentState()
	f.cluster.Network.CutBoth("north", platformZone)
	f.cluster.Network.CutBoth("north", "south")
	f.run.wait(context.Background(), longerThanLease)

	got := f.call("view", fakes.Work{Nonce: f.nonce(), WorkMs: 1}, nil)
	assert.Equal(t, got.status, http.StatusOK, got.body)
	for _, box := range f.run.observer.currentState().Boxes() {
		previous, _ := before.Box(box.Info.Name)
		if box.Info.Hall == "north" {
			assert.Equal(t, box.Sender, previous.Sender, "a box of the zone that is cut off got another sender")
		}
	}
	f.cluster.Network.Heal()
	f.waitFor("the zone reads the log again", func() bool {
		return f.cluster.Nodes[0].keeperProcess.Metrics.Count("offset") >= f.run.observer.currentState().Offset()
	})
}

// TestLogOutageStopsNoRequest: however long the log is down, boxes keep their senders,
// and the keepers of their zone extend the entries' leases.
func TestLogOutageStopsNoRequest(t *testing.T) {
	f := newFixture(t, twoZoneUser())
	f.cluster.Platform.Log.SetFaults(fakes.LogFaults{Down: true})
	f.run.wait(context.Background(), longerThanLease)

	const requests = 20
	for range requests {
		got := f.call("view", fakes.Work{Nonce: f.nonce(), WorkMs: 1}, nil)
		assert.Equal(t, got.status, http.StatusOK, got.body)
	}
	f.cluster.Platform.Log.SetFaults(fakes.LogFaults{})
}

// TestReplacedProcessesServeOnceLogIsBack: if all processes are replaced while the log
// is down, the new ones have no state and refuse requests until the log is back.
func TestReplacedProcessesServeOnceLogIsBack(t *testing.T) {
	f := newFixture(t, twoZoneUser())
	f.cluster.Platform.Log.SetFaults(fakes.LogFaults{Down: true})
	for _, node := range f.cluster.Nodes {
		assert.NilError(t, f.cluster.KillEntry(node))
		assert.NilError(t, f.cluster.StopKeeper(node))
	}
	for _, node := range f.cluster.Nodes {
		assert.NilError(t, f.cluster.StartNode(node))
	}
	got := f.call("view", fakes.Work{Nonce: f.nonce(), WorkMs: 1}, nil)
	assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
	assert.Equal(t, got.outcome, "not-run")

	f.cluster.Platform.Log.SetFaults(fakes.LogFaults{})

	f.waitFor("requests are answered again", func() bool {
		return f.call("view", fakes.Work{Nonce: f.nonce(), WorkMs: 1}, nil).status == http.StatusOK
	})
	assert.Equal(t, f.run.observer.currentState().Table().Version(), 1)
}

// TestNewProcessStartsFromSnapshot: the records up to the newest snapshot have expired,
// so that new processes need the snapshot.
func TestNewProcessStartsFromSnapshot(t *testing.T) {
	f := newFixture(t, twoZoneUser())
	f.waitFor("a snapshot is in the log", func() bool { return len(f.cluster.Platform.Log.Peek("snapshots", 0, 1)) > 0 })
	f.cluster.Platform.Log.Expire("fleet", f.cluster.NewestSnapshotOffset())
	for _, node := range f.cluster.Nodes {
		assert.NilError(t, f.cluster.KillEntry(node))
		assert.NilError(t, f.cluster.StopKeeper(node))
	}
	for _, node := range f.cluster.Nodes {
		assert.NilError(t, f.cluster.StartNode(node))
	}
	f.waitFor("requests are answered again", func() bool {
		return f.call("view", fakes.Work{Nonce: f.nonce(), WorkMs: 1}, nil).status == http.StatusOK
	})
}

// TestZoneWithoutPlatformFollowsLogThroughOtherZone: a zone that can't reach the
// platform reads the log from the other zone's keepers. An edit comes into force in
// both zones.
func TestZoneWithoutPlatformFollowsLogThroughOtherZone(t *testing.T) {
	f := newFixture(t, twoZoneUser())
	f.cluster.Network.Cut("north", platformZone)
	const south = 2

	assert.NilError(t, f.run.editTable(context.Background(), "ana", south, func(wanted *settings.Table) { wanted.Services[0].Row.Queue++ }))

	f.waitFor("the edit is in force in the zone that is cut off", f.run.newestTableInForce)
	got := f.call("view", fakes.Work{Nonce: f.nonce(), WorkMs: 1}, nil)
	assert.Equal(t, got.status, http.StatusOK, got.body)
	f.cluster.Network.Heal()
}

// TestListThatOmitsLiveBoxesInterruptsNoRequest: the list omits an entry box and an
// endpoint box that still work. The entry keeps its boxes because it renews its lease.
// The endpoint box is replaced without a failed request, and counts as up again once
// the list has it again.
func TestListThatOmitsLiveBoxesInterruptsNoRequest(t *testing.T) {
	f := newFixture(t, twoZoneUser())
	f.waitFor("the zone's entries have boxes", func() bool { return f.boxesSentTo(0) > 0 && f.boxesSentTo(1) > 0 })
	load := startLoadGenerator(f.cluster, testClients)
	dropped := f.firstPoolBox()
	info, _ := f.run.observer.currentState().Box(dropped)
	f.cluster.Platform.RemoveBox(dropped)
	f.cluster.Platform.RemoveBox(f.cluster.Nodes[0].Name)

	f.waitFor("the box is replaced", func() bool {
		box, _ := f.run.observer.currentState().Box(dropped)
		return box.Pool == fleetstate.FreePool && f.run.observer.poolsFilled()
	})
	f.run.wait(context.Background(), longerThanLease)
	assert.Assert(t, f.boxesSentTo(0) > 0, "an entry that renews its lease lost its boxes")
	f.cluster.Platform.PutBox(wire.ListedBox{Info: info.Info})
	f.waitFor("the box is up again", func() bool {
		box, _ := f.run.observer.currentState().Box(dropped)
		return box.Health == wire.HealthUp
	})
	load.stop()
	for _, result := range load.results() {
		assert.Equal(t, result.outcome, wire.OutcomeAnswered, "%+v", result)
	}
}

// TestMaintenanceWaveGoesOnAfterRackLoss: a rack is lost during a wave. Its boxes are
// replaced, the wave goes on within the pool's budget, and in the end the pool has the
// slots that it needs.
func TestMaintenanceWaveGoesOnAfterRackLoss(t *testing.T) {
	user := smallUser()
	user.Fleet.Halls = []settings.Hall{newZone("north", 10, 2)}
	user.Fleet.RackBoxes = 2
	f := newFixture(t, user)
	load := startLoadGenerator(f.cluster, testClients)
	now := f.cluster.clock.Now().UnixMilli()
	assert.NilError(t, f.run.editTable(context.Background(), "ana", 0, func(wanted *settings.Table) { wanted.Deployment.MaintainBefore = int(now) }))
	lost, _ := f.run.observer.currentState().Box(f.firstPoolBox())
	for _, box := range f.run.observer.currentState().Boxes() {
		if box.Info.Rack == lost.Info.Rack {
			f.cluster.Endpoints[box.Info.Name].SetFault(fakes.FaultRefuse)
			f.cluster.Platform.RemoveBox(box.Info.Name)
		}
	}

	f.waitFor("the other boxes are maintained and the pool has the slots that it needs", func() bool { return f.run.observer.dueBoxes() == 0 && f.run.observer.poolsFilled() })

	load.stop()
	overlaps, cutInFlight, _ := f.cluster.Observations.Violations()
	assert.Equal(t, overlaps+cutInFlight, 0)
}
