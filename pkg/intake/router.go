// Package intake routes clients' calls on jobs to the owners of the jobs' cells, on this node or another
// one, and serves such calls from other nodes.
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

// Timeouts and intervals for the routing of a call.
const (
	// refusedRetryTime is how long the router retries a call that certainly has had no effect, for
	// example because its cell has no owner. A takeover takes about a second, so the router then refuses
	// the call and tells the client to retry later.
	refusedRetryTime = 500 * time.Millisecond
	// routeTimeout bounds the time of a call including all attempts. While the store is unavailable, an
	// owner waits at most 2.4 s before it replies. A peer that is cut off is detected sooner.
	routeTimeout = 2600 * time.Millisecond
	// unknownRetryTime is how long the router retries a call whose outcome is unknown. It then tells the
	// client that the outcome is unknown. The client may then ask another node.
	unknownRetryTime = 1600 * time.Millisecond
	// retryInterval is the time between two attempts.
	retryInterval = 40 * time.Millisecond
	// retryAfterMs is the time after which a refused client should retry, in milliseconds.
	retryAfterMs = 500
)

// Cells gives a Router and a Service access to the owners of cells, as far as their node knows them.
type Cells interface {
	// LocalOwner returns the owner of a cell if it is on this node, and whether it is.
	LocalOwner(cell string) (CellOwner, bool)
	// View returns what this node knows about all cells.
	View() ownership.View
	// StoreAnsweredAt returns when the store last answered one of the calls that this node makes all the
	// time, such as its heartbeats.
	StoreAnsweredAt() time.Time
	// Admit reports whether a call that another node has forwarded is permitted by this node's
	// configuration of customers and their keys. If not, it returns the reply to the call.
	Admit(ctx context.Context, args wire.JobArgs) (wire.JobReply, bool)
	// CheckPool reports whether a call may be made on the owner of the cell that it names, which is on this
	// node, by the pool to which this node's configuration leads the call's queue. If not, it returns a refusal
	// that stands in for the acceptance of a job and for the reply that there is no such job.
	CheckPool(ctx context.Context, args wire.JobArgs) (wire.JobReply, bool)
	// MemberReply returns the reply to another node's request for the members of the group of nodes.
	MemberReply(args wire.MembersArgs) wire.MembersReply
	// DirectoryReply returns the reply to another node's request for the endpoints of some cells.
	DirectoryReply(args wire.DirectoryArgs) wire.DirectoryReply
	// WaitReason says what this node waits for before it serves clients. It is empty if it waits for nothing.
	WaitReason() string
	// ReportRefusedConnection reports that an incarnation of a node has refused a connection, which
	// shows that its process has ended.
	ReportRefusedConnection(node string, incarnation int)
}

// CellOwner is the owner of a cell, on this node.
type CellOwner interface {
	damsonwinch.JobService
	// Sync applies the planner's directives and allowances for the cell, and returns a report on it.
	Sync(ctx context.Context, args wire.SyncArgs) wire.SyncReply
}

// Deps are the dependencies of a Router.
type Deps struct {
	Cells   Cells
	Dial    damsonwinch.Dial
	Clock   damsonwinch.Clock
	Metrics *metrics.Set
	Logger  logrus.FieldLogger
}

// Router sends each call to the owner of its cell, and retries it if the owner changes meanwhile.
type Router struct {
	deps Deps
	// mutex guards peers, the connections to other nodes by address. The calls of all clients share
	// them.
	mutex sync.Mutex
	peers map[string]*call.Client
	// peerAnsweredAt is when another node last answered a call without refusing it, and peerFailedAt
	// when a call to another node last failed, both in Unix nanoseconds.
	peerAnsweredAt atomic.Int64
	peerFailedAt   atomic.Int64
}

var _ damsonwinch.JobService = (*Router)(nil)

// New returns a router. It connects to another node upon the first call to that node.
func New(deps Deps) *Router {
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

// method is one of the calls on jobs: name is its net/rpc name for calls to other nodes, and invoke calls an
// owner on this node.
type method struct {
	name   string
	invoke func(service damsonwinch.JobService, ctx context.Context, args wire.JobArgs) wire.JobReply
}

var (
	submitMethod  = method{ServiceName + ".Submit", damsonwinch.JobService.Submit}
	showMethod    = method{ServiceName + ".Show", damsonwinch.JobService.Show}
	cancelMethod  = method{ServiceName + ".Cancel", damsonwinch.JobService.Cancel}
	pendingMethod = method{ServiceName + ".Pending", damsonwinch.JobService.Pending}
)

// route makes attempts at a call until its owner has carried it out or refused it for good, or until the
// time for retries is over. An attempt whose outcome is unknown may be repeated, because an owner accepts a
// job of the same ID, or its cancellation, only once. But once an attempt's outcome is unknown, a later
// refusal doesn't show that the call had no effect, and the outcome of the call remains unknown.
func (r *Router) route(ctx context.Context, m method, args wire.JobArgs) wire.JobReply {
	ctx, done := context.WithTimeout(ctx, routeTimeout)
	defer done()
	startedAt := r.deps.Clock.Now()
	outcomeUnknown := false
	defer func() { r.deps.Metrics.Observe("call_"+m.name, r.deps.Clock.Since(startedAt)) }()
	for {
		args.WaitMs = remainingMs(ctx, r.deps.Clock.Now())
		reply, mayHaveEffect := r.attempt(ctx, m, args)
		outcomeUnknown = outcomeUnknown || mayHaveEffect
		if !isFailure(reply) {
			return unlessUnsettledAfter(outcomeUnknown, reply)
		}
		if ctx.Err() != nil || isFinalRefusal(reply) || r.deps.Clock.Now().Sub(startedAt) > maxRetryTime(outcomeUnknown) {
			return r.giveUp(m, args, reply, outcomeUnknown, startedAt)
		}
		r.deps.Metrics.Add("route_retries", 1)
		if !r.sleep(ctx) {
			return r.giveUp(m, args, reply, outcomeUnknown, startedAt)
		}
	}
}

// unlessUnsettledAfter returns the reply to a call, or that its outcome is unknown if an owner can't accept a job yet that an
// earlier attempt may have submitted: should the job be refused in the end, that attempt might still be carried out.
func unlessUnsettledAfter(outcomeUnknown bool, reply wire.JobReply) wire.JobReply {
	if outcomeUnknown && reply.Outcome == wire.JobOutcomeUnsettled {
		return wire.JobReply{Outcome: wire.JobOutcomeUnknown, Reason: "an earlier attempt may have submitted the job"}
	}
	return reply
}

// remainingMs returns the time until a call's deadline in milliseconds, at least 1, or 0 if it has none.
func remainingMs(ctx context.Context, now time.Time) int {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return 0
	}
	return max(1, int(deadline.Sub(now).Milliseconds()))
}

// maxRetryTime returns how long a call is retried. outcomeUnknown says whether an attempt may have had an
// effect.
func maxRetryTime(outcomeUnknown bool) time.Duration {
	if outcomeUnknown {
		return unknownRetryTime
	}
	return refusedRetryTime
}

// isFinalRefusal reports whether an owner has refused a call and has said when the client should retry. The
// router doesn't retry such a call.
func isFinalRefusal(reply wire.JobReply) bool {
	return reply.Outcome == wire.JobOutcomeRefused && reply.RetryAfterMs > 0
}

// giveUp counts and logs a call that isn't retried any more, and returns the reply to the client. reply is
// that of the last attempt.
func (r *Router) giveUp(m method, args wire.JobArgs, reply wire.JobReply, outcomeUnknown bool, startedAt time.Time) wire.JobReply {
	claim, _ := r.deps.Cells.View().Owner(args.Cell)
	r.deps.Logger.WithFields(logrus.Fields{
		"call": m.name, "job": args.Id, "cell": args.Cell, "owner": claim.Node, "epoch": claim.Token, "open": outcomeUnknown,
		"waited_ms": r.deps.Clock.Now().Sub(startedAt).Milliseconds(), "why": reply.Reason,
	}).Warn("call given up")
	if outcomeUnknown {
		r.deps.Metrics.Add("calls_unknown", 1)
		return wire.JobReply{Outcome: wire.JobOutcomeUnknown, Reason: reply.Reason}
	}
	r.deps.Metrics.Add("calls_refused", 1)
	if reply.RetryAfterMs == 0 {
		reply.RetryAfterMs = retryAfterMs
	}
	return reply
}

// attempt makes one attempt at a call. The second result reports whether its outcome is unknown: the call
// may have been carried out, or may still be.
func (r *Router) attempt(ctx context.Context, m method, args wire.JobArgs) (wire.JobReply, bool) {
	if owner, isLocal := r.deps.Cells.LocalOwner(args.Cell); isLocal {
		reply := callOwner(ctx, r.deps.Cells, owner, m, args)
		return reply, reply.Outcome == wire.JobOutcomeUnknown
	}
	claim, owned := r.deps.Cells.View().Owner(args.Cell)
	if !owned {
		return wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: "the cell has no owner now"}, false
	}
	var reply wire.JobReply
	err := r.peer(claim.Address).Do(ctx, m.name, args, &reply)
	if err == nil {
		if !isFailure(reply) {
			r.peerAnsweredAt.Store(r.deps.Clock.Now().UnixNano())
		}
		return reply, reply.Outcome == wire.JobOutcomeUnknown
	}
	r.peerFailedAt.Store(r.deps.Clock.Now().UnixNano())
	if call.ConnectionRefused(err) {
		r.deps.Cells.ReportRefusedConnection(claim.Node, claim.Incarnation)
	}
	r.deps.Metrics.Add("forward_failures", 1)
	return wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: err.Error()}, call.MayHaveExecuted(err)
}

// isFailure reports whether a call was refused or its outcome is unknown.
func isFailure(reply wire.JobReply) bool {
	return reply.Outcome == wire.JobOutcomeRefused || reply.Outcome == wire.JobOutcomeUnknown
}

// ReachesOwners reports whether this node can reach owners on other nodes: one has answered a call without
// refusing it in the last maxAge, and no call to another node has failed since.
func (r *Router) ReachesOwners(maxAge time.Duration) bool {
	answeredAt := r.peerAnsweredAt.Load()
	return answeredAt > r.peerFailedAt.Load() && r.deps.Clock.Now().UnixNano()-answeredAt < maxAge.Nanoseconds()
}

// Claims asks the node at an address for the claims that it knows.
func (r *Router) Claims(ctx context.Context, address string, args wire.ClaimsArgs) (wire.ClaimsReply, error) {
	var reply wire.ClaimsReply
	err := r.peer(address).Do(ctx, ServiceName+".Claims", args, &reply)
	return reply, err
}

// Members asks the node at an address for the members of the group of nodes that it knows.
func (r *Router) Members(ctx context.Context, address string, args wire.MembersArgs) (wire.MembersReply, error) {
	var reply wire.MembersReply
	err := r.peer(address).Do(ctx, ServiceName+".Members", args, &reply)
	return reply, err
}

// Directory asks the node at an address for what has changed in the lists of some cells' endpoints.
func (r *Router) Directory(ctx context.Context, address string, args wire.DirectoryArgs) (wire.DirectoryReply, error) {
	var reply wire.DirectoryReply
	err := r.peer(address).Do(ctx, ServiceName+".Directory", args, &reply)
	return reply, err
}

// Sync sends a call of the fleet planner to the owner of a cell. It makes one attempt. If the cell has no
// owner, the reply's Known is false.
func (r *Router) Sync(ctx context.Context, args wire.SyncArgs) (wire.SyncReply, error) {
	if owner, isLocal := r.deps.Cells.LocalOwner(args.Cell); isLocal {
		return owner.Sync(ctx, args), nil
	}
	claim, owned := r.deps.Cells.View().Owner(args.Cell)
	if !owned {
		return wire.SyncReply{}, nil
	}
	var reply wire.SyncReply
	err := r.peer(claim.Address).Do(ctx, ServiceName+".Sync", args, &reply)
	return reply, err
}

// peer returns the client for calls to the node at an address, and creates it if there is none.
func (r *Router) peer(address string) *call.Client {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.peers[address] == nil {
		r.peers[address] = call.New(address, r.deps.Dial, r.deps.Clock)
	}
	return r.peers[address]
}

// sleep waits for retryInterval. It returns false if the context ends first.
func (r *Router) sleep(ctx context.Context) bool {
	timer := r.deps.Clock.NewTimer(retryInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.Chan():
		return true
	}
}
