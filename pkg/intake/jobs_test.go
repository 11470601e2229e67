package intake

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"damsonwinch/pkg/addressbook"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/ownership"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// fakeOwner is an owner of a cell that only stores which jobs were submitted and not cancelled, and what it knows of
// addresses. It counts the calls that ask for jobs or cancel them.
type fakeOwner struct {
	mutex   sync.Mutex // Guards book and jobs in calls that are made at the same time.
	book    *addressbook.Book
	jobs    map[string]bool
	pending wire.JobReply
	// losesReply is set if the reply to the next submission is lost.
	losesReply bool
	// failure is the reply to each call that asks for a job or cancels one, unless it is the zero value.
	failure wire.JobReply
	lookups atomic.Int64
	// lastArgs holds the arguments of the last of these calls.
	lastArgs atomic.Pointer[wire.JobArgs]
}

func (o *fakeOwner) Submit(_ context.Context, args wire.JobArgs) wire.JobReply {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.losesReply {
		o.losesReply = false
		return wire.JobReply{Outcome: wire.JobOutcomeUnknown, Reason: "lost"}
	}
	if args.Address != "" && !o.jobs[args.Id] {
		entry := o.book.Entry(args.Address)
		submission := addressbook.Submission{Address: args.Address, Version: args.ConfigVersion, Asked: args.Asked, AskedAll: args.AskedAll, Holding: args.Holding}
		switch o.book.Submit(time.Time{}, submission) {
		case addressbook.Refuse:
			return wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: "closed", RetryAfterMs: 500}
		case addressbook.AskAll:
			return wire.JobReply{Outcome: wire.JobOutcomeUnsettled}
		case addressbook.AskFormer:
			return wire.JobReply{Outcome: wire.JobOutcomeUnsettled, Former: entry.Former, OpenedBy: entry.OpenedBy}
		}
	}
	o.jobs[args.Id] = true
	return wire.JobReply{Outcome: wire.JobOutcomeAccepted}
}

func (o *fakeOwner) Show(_ context.Context, args wire.JobArgs) wire.JobReply {
	o.lookups.Add(1)
	o.lastArgs.Store(&args)
	if o.failure.Outcome != "" {
		return o.failure
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.jobs[args.Id] {
		return wire.JobReply{Outcome: wire.JobOutcomeFound, State: wire.JobStateRunning}
	}
	if args.Closing && !o.book.Close(time.Time{}, args.Address, args.ConfigVersion) {
		return wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: "open by a newer configuration", RetryAfterMs: 500}
	}
	return wire.JobReply{Outcome: wire.JobOutcomeNoSuchJob, HoldsNone: args.Closing && len(o.jobs) == 0}
}

func (o *fakeOwner) Cancel(_ context.Context, args wire.JobArgs) wire.JobReply {
	o.lookups.Add(1)
	o.lastArgs.Store(&args)
	if o.failure.Outcome != "" {
		return o.failure
	}
	if !o.jobs[args.Id] {
		return wire.JobReply{Outcome: wire.JobOutcomeNoSuchJob}
	}
	delete(o.jobs, args.Id)
	return wire.JobReply{Outcome: wire.JobOutcomeAccepted}
}

func (o *fakeOwner) Pending(context.Context, wire.JobArgs) wire.JobReply { return o.pending }

func (o *fakeOwner) Sync(context.Context, wire.SyncArgs) wire.SyncReply { return wire.SyncReply{} }

// fakeCells are cells that are all owned by this node.
type fakeCells struct {
	layout     shard.Layout
	owners     map[string]*fakeOwner
	waitReason string
	// misdirected is the refusal of a call whose queue leads elsewhere, if it is not the zero value.
	misdirected wire.JobReply
}

func (c *fakeCells) LocalOwner(cell string) (CellOwner, bool) {
	owner, isLocal := c.owners[cell]
	return owner, isLocal
}

func (c *fakeCells) View() ownership.View                { return ownership.View{Layout: c.layout} }
func (c *fakeCells) StoreAnsweredAt() time.Time          { return time.Time{} }
func (c *fakeCells) ReportRefusedConnection(string, int) {}
func (c *fakeCells) WaitReason() string                  { return c.waitReason }

func (c *fakeCells) MemberReply(wire.MembersArgs) wire.MembersReply { return wire.MembersReply{} }
func (c *fakeCells) DirectoryReply(wire.DirectoryArgs) wire.DirectoryReply {
	return wire.DirectoryReply{}
}

func (c *fakeCells) Admit(context.Context, wire.JobArgs) (wire.JobReply, bool) {
	return wire.JobReply{}, true
}

func (c *fakeCells) CheckPool(context.Context, wire.JobArgs) (wire.JobReply, bool) {
	return c.misdirected, c.misdirected.Outcome == ""
}

// newFakeCells returns the cells of the pool "pool" and of others. The cell of shard n has n+1 pending jobs.
func newFakeCells(shards int, otherPools ...string) *fakeCells {
	pools := append([]string{"pool"}, otherPools...)
	c := &fakeCells{layout: shard.New(shards, pools), owners: map[string]*fakeOwner{}}
	for _, pool := range pools {
		for number, cell := range c.layout.CellNames(pool) {
			c.owners[cell] = &fakeOwner{book: addressbook.New(), jobs: map[string]bool{}, pending: wire.JobReply{Outcome: wire.JobOutcomeFound, Pending: 1 + number}}
		}
	}
	return c
}

func newTestRouter(cells Cells) *Router {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return New(Deps{Cells: cells, Clock: clockwork.NewRealClock(), Metrics: metrics.New(), Logger: logger})
}

// submitArgs returns the arguments with which a client submits a job of one task.
func submitArgs(id string, longRunning bool) wire.JobArgs {
	return wire.JobArgs{Queue: "queue", Address: "address", ConfigVersion: 1, Pool: "pool", Id: id, Spec: &wire.JobSpec{Phases: []wire.Phase{{Count: 1, Lasting: longRunning}}}}
}

// Show and Cancel find a job in its cell, although their calls don't say whether the job is long-running.
func TestJobIsFoundInItsCell(t *testing.T) {
	cells := newFakeCells(4)
	router, ctx := newTestRouter(cells), t.Context()
	for _, id := range []string{"a1", "b2", "c3", "d4", "e5", "f6", "a7", "b8"} {
		for _, longRunning := range []bool{false, true} {
			name := id
			if longRunning {
				name += "-lasts"
			}
			assert.Equal(t, router.Submit(ctx, submitArgs(name, longRunning)).Outcome, wire.JobOutcomeAccepted)
			if longRunning {
				assert.Assert(t, cells.owners[shard.CellName("pool", cells.layout.LongRunningJobShard("pool"))].jobs[name])
			}
			args := wire.JobArgs{Queue: "queue", Pool: "pool", Id: name}
			assert.Equal(t, router.Show(ctx, args).State, wire.JobStateRunning)
			assert.Equal(t, router.Cancel(ctx, args).Outcome, wire.JobOutcomeAccepted)
			assert.Equal(t, router.Show(ctx, args).Outcome, wire.JobOutcomeNoSuchJob)
		}
	}
}

// If one cell can't say how many jobs are pending, the whole call fails: a part of the sum would be taken
// for the whole.
func TestPendingIsTheSumOverAllCells(t *testing.T) {
	cells := newFakeCells(3)
	router := newTestRouter(cells)
	args := wire.JobArgs{Queue: "queue", Pool: "pool"}
	assert.DeepEqual(t, router.Pending(t.Context(), args), wire.JobReply{Outcome: wire.JobOutcomeFound, Pending: 6})

	cells.owners["pool@1"].pending = wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: "busy", RetryAfterMs: 500}
	assert.Equal(t, router.Pending(t.Context(), args).Outcome, wire.JobOutcomeRefused)
}

// A job that was put into the wrong cell would not be found later.
func TestCallsAreRefusedBeforeLayoutIsDecided(t *testing.T) {
	router := newTestRouter(&fakeCells{})
	for _, reply := range []wire.JobReply{
		router.Submit(t.Context(), submitArgs("a", false)), router.Show(t.Context(), submitArgs("a", false)),
		router.Cancel(t.Context(), submitArgs("a", false)), router.Pending(t.Context(), submitArgs("", false)),
	} {
		assert.Equal(t, reply.Outcome, wire.JobOutcomeRefused)
		assert.Assert(t, reply.RetryAfterMs > 0)
	}
}

// TestRefusalBeforeTheLayoutSaysWhatTheNodeWaitsFor guards against a fleet that refuses everything without a line that
// says why.
func TestRefusalBeforeTheLayoutSaysWhatTheNodeWaitsFor(t *testing.T) {
	logger, hook := logrustest.NewNullLogger()
	counters := metrics.New()
	router := New(Deps{Cells: &fakeCells{waitReason: "layout: not decided"}, Clock: clockwork.NewRealClock(), Metrics: counters, Logger: logger})
	for _, call := range []func(context.Context, wire.JobArgs) wire.JobReply{router.Submit, router.Show, router.Cancel, router.Pending} {
		reply := call(t.Context(), wire.JobArgs{Queue: "queue", Pool: "pool", Id: "a1"})
		assert.Equal(t, reply.Outcome, wire.JobOutcomeRefused)
		assert.Assert(t, reply.RetryAfterMs > 0)
		assert.Equal(t, hook.LastEntry().Data["waits_for"], "layout: not decided")
	}
	assert.Equal(t, counters.Count("calls_refused"), 4)
	assert.Equal(t, len(hook.AllEntries()), 4)
}
