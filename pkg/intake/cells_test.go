package intake

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/ownership"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// fakeOwner is the owner of a cell that keeps the jobs it is handed.
type fakeOwner struct {
	jobs    map[string]bool
	pending wire.JobReply
}

func (o *fakeOwner) Submit(_ context.Context, args wire.JobArgs) wire.JobReply {
	o.jobs[args.Id] = true
	return wire.JobReply{Outcome: wire.JobOutcomeAccepted}
}

func (o *fakeOwner) Show(_ context.Context, args wire.JobArgs) wire.JobReply {
	if !o.jobs[args.Id] {
		return wire.JobReply{Outcome: wire.JobOutcomeNoSuchJob}
	}
	return wire.JobReply{Outcome: wire.JobOutcomeFound, State: wire.JobStateRunning}
}

func (o *fakeOwner) Cancel(_ context.Context, args wire.JobArgs) wire.JobReply {
	if !o.jobs[args.Id] {
		return wire.JobReply{Outcome: wire.JobOutcomeNoSuchJob}
	}
	delete(o.jobs, args.Id)
	return wire.JobReply{Outcome: wire.JobOutcomeAccepted}
}

func (o *fakeOwner) Pending(context.Context, wire.JobArgs) wire.JobReply { return o.pending }

func (o *fakeOwner) Sync(context.Context, wire.SyncArgs) wire.SyncReply { return wire.SyncReply{} }

// fakeCells are cells that are all owned here.
type fakeCells struct {
	layout shard.Layout
	owners map[string]*fakeOwner
}

func (c *fakeCells) LocalOwner(cell string) (CellOwner, bool) {
	owner, here := c.owners[cell]
	return owner, here
}

func (c *fakeCells) View() ownership.View                { return ownership.View{Layout: c.layout} }
func (c *fakeCells) StoreAnsweredAt() time.Time          { return time.Time{} }
func (c *fakeCells) ReportRefusedConnection(string, int) {}

func (c *fakeCells) Admit(context.Context, wire.JobArgs) (wire.JobReply, bool) {
	return wire.JobReply{}, true
}

func newFakeCells(shards int) *fakeCells {
	c := &fakeCells{layout: shard.NewLayout(shards, []string{"pool"}), owners: map[string]*fakeOwner{}}
	for number, cell := range c.layout.CellNames("pool") {
		c.owners[cell] = &fakeOwner{jobs: map[string]bool{}, pending: wire.JobReply{Outcome: wire.JobOutcomeFound, Pending: 1 + number}}
	}
	return c
}

func routerOf(cells Cells) *Router {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return NewRouter(Deps{Cells: cells, Clock: clockwork.NewRealClock(), Metrics: metrics.New(), Logger: logger})
}

func jobOf(id string, lasting bool) wire.JobArgs {
	return wire.JobArgs{Queue: "queue", Pool: "pool", Id: id, Spec: &wire.JobSpec{Phases: []wire.Phase{{Count: 1, Lasting: lasting}}}}
}

// TestAJobIsFoundInItsCell whether its tasks last or not, and by any call: the calls that
// follow don't tell.
func TestAJobIsFoundInItsCell(t *testing.T) {
	cells := newFakeCells(4)
	router, ctx := routerOf(cells), t.Context()
	for _, id := range []string{"a1", "b2", "c3", "d4", "e5", "f6", "a7", "b8"} {
		for _, lasting := range []bool{false, true} {
			name := id
			if lasting {
				name += "-lasts"
			}
			assert.Equal(t, router.Submit(ctx, jobOf(name, lasting)).Outcome, wire.JobOutcomeAccepted)
			if lasting {
				assert.Assert(t, cells.owners[shard.CellName("pool", cells.layout.LongRunningJobShard("pool"))].jobs[name])
			}
			asked := wire.JobArgs{Queue: "queue", Pool: "pool", Id: name}
			assert.Equal(t, router.Show(ctx, asked).State, wire.JobStateRunning)
			assert.Equal(t, router.Cancel(ctx, asked).Outcome, wire.JobOutcomeAccepted)
			assert.Equal(t, router.Show(ctx, asked).Outcome, wire.JobOutcomeNoSuchJob)
		}
	}
}

// TestPendingIsTheSumOverAllCells, or untold where one of them can't tell: a part of it
// would be taken for the whole.
func TestPendingIsTheSumOverAllCells(t *testing.T) {
	cells := newFakeCells(3)
	router := routerOf(cells)
	args := wire.JobArgs{Queue: "queue", Pool: "pool"}
	assert.DeepEqual(t, router.Pending(t.Context(), args), wire.JobReply{Outcome: wire.JobOutcomeFound, Pending: 6})

	cells.owners["pool@1"].pending = wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: "busy", RetryAfterMs: 500}
	assert.Equal(t, router.Pending(t.Context(), args).Outcome, wire.JobOutcomeRefused)
}

// TestNothingIsTakenBeforeTheCellsAreLaidOut: a job in the wrong cell would not be found.
func TestNothingIsTakenBeforeTheCellsAreLaidOut(t *testing.T) {
	router := routerOf(&fakeCells{})
	for _, reply := range []wire.JobReply{
		router.Submit(t.Context(), jobOf("a", false)), router.Show(t.Context(), jobOf("a", false)),
		router.Cancel(t.Context(), jobOf("a", false)), router.Pending(t.Context(), jobOf("", false)),
	} {
		assert.Equal(t, reply.Outcome, wire.JobOutcomeRefused)
		assert.Assert(t, reply.RetryAfterMs > 0)
	}
}
