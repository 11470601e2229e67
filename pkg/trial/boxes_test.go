package trial

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/entry"
	"damsonwinch/pkg/fakes"
	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/wire"
)

const (
	testClients = 12
	waitTimeout = 30 * time.Second
)

// TestFailingBoxIsReplacedFromFreePool: a box that fails every request is ejected and
// replaced by a box of the free pool. At most one in 1000 repeatable requests fails.
func TestFailingBoxIsReplacedFromFreePool(t *testing.T) {
	f := newFixture(t, smallUser())
	failing := f.firstPoolBox()
	f.cluster.Endpoints[failing].SetFault(fakes.FaultFailAll)
	load := startLoadGenerator(f.cluster, testClients)
	f.waitFor("the box is in the free pool", func() bool {
		box, _ := f.run.observer.currentState().Box(failing)
		return box.Pool == fleetstate.FreePool
	})
	load.stop()
	count, failed := 0, 0
	for _, result := range load.results() {
		if result.repeatable {
			count++
			if result.status != http.StatusOK {
				failed++
			}
		}
	}
	assert.Assert(t, failed*1000 <= count, "%d of %d repeatable requests failed", failed, count)
	assert.Assert(t, f.run.observer.poolsFilled())
}

// TestRequestThatFailsEverywhereEjectsNoBox: the client gets the failure, and the
// boxes that ran the request are not ejected for it.
func TestRequestThatFailsEverywhereEjectsNoBox(t *testing.T) {
	f := newFixture(t, smallUser())
	const requests = 30
	for range requests {
		got := f.call("view", fakes.Work{Nonce: f.nonce(), Poison: true}, nil)
		assert.Equal(t, got.status, http.StatusInternalServerError, got.body)
	}
	assert.Equal(t, f.cluster.Nodes[0].entryProcess.Metrics.Count("ejections"), 0)
	got := f.call("view", fakes.Work{Nonce: f.nonce(), WorkMs: 1}, nil)
	assert.Equal(t, got.status, http.StatusOK, got.body)
}

// TestLeavingBoxGetsNoNewRequestsWhileLogIsDown: the entries learn from the platform's
// list that a box is leaving, even if they can't read the log.
func TestLeavingBoxGetsNoNewRequestsWhileLogIsDown(t *testing.T) {
	f := newFixture(t, smallUser())
	load := startLoadGenerator(f.cluster, testClients)
	f.cluster.Platform.Log.SetFaults(fakes.LogFaults{Down: true})
	leaving := f.firstPoolBox()
	f.cluster.Endpoints[leaving].MarkLeaving()
	f.cluster.Platform.SetLeaving(leaving, true)
	f.run.wait(context.Background(), 3*time.Second)
	load.stop()
	_, _, late := f.cluster.Observations.Violations()
	assert.Equal(t, late, 0)
	assert.Assert(t, len(load.results()) > 0)
}

// TestBoxGetsRequestsAgainWhenListWithdrawsLeaving: the list shows all boxes as
// leaving, so that no request can run, and then none. Requests run again.
func TestBoxGetsRequestsAgainWhenListWithdrawsLeaving(t *testing.T) {
	f := newFixture(t, smallUser())
	f.cluster.Platform.Log.SetFaults(fakes.LogFaults{Down: true})
	boxes := f.run.observer.currentState().Boxes()
	for _, leaving := range []bool{true, false} {
		for _, box := range boxes {
			f.cluster.Platform.SetLeaving(box.Info.Name, leaving)
		}
		wanted := http.StatusOK
		if leaving {
			wanted = http.StatusServiceUnavailable
		}
		f.waitFor(fmt.Sprintf("the response has status %d", wanted), func() bool {
			header := map[string]string{entry.HeaderDeadline: "100"}
			return f.call("view", fakes.Work{Nonce: f.nonce(), WorkMs: 1}, header).status == wanted
		})
	}
}

// TestCancelledRequestsLeaveQueue: clients disconnect while their requests wait, and
// their places in the queue become free.
func TestCancelledRequestsLeaveQueue(t *testing.T) {
	f := newFixture(t, smallUser())
	f.setFault(fakes.FaultHang, allBoxes)
	ctx, cancel := context.WithCancel(context.Background())
	const burst = 300
	entryProcess := f.cluster.Nodes[0].entryProcess
	for range burst {
		body := fakes.Work{Nonce: f.nonce(), WorkMs: 1}
		f.runInBackground(func() { f.callUntilDone(ctx, "view", body) })
	}
	f.waitFor("many requests wait", func() bool { return entryProcess.Metrics.Count("waiting") > 100 })
	cancel()
	f.waitFor("no request waits", func() bool { return entryProcess.Metrics.Count("waiting") == 0 })
	f.endFaults()
	got := f.call("view", fakes.Work{Nonce: f.nonce(), WorkMs: 1}, nil)
	assert.Equal(t, got.status, http.StatusOK, got.body)
}

// TestMaintenanceWaveInterruptsNoRequest maintains every box under load. Every request
// is answered.
func TestMaintenanceWaveInterruptsNoRequest(t *testing.T) {
	f := newFixture(t, smallUser())
	load := startLoadGenerator(f.cluster, testClients)
	f.run.options.Seconds = 100
	assert.NilError(t, f.run.maintainAllBoxes(context.Background()))
	load.stop()
	assert.Equal(t, f.run.observer.dueBoxes(), 0)
	overlaps, cutInFlight, _ := f.cluster.Observations.Violations()
	assert.Equal(t, overlaps+cutInFlight, 0)
	for _, result := range load.results() {
		assert.Equal(t, result.outcome, wire.OutcomeAnswered, "%+v", result)
	}
}

// TestMaintenanceWaveHaltsWhenBoxDoesNotComeBack: while one box has not come back from
// its reboot, no other box goes into maintenance and the pool keeps its headroom.
func TestMaintenanceWaveHaltsWhenBoxDoesNotComeBack(t *testing.T) {
	f := newFixture(t, smallUser())
	f.cluster.SetReboot(func(ctx context.Context, _ string) error {
		<-ctx.Done()
		return ctx.Err()
	})
	f.run.options.Seconds = 1
	assert.NilError(t, f.run.maintainAllBoxes(context.Background()))
	f.waitFor("the wave is halted", func() bool { return len(f.deferredChanges("halted")) > 0 })
	down := 0
	for _, box := range f.run.observer.currentState().Boxes() {
		if box.Phase == fleetstate.Maintenance && box.Pool != fleetstate.FreePool {
			down++
		}
	}
	assert.Equal(t, down, 1)
	assert.Assert(t, f.run.observer.currentState().Headroom("clerks") >= 0)
}
