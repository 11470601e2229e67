// Package ownership decides which node owns which cell. Nodes are members of a
// group that the store keeps, and a cell's owner is who made the newest claim in
// a stream that all nodes follow. A claim counts only if its maker had seen all
// earlier ones. Being wrong about who is alive costs time, never safety: the
// offset of a claim is the epoch that the store and the endpoints check.
package ownership

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"damsonwinch"
	"damsonwinch/pkg/feed"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// Names in the store.
const (
	groupName  = "nodes"
	groupTopic = "nodes"
	// claimTopic holds the newest claim of each cell.
	claimTopic = "keyed.claims"
	// cellTopic holds the records of the cells, one in each partition.
	cellTopic = "keyed.cells"
)

// Times of membership.
const (
	// joinEvery is the time between two proofs of life. It leaves room for two
	// that are lost before the group gives a member up.
	joinEvery = 300 * time.Millisecond
	// membersEvery is the time between two readings of who is in the group by a
	// node that may have to take a cell over next, and restEvery that of the others,
	// which only step in where all of those are gone: each reading has a price.
	membersEvery = 500 * time.Millisecond
	restEvery    = 2500 * time.Millisecond
	// callTimeout bounds a call to the store; a slow one is better given up, since
	// what it would tell is old.
	callTimeout = 600 * time.Millisecond
	// claimWait is how long a reading of the claims waits for news. Each answer
	// also proves that the node's own claims still stand.
	claimWait = time.Second
	tick      = 100 * time.Millisecond
	// leastTTL is how long the group keeps a silent node, unless the platform
	// asks for more.
	leastTTL = time.Second
)

// Deps are what ownership works with.
type Deps struct {
	Store   damsonwinch.Store
	Clock   damsonwinch.Clock
	Logger  logrus.FieldLogger
	Metrics *metrics.Set
	// SuspendedTime tells of suspensions of the machine.
	SuspendedTime damsonwinch.SuspendedTime
	// FetchClaims asks another node for the claims that it knows.
	FetchClaims func(ctx context.Context, address string, args wire.ClaimsArgs) (wire.ClaimsReply, error)
	// OnViewChange is told the claims in force after each change, and what was asked
	// when, so that the node can run the cells that are its own. It must not wait.
	OnViewChange func(View)
}

// View is what a node believes about the cells.
type View struct {
	Claims  map[string]Claim
	Members []Member
	// MembersComplete says that the list of members has probably all of them.
	MembersComplete bool
	// Layout says into how many cells each pool is cut.
	Layout shard.Layout
	// ConfirmedAt is when the newest answered reading of the claims was sent: until
	// then the claims stood as they are here.
	ConfirmedAt time.Time
}

// Owner returns the owner of a cell.
func (v View) Owner(cell string) (Claim, bool) {
	claim, known := v.Claims[cell]
	return claim, known && !claim.Released
}

// Options say who this node is.
type Options struct {
	Self Member
	// MembershipTTL is how long the group keeps a silent node.
	MembershipTTL time.Duration
	// Partitions is how many partitions a topic has.
	Partitions int
	// FirstStart says that the system starts for the first time.
	FirstStart bool
}

// Ownership is one node's part in sharing out the cells.
type Ownership struct {
	deps    Deps
	options Options
	inbox   chan any
	group   *errgroup.Group
	ctx     context.Context // Ends with the task.
	cancel  context.CancelFunc
	state   state
	feed    *feed.Feed
	// answeredAt is when the store last answered a call, in nanoseconds since 1970.
	answeredAt atomic.Int64
}

// Messages to the task.
type (
	cellsWanted struct{ cells []string }
	claimsRead  struct {
		records  []damsonwinch.Record
		end      int
		snapshot bool
		askedAt  time.Time
	}
	joined struct {
		membership damsonwinch.Membership
		err        error
	}
	membersListed struct {
		members []Member
		// topics is how many topics the members deal in, at most.
		topics int
		// crowded says that hardly a partition was left over.
		crowded bool
		askedAt time.Time
		err     error
	}
	claimed struct {
		claim wire.CellClaim
		// end is the offset at which the claim was to be appended.
		end int
		err error
	}
	leave     struct{ done chan<- struct{} }
	suspected struct {
		node        string
		incarnation int
	}
	claimsHeard struct {
		reply wire.ClaimsReply
		err   error
	}
	renounced struct {
		cell  string
		token int
	}
	// workRead is the sum of the ends of the streams of a node's cells.
	workRead struct {
		node        string
		incarnation int
		askedAt     time.Time
		ends        int
		err         error
	}
	proofHeard struct {
		node        string
		incarnation int
		askedAt     time.Time
		reply       wire.ClaimsReply
		err         error
	}
)

// New joins the group and begins to follow the claims.
func New(deps Deps, options Options) *Ownership {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	o := &Ownership{
		deps: deps, options: options, inbox: make(chan any, 64), group: group, ctx: ctx, cancel: cancel,
		state: state{claims: map[string]Claim{}, claimedAt: map[string]time.Time{}, startedAt: deps.Clock.Now(), refusals: map[string]refusal{}, topics: 1, outdated: noEnd, renounced: map[string]int{}, moves: map[string]moveWanted{}, proofs: map[string]proof{}},
	}
	o.feed = o.newFeed()
	group.Go(o.run)
	group.Go(func() error {
		o.feed.Run(ctx)
		return nil
	})
	return o
}

// SetCells names the cells that need an owner.
func (o *Ownership) SetCells(cells []string) {
	o.send(cellsWanted{cells: cells})
}

// ReportRefusedConnection tells that the address of a node's life has refused a connection: its process
// has ended.
func (o *Ownership) ReportRefusedConnection(node string, incarnation int) {
	o.send(suspected{node: node, incarnation: incarnation})
}

// ReleaseClaim gives up a claim whose owner has ended by itself.
func (o *Ownership) ReleaseClaim(cell string, token int) {
	o.send(renounced{cell: cell, token: token})
}

// Leave gives up all cells and leaves the group, for a planned stop. It returns
// once the store knows or the context ends.
func (o *Ownership) Leave(ctx context.Context) {
	done := make(chan struct{})
	o.send(leave{done: done})
	select {
	case <-done:
	case <-ctx.Done():
	case <-o.ctx.Done():
	}
}

// StoreAnsweredAt returns when the store last answered this node.
func (o *Ownership) StoreAnsweredAt() time.Time {
	return time.Unix(0, o.answeredAt.Load())
}

// Close ends the task and waits for its calls.
func (o *Ownership) Close() error {
	o.cancel()
	if err := o.group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

func (o *Ownership) send(m any) {
	select {
	case o.inbox <- m:
	case <-o.ctx.Done():
	}
}

func (o *Ownership) run() error {
	ticker := o.deps.Clock.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return nil
		case m := <-o.inbox:
			o.take(m)
		case <-ticker.Chan():
		}
		o.wake()
		o.act()
	}
}

func (o *Ownership) take(m any) {
	now := o.deps.Clock.Now()
	s := &o.state
	switch m := m.(type) {
	case cellsWanted:
		s.cells, s.watchedOld = m.cells, true
	case claimsRead:
		o.takeClaims(m)
	case joined:
		s.joining = false
		if m.err != nil {
			o.deps.Metrics.Add("join_failures", 1)
			return
		}
		s.generation, s.unlisted = m.membership.Generation, len(m.membership.Assigned) == 0
		o.answeredAt.Store(now.UnixNano())
	case membersListed:
		s.reading = false
		if m.err != nil {
			o.deps.Metrics.Add("members_failures", 1)
			return
		}
		o.takeMembers(m)
	case claimed:
		s.claiming = false
		o.takeClaimed(m)
	case claimsHeard:
		o.hear(m)
	case suspected:
		o.suspect(m, now)
	case proofHeard:
		o.takeProof(m, now)
	case workRead:
		o.takeWork(m, now)
	case partitionWanted:
		s.takers = append(s.takers, m.take)
	case partitionTaken:
		s.claiming = false
		o.takePartition(m)
	case moveWanted:
		s.moves[m.cell] = m
	case layoutDecided:
		s.layoutWanted = m.layout
	case layoutWritten:
		s.claiming = false
		o.takeWritten(m)
	case renounced:
		s.renounced[m.cell] = m.token
	case leave:
		o.leave(m, now)
	}
}

func (o *Ownership) publish() {
	s := &o.state
	o.deps.OnViewChange(View{Claims: maps.Clone(s.claims), Members: slices.Clone(s.roster.members), MembersComplete: s.steady, Layout: s.layout, ConfirmedAt: s.confirmed})
}

// act makes the calls that are due.
func (o *Ownership) act() {
	s := &o.state
	now := o.deps.Clock.Now()
	if s.leaving {
		return
	}
	if !s.joining && now.Sub(s.joinedAt) >= joinEvery {
		s.joining, s.joinedAt = true, now
		o.join()
	}
	unsettled := s.membersAt.Before(o.settledAt())
	if !s.reading && (now.Sub(s.readAt) >= o.readEvery() || unsettled && !now.Before(o.settledAt())) {
		s.reading, s.readAt = true, now
		o.readMembers(now)
	}
	if !s.asking && now.Sub(s.confirmed) >= staleAfter && now.Sub(s.askedAt) >= joinEvery {
		o.askPeer(now)
	}
	o.watch(now)
	if s.claiming || !s.claimsRead || now.Sub(s.failedAt) < claimPause {
		return
	}
	if s.end == s.outdated {
		o.awaitClaims(now)
		return
	}
	s.outdatedAt = time.Time{}
	for _, due := range []func(){o.writeLayout, o.moveOne, o.takeOnePartition, o.releaseOne, o.reclaimOne} {
		if !s.claiming {
			due()
		}
	}
	if !s.claiming && !unsettled {
		o.claimOne()
	}
	if !s.claiming && !unsettled {
		o.handOverOne(now)
	}
}
