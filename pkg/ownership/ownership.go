// Package ownership decides which node owns which cell, a shard of a pool's boxes and jobs. The
// nodes are members of a group that the store keeps. A cell belongs to the node that made its newest
// claim in a stream that all nodes follow. A node can append a claim only if it has read all earlier
// ones. A wrong decision about which nodes are alive costs time, never safety: the offset of a claim
// gives the fencing token that the store and the endpoints check.
package ownership

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"damsonwinch"
	"damsonwinch/pkg/cellclaim"
	"damsonwinch/pkg/claimpace"
	"damsonwinch/pkg/feed"
	"damsonwinch/pkg/liveness"
	"damsonwinch/pkg/membership"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/wire"
)

// Intervals and timeouts of the calls to the store.
const (
	// joinInterval is the time between two Join calls, which are the node's heartbeats in the group.
	// Two of them may be lost before the group drops the member.
	joinInterval = 300 * time.Millisecond
	// fastMemberReadInterval is the time between two reads of the member list by a node that may be
	// the next to take over a cell. The other nodes take over cells only if all of those nodes are
	// gone. They use slowMemberReadInterval, because each read costs bandwidth.
	fastMemberReadInterval = 500 * time.Millisecond
	slowMemberReadInterval = 2500 * time.Millisecond
	// callTimeout limits a call to the store. A slower response is of no use, because what it reports
	// is out of date.
	callTimeout = 600 * time.Millisecond
	// claimReadWait is how long a read of the claims waits for new records. Each response, even an
	// empty one, also confirms that the node's own claims are still the newest.
	claimReadWait = time.Second
	// tickInterval is the longest time after which run checks again which calls are due.
	tickInterval = 100 * time.Millisecond
)

// Deps are the dependencies of Ownership.
type Deps struct {
	Store   damsonwinch.Store
	Clock   damsonwinch.Clock
	Logger  logrus.FieldLogger
	Metrics *metrics.Set
	// SuspendedTime returns the total time for which the machine has been suspended.
	SuspendedTime damsonwinch.SuspendedTime
	// FetchClaims asks the node at an address for its name, its incarnation and the claims that it
	// knows. It serves as health check as well.
	FetchClaims func(ctx context.Context, address string, args wire.ClaimsArgs) (wire.ClaimsReply, error)
	// FetchMembers asks the node at an address for the members that it knows.
	FetchMembers func(ctx context.Context, address string, args wire.MembersArgs) (wire.MembersReply, error)
	// OnViewChange receives the new view after each change and after each answered read of the
	// claims, so that the node can run the cells that it owns. It must not block.
	OnViewChange func(View)
}

// Options configure the Ownership of one node.
type Options struct {
	// Self is this node as a member of the group.
	Self membership.Member
	// MembershipTTL is how long the group keeps a member that sends no heartbeat, but at least for a second.
	MembershipTTL time.Duration
	// Partitions is the number of partitions of each topic.
	Partitions int
	// AnnounceCell is the cell whose owner decides the layout. A node that holds no partition of the group
	// announces itself to that owner until the layout has been decided. If it is empty, no node does.
	AnnounceCell string
	// FirstStart reports whether the whole system starts for the first time. The node then gives the
	// others time to join before it claims cells, even if there are claims already.
	FirstStart bool
}

// Ownership keeps one node in the group, follows the claims, and claims and releases cells for that
// node. One goroutine, run, handles all messages and owns the state.
type Ownership struct {
	deps    Deps
	options Options
	inbox   chan any
	group   *errgroup.Group
	ctx     context.Context // Cancelled by Close.
	cancel  context.CancelFunc
	state   state
	members membership.Group
	writer  cellclaim.Writer
	feed    *feed.Feed
	// readPace spaces the reads of feed.
	readPace claimpace.Reads
	// answeredAt is when the store last answered a call, in Unix nanoseconds.
	answeredAt atomic.Int64
	// membersConfirmedAt is the time at which the list of members was last known to be the newest, in Unix
	// nanoseconds, or 0 if there is no list yet.
	membersConfirmedAt atomic.Int64
}

// The goroutine of run handles these messages, and alone holds the state.
type (
	cellsSet struct{ cells []string }
	// claimsRead holds records of the stream of claims up to the offset end. If snapshot is set, they
	// are the newest records of all keys, otherwise those that follow the previous ones.
	claimsRead struct {
		records  []damsonwinch.Record
		end      int
		snapshot bool
		sentAt   time.Time
	}
	joinReturned struct {
		membership damsonwinch.Membership
		err        error
	}
	membersRead struct {
		// list is not set if unchanged is.
		list membership.List
		// generation is that of the group to which the list belongs. If unchanged is set, that is the
		// list that this node has.
		generation int
		unchanged  bool
		// fromPeer reports whether another node was asked.
		fromPeer bool
		sentAt   time.Time
		err      error
	}
	claimAppended struct {
		claim wire.CellClaim
		// end is the offset at which the claim was to be appended.
		end int
		err error
	}
	// backoffEnded has run try an append again that conflicted with another node's.
	backoffEnded struct{}
	// leaveRequested asks run to leave the group. done is closed once that has been tried.
	leaveRequested    struct{ done chan<- struct{} }
	connectionRefused struct {
		node        string
		incarnation int
	}
	peerClaimsReceived struct {
		reply wire.ClaimsReply
		err   error
	}
	releaseRequested struct {
		cell  string
		token int
	}
	// streamEndsRead holds in ends the sum of the end offsets of the streams of a node's cells.
	streamEndsRead struct {
		node        string
		incarnation int
		sentAt      time.Time
		ends        int
		err         error
	}
	// healthReply is the result of a health check of an owner.
	healthReply struct {
		node        string
		incarnation int
		sentAt      time.Time
		reply       wire.ClaimsReply
		err         error
	}
)

// New returns the Ownership of one node, which joins the group and follows the claims until Close.
func New(deps Deps, options Options) *Ownership {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	o := &Ownership{
		deps: deps, options: options, inbox: make(chan any, 64), group: group, ctx: ctx, cancel: cancel,
		members: membership.NewGroup(deps.Store, options.Self, options.MembershipTTL), writer: cellclaim.NewWriter(deps.Store),
		state: state{claims: map[string]cellclaim.Claim{}, claimedAt: map[string]time.Time{}, startedAt: deps.Clock.Now(), refusals: map[string]liveness.Refusal{}, topicCount: 1, listGeneration: noGeneration, conflictEnd: noConflict, pendingReleases: map[string]int{}, pendingMoves: map[string]moveRequested{}, health: map[nodeLife]ownerHealth{}},
	}
	o.feed = o.newFeed()
	group.Go(o.run)
	group.Go(func() error {
		o.feed.Run(ctx)
		return nil
	})
	return o
}

// SetCells sets the names of all cells that need an owner.
func (o *Ownership) SetCells(cells []string) {
	o.send(cellsSet{cells: cells})
}

// ReportRefusedConnection reports that the address of an incarnation of a node has refused a
// connection, which means that its process has exited.
func (o *Ownership) ReportRefusedConnection(node string, incarnation int) {
	o.send(connectionRefused{node: node, incarnation: incarnation})
}

// ReleaseClaim releases this node's claim of a cell, after the owner or the planner that ran here for
// that cell has stopped by itself. It does nothing if token is not that of the cell's newest claim.
func (o *Ownership) ReleaseClaim(cell string, token int) {
	o.send(releaseRequested{cell: cell, token: token})
}

// Leave releases all cells of this node and leaves the group, for a planned stop. It returns when
// the calls to the store have returned, when ctx is done or when Close is called.
func (o *Ownership) Leave(ctx context.Context) {
	done := make(chan struct{})
	o.send(leaveRequested{done: done})
	select {
	case <-done:
	case <-ctx.Done():
	case <-o.ctx.Done():
	}
}

// StoreAnsweredAt returns when the store last answered a heartbeat or a read of the claims. Before
// the first response it returns the start of 1970.
func (o *Ownership) StoreAnsweredAt() time.Time {
	return time.Unix(0, o.answeredAt.Load())
}

// Close stops run and waits until all calls have returned.
func (o *Ownership) Close() error {
	o.cancel()
	if err := o.group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// send passes a message to run, unless Close has been called.
func (o *Ownership) send(m any) {
	select {
	case o.inbox <- m:
	case <-o.ctx.Done():
	}
}

// run handles messages and starts calls until Close is called.
func (o *Ownership) run() error {
	ticker := o.deps.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return nil
		case m := <-o.inbox:
			o.handle(m)
		case <-ticker.Chan():
		}
		o.checkSuspension()
		o.startDueCalls()
	}
}

// handle updates the state with one message.
func (o *Ownership) handle(m any) {
	now := o.deps.Clock.Now()
	s := &o.state
	switch m := m.(type) {
	case cellsSet:
		s.cells = m.cells
		o.invalidateRanking()
	case claimsRead:
		o.handleClaimsRead(m)
	case joinReturned:
		s.joinPending = false
		if m.err != nil {
			o.deps.Metrics.Add("join_failures", 1)
			return
		}
		o.handleJoined(m.membership, now)
	case memberAnnounced:
		o.handleAnnounced(m, now)
	case membersRead:
		s.memberReadPending = false
		if m.err != nil {
			o.handleMembersFailed(m)
			return
		}
		o.handleMembersRead(m)
	case claimAppended:
		s.appendPending = false
		o.handleClaimAppended(m)
	case peerClaimsReceived:
		o.handlePeerClaims(m)
	case connectionRefused:
		o.recordRefusal(m, now)
	case healthReply:
		o.handleHealthReply(m, now)
	case streamEndsRead:
		o.handleStreamEnds(m, now)
	case partitionRequested:
		s.partitionWaiters = append(s.partitionWaiters, m.onReserved)
	case partitionAppended:
		s.appendPending = false
		o.handlePartitionAppended(m)
	case moveRequested:
		s.pendingMoves[m.cell] = m
	case layoutProposed:
		s.proposedLayout = m.layout
	case layoutAppended:
		s.appendPending = false
		o.handleLayoutAppended(m)
	case releaseRequested:
		s.pendingReleases[m.cell] = m.token
	case leaveRequested:
		o.handleLeave(m, now)
	}
}

// startDueCalls starts the calls that are due. At most one append to the stream of claims runs at a
// time.
func (o *Ownership) startDueCalls() {
	s := &o.state
	now := o.deps.Clock.Now()
	if s.leaving {
		return
	}
	if !s.joinPending && now.Sub(s.joinSentAt) >= joinInterval {
		s.joinPending, s.joinSentAt = true, now
		o.join()
	}
	unsettled := s.membersReadAt.Before(o.membersSettledAt())
	if o.memberReadDue(now) {
		s.memberReadPending, s.memberReadSentAt = true, now
		o.readMembers(now)
	}
	if !s.fetchPending && o.claimsOverdue(now) && now.Sub(s.fetchSentAt) >= joinInterval {
		o.fetchPeerClaims(now)
	}
	o.announceIfUnlisted(now)
	o.watchOwners(now)
	if s.appendPending || !s.haveClaims || now.Sub(s.appendFailedAt) < appendRetryDelay {
		return
	}
	if s.claimsEnd == s.conflictEnd {
		o.awaitConflictingRecord(now)
		return
	}
	s.conflictSince = time.Time{}
	if now.Before(s.appendNotBefore) {
		return
	}
	for _, due := range []func(){o.writeLayout, o.moveNextClaim, o.reserveNextPartition, o.releaseNextCell, o.reclaimNextCell} {
		if !s.appendPending {
			due()
		}
	}
	if !s.appendPending && !unsettled {
		o.claimNextCell()
	}
	if !s.appendPending && !unsettled {
		o.handOverNextCell(now)
	}
}
