package trial

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/front"
	"damsonwinch/pkg/standin"
	"damsonwinch/pkg/wire"
)

const (
	testClients = 12
	waitTimeout = 30 * time.Second
)

// TestABadBoxIsEjectedAndRepaired: a box that fails everything is taken out,
// replaced from the free pool, and nearly every repeatable request is answered.
func TestABadBoxIsEjectedAndRepaired(t *testing.T) {
	s := newFixture(t, smallUser())
	bad := s.firstPoolBox()
	s.cluster.Endpoints[bad].SetFault(standin.FaultFailAll)
	load := startLoadGenerator(s.cluster, testClients)
	s.waitFor("the box is in the free pool", func() bool {
		box, _ := s.run.observer.currentState().Box(bad)
		return box.Pool == fold.FreePool
	})
	load.stop()
	count, failed := 0, 0
	for _, line := range load.results() {
		if line.repeatable {
			count++
			if line.status != http.StatusOK {
				failed++
			}
		}
	}
	assert.Assert(t, failed*1000 <= count, "%d of %d repeatable requests failed", failed, count)
	assert.Assert(t, s.run.observer.poolsFilled())
}

// TestABadJobEjectsNoBox: a request that fails everywhere is stopped, and no box
// is blamed for it.
func TestABadJobEjectsNoBox(t *testing.T) {
	s := newFixture(t, smallUser())
	const jobs = 30
	for range jobs {
		got := s.call("view", standin.Work{Nonce: s.nonce(), Poison: true}, nil)
		assert.Equal(t, got.status, http.StatusInternalServerError, got.body)
	}
	assert.Equal(t, s.cluster.Nodes[0].entryProcess.Metrics.Count("ejections"), 0)
	got := s.call("view", standin.Work{Nonce: s.nonce(), WorkMs: 1}, nil)
	assert.Equal(t, got.status, http.StatusOK, got.body)
}

// TestALeavingBoxGetsNoNewWork, not even while the log is down.
func TestALeavingBoxGetsNoNewWork(t *testing.T) {
	s := newFixture(t, smallUser())
	load := startLoadGenerator(s.cluster, testClients)
	s.cluster.Platform.Log.SetFaults(standin.LogFaults{Down: true})
	leaving := s.firstPoolBox()
	s.cluster.Endpoints[leaving].MarkLeaving()
	s.cluster.Platform.SetLeaving(leaving, true)
	s.run.wait(context.Background(), 3*time.Second)
	load.stop()
	_, _, late := s.cluster.Observations.Violations()
	assert.Equal(t, late, 0)
	assert.Assert(t, len(load.results()) > 0)
}

// TestABoxThatStaysAfterAllGetsWorkAgain: the list marked it as leaving and takes
// that back, when no other box leaves.
func TestABoxThatStaysAfterAllGetsWorkAgain(t *testing.T) {
	s := newFixture(t, smallUser())
	s.cluster.Platform.Log.SetFaults(standin.LogFaults{Down: true})
	boxes := s.run.observer.currentState().Boxes()
	for _, leaving := range []bool{true, false} {
		for _, box := range boxes {
			s.cluster.Platform.SetLeaving(box.Info.Name, leaving)
		}
		wanted := http.StatusOK
		if leaving {
			wanted = http.StatusServiceUnavailable
		}
		s.waitFor(fmt.Sprintf("the answer is %d", wanted), func() bool {
			header := map[string]string{front.HeaderDeadline: "100"}
			return s.call("view", standin.Work{Nonce: s.nonce(), WorkMs: 1}, header).status == wanted
		})
	}
}

// TestABurstOfCancellationsLeavesTheQueue: callers that go while they wait free
// their places at once.
func TestABurstOfCancellationsLeavesTheQueue(t *testing.T) {
	s := newFixture(t, smallUser())
	s.setFault(standin.FaultHang, allBoxes)
	ctx, cancel := context.WithCancel(context.Background())
	const burst = 300
	entry := s.cluster.Nodes[0].entryProcess
	for range burst {
		body := standin.Work{Nonce: s.nonce(), WorkMs: 1}
		s.runInBackground(func() { s.callUntilDone(ctx, "view", body) })
	}
	s.waitFor("many wait", func() bool { return entry.Metrics.Count("waiting") > 100 })
	cancel()
	s.waitFor("none waits", func() bool { return entry.Metrics.Count("waiting") == 0 })
	s.endFaults()
	got := s.call("view", standin.Work{Nonce: s.nonce(), WorkMs: 1}, nil)
	assert.Equal(t, got.status, http.StatusOK, got.body)
}

// TestAWaveCutsNothing maintains every box under load.
func TestAWaveCutsNothing(t *testing.T) {
	s := newFixture(t, smallUser())
	load := startLoadGenerator(s.cluster, testClients)
	s.run.options.Seconds = 100
	assert.NilError(t, s.run.maintainAllBoxes(context.Background()))
	load.stop()
	assert.Equal(t, s.run.observer.dueBoxes(), 0)
	overlaps, cut, _ := s.cluster.Observations.Violations()
	assert.Equal(t, overlaps+cut, 0)
	for _, line := range load.results() {
		assert.Equal(t, line.outcome, wire.OutcomeAnswered, "%+v", line)
	}
}

// TestAWaveHaltsWhenBoxesDoNotComeBack and says which.
func TestAWaveHaltsWhenBoxesDoNotComeBack(t *testing.T) {
	s := newFixture(t, smallUser())
	s.cluster.SetReboot(func(ctx context.Context, _ string) error {
		<-ctx.Done()
		return ctx.Err()
	})
	s.run.options.Seconds = 1
	assert.NilError(t, s.run.maintainAllBoxes(context.Background()))
	s.waitFor("the wave is halted", func() bool { return len(s.deferredChanges("halted")) > 0 })
	down := 0
	for _, box := range s.run.observer.currentState().Boxes() {
		if box.Phase == fold.Maintenance && box.Pool != fold.FreePool {
			down++
		}
	}
	assert.Equal(t, down, 1)
	assert.Assert(t, s.run.observer.currentState().Headroom("clerks") >= 0)
}
