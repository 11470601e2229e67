// Package intake brings clients' calls on jobs to the owners of their cells, on
// this node or another, and serves such calls of other nodes.
package intake

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"damsonwinch"
	"damsonwinch/pkg/call"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/ownership"
	"damsonwinch/pkg/wire"
)

// Times of a call that waits for an owner.
const (
	// holdTime is how long a call waits for a cell that has no owner. A takeover is
	// over in about a second; a client that is told to come back does so later.
	holdTime = 500 * time.Millisecond
	// ownerTime bounds the time in which an owner answers: it holds a job for a store
	// that is away for at most 2.4 s. A peer that is cut off is noticed sooner.
	ownerTime = 2600 * time.Millisecond
	// openTime is how long a call is tried again whose outcome is open; then the client
	// is told so, and may ask another node.
	openTime = 1600 * time.Millisecond
	// retryPause stands between two tries.
	retryPause = 40 * time.Millisecond
	// retryAfterMs tells a client when to come back after a refusal.
	retryAfterMs = 500
)

// Cells knows the cells' owners.
type Cells interface {
	// LocalOwner returns the cell's owner if it is on this node.
	LocalOwner(cell string) (CellOwner, bool)
	// View returns what is believed of all cells.
	View() ownership.View
	// StoreAnsweredAt returns when the store last answered this node.
	StoreAnsweredAt() time.Time
	// Admit says whether a call that another node has taken may be made, by what this one
	// knows of customers and their keys; if not, the reply.
	Admit(ctx context.Context, args wire.JobArgs) (wire.JobReply, bool)
	// ReportRefusedConnection tells that a node's life has refused a connection.
	ReportRefusedConnection(node string, incarnation int)
}

// CellOwner is what the owner of a cell answers.
type CellOwner interface {
	damsonwinch.JobService
	// Sync answers the fleet planner.
	Sync(ctx context.Context, args wire.SyncArgs) wire.SyncReply
}

// Deps are what a router works with.
type Deps struct {
	Cells   Cells
	Dial    damsonwinch.Dial
	Clock   damsonwinch.Clock
	Metrics *metrics.Set
	Logger  logrus.FieldLogger
}

// Router sends each call to the owner of its cell.
type Router struct {
	deps Deps
	// The lock guards only the table of connections, which calls of many clients
	// share.
	mutex sync.Mutex
	peers map[string]*call.Client
	// answeredAt and failedAt are when another node last did as asked, or could not be
	// reached, in nanoseconds since 1970.
	answeredAt atomic.Int64
	failedAt   atomic.Int64
}

var _ damsonwinch.JobService = (*Router)(nil)

// NewRouter returns a router.
func NewRouter(deps Deps) *Router {
	return &Router{deps: deps, peers: map[string]*call.Client{}}
}

// Close closes the connections to other nodes.
func (r *Router) Close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, peer := range r.peers {
		peer.Close()
	}
}

// method is one of the calls on jobs: its name between nodes, and the local call.
type method struct {
	name  string
	local func(jobs damsonwinch.JobService, ctx context.Context, args wire.JobArgs) wire.JobReply
}

var (
	submit  = method{ServiceName + ".Submit", damsonwinch.JobService.Submit}
	show    = method{ServiceName + ".Show", damsonwinch.JobService.Show}
	cancel  = method{ServiceName + ".Cancel", damsonwinch.JobService.Cancel}
	pending = method{ServiceName + ".Pending", damsonwinch.JobService.Pending}
)

// route tries a call until the owner has answered it or it has waited long
// enough. Owners take a job or a cancel of the same ID but once, so a try whose
// outcome is open may be repeated; but then "refused" can no longer be told.
func (r *Router) route(ctx context.Context, m method, args wire.JobArgs) wire.JobReply {
	ctx, done := context.WithTimeout(ctx, ownerTime)
	defer done()
	begun := r.deps.Clock.Now()
	open := false
	defer func() { r.deps.Metrics.Observe("call_"+m.name, r.deps.Clock.Since(begun)) }()
	for {
		args.WaitMs = waitMs(ctx, r.deps.Clock.Now())
		reply, maySent := r.try(ctx, m, args)
		open = open || maySent
		if !failed(reply) {
			return reply
		}
		if ctx.Err() != nil || final(reply) || r.deps.Clock.Now().Sub(begun) > patience(open) {
			return r.giveUp(m, args, reply, open, begun)
		}
		r.deps.Metrics.Add("route_retries", 1)
		if !r.sleep(ctx) {
			return r.giveUp(m, args, reply, open, begun)
		}
	}
}

// waitMs returns how long a call still waits for its answer, in milliseconds.
func waitMs(ctx context.Context, now time.Time) int {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return 0
	}
	return max(1, int(deadline.Sub(now).Milliseconds()))
}

// patience returns how long a call is tried again.
func patience(open bool) time.Duration {
	if open {
		return openTime
	}
	return holdTime
}

// final says whether an owner has refused a call for good: it tells when to come back.
func final(reply wire.JobReply) bool {
	return reply.Outcome == wire.JobOutcomeRefused && reply.RetryAfterMs > 0
}

// giveUp words the final answer of a call that no owner has answered.
func (r *Router) giveUp(m method, args wire.JobArgs, reply wire.JobReply, open bool, begun time.Time) wire.JobReply {
	claim, _ := r.deps.Cells.View().Owner(args.Cell)
	r.deps.Logger.WithFields(logrus.Fields{
		"call": m.name, "job": args.Id, "cell": args.Cell, "owner": claim.Node, "epoch": claim.Token, "open": open,
		"waited_ms": r.deps.Clock.Now().Sub(begun).Milliseconds(), "why": reply.Reason,
	}).Warn("call given up")
	if open {
		r.deps.Metrics.Add("calls_unknown", 1)
		return wire.JobReply{Outcome: wire.JobOutcomeUnknown, Reason: reply.Reason}
	}
	r.deps.Metrics.Add("calls_refused", 1)
	if reply.RetryAfterMs == 0 {
		reply.RetryAfterMs = retryAfterMs
	}
	return reply
}

// try makes one try and says whether it may have had an effect.
func (r *Router) try(ctx context.Context, m method, args wire.JobArgs) (wire.JobReply, bool) {
	if local, here := r.deps.Cells.LocalOwner(args.Cell); here {
		reply := m.local(local, ctx, args)
		return reply, reply.Outcome == wire.JobOutcomeUnknown
	}
	claim, known := r.deps.Cells.View().Owner(args.Cell)
	if !known {
		return wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: "the cell has no owner now"}, false
	}
	var reply wire.JobReply
	err := r.peer(claim.Address).Do(ctx, m.name, args, &reply)
	if err == nil {
		if !failed(reply) {
			r.answeredAt.Store(r.deps.Clock.Now().UnixNano())
		}
		return reply, reply.Outcome == wire.JobOutcomeUnknown
	}
	r.failedAt.Store(r.deps.Clock.Now().UnixNano())
	if call.Refused(err) {
		r.deps.Cells.ReportRefusedConnection(claim.Node, claim.Incarnation)
	}
	r.deps.Metrics.Add("forward_failures", 1)
	return wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: err.Error()}, call.MaySent(err)
}

// failed says whether an owner could not do what it was asked.
func failed(reply wire.JobReply) bool {
	return reply.Outcome == wire.JobOutcomeRefused || reply.Outcome == wire.JobOutcomeUnknown
}

// ReachesOwners says whether calls to other nodes were answered within a time as asked, the
// last one included.
func (r *Router) ReachesOwners(within time.Duration) bool {
	answered := r.answeredAt.Load()
	return answered > r.failedAt.Load() && r.deps.Clock.Now().UnixNano()-answered < within.Nanoseconds()
}

// Claims asks another node for the claims that it knows.
func (r *Router) Claims(ctx context.Context, address string, args wire.ClaimsArgs) (wire.ClaimsReply, error) {
	var reply wire.ClaimsReply
	err := r.peer(address).Do(ctx, ServiceName+".Claims", args, &reply)
	return reply, err
}

// Sync brings the fleet planner's call to the owner of a cell, with one try.
func (r *Router) Sync(ctx context.Context, args wire.SyncArgs) (wire.SyncReply, error) {
	if local, here := r.deps.Cells.LocalOwner(args.Cell); here {
		return local.Sync(ctx, args), nil
	}
	claim, known := r.deps.Cells.View().Owner(args.Cell)
	if !known {
		return wire.SyncReply{}, nil
	}
	var reply wire.SyncReply
	err := r.peer(claim.Address).Do(ctx, ServiceName+".Sync", args, &reply)
	return reply, err
}

func (r *Router) peer(address string) *call.Client {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.peers[address] == nil {
		r.peers[address] = call.New(address, r.deps.Dial, r.deps.Clock)
	}
	return r.peers[address]
}

func (r *Router) sleep(ctx context.Context) bool {
	timer := r.deps.Clock.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.Chan():
		return true
	}
}
