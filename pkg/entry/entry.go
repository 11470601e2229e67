// Package entry implements the entry, the process that accepts clients' requests over HTTP. An entry
// admits and queues requests, sends each to an endpoint on one of its boxes, or forwards it to another
// entry that has boxes of the pool, and returns the response. One goroutine, the loop, owns the queues,
// the boxes and the lease; each request has a goroutine of its own, which waits for the loop to grant
// it a box. The log lists each incarnation of an entry as a sender; a box has one sender at a time.
package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"damsonwinch"
	"damsonwinch/pkg/balance"
	"damsonwinch/pkg/call"
	"damsonwinch/pkg/claim"
	"damsonwinch/pkg/eject"
	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/follow"
	"damsonwinch/pkg/invariant"
	"damsonwinch/pkg/lease"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/queue"
	"damsonwinch/pkg/send"
	"damsonwinch/pkg/settings"
)

// ServiceName is the name of the net/rpc service that an entry serves to other entries.
const ServiceName = "Entry"

const (
	inboxCapacity     = 1024
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	bytesPerKilobyte  = 1024
)

// Deps holds what an entry needs.
type Deps struct {
	Settings settings.Entry
	Clock    damsonwinch.Clock
	// Log is the platform's log, to which the entry appends claims of idempotency keys.
	Log  damsonwinch.Log
	Dial damsonwinch.Dial
	// Listener accepts calls from other entries, HTTPListener the requests of clients.
	Listener     net.Listener
	HTTPListener net.Listener
	Logger       logrus.FieldLogger
	Metrics      *metrics.Set
	Invariants   *invariant.Checker
	// InitialState is the state before the first log record.
	InitialState fleetstate.State
	// Seed seeds the random choices of boxes and of entries to forward to.
	Seed uint64
}

// Entry is a running entry. New starts it, Stop and Close stop it.
type Entry struct {
	deps Deps
	// incarnation is the start time of the process, in nanoseconds since 1970. key identifies the entry as
	// a sender in the log. Only the loop uses key.Incarnation, which rejoin replaces by a higher one.
	incarnation    int
	key            fleetstate.SenderKey
	inbox          chan any
	updates        chan follow.Update
	ctx            context.Context //nolint:containedctx // Ends with the entry, for work that outlives a client's request.
	cancel         context.CancelFunc
	group          *errgroup.Group
	rpcServer      *call.Server
	httpServer     *http.Server
	endpointClient *send.Client
	claimer        *claim.Claimer
	keepers        []*call.Client
	stopping       atomic.Bool // A planned stop has begun.
	requestCount   atomic.Int64
	heldBytes      atomic.Int64 // Total size of the request bodies in memory.
	entryCount     atomic.Int64 // Entries that append claims, as the log lists them.
	// currentState and leaseValidUntil are copies of the loop's state for other goroutines.
	currentState    atomic.Pointer[fleetstate.State]
	leaseValidUntil atomic.Pointer[time.Time]

	loopState
}

// loopState is the state that only the loop, the goroutine of run, reads and writes.
type loopState struct {
	state           fleetstate.State
	boxes           map[string]*ownBox      // The boxes that this entry sends to, by name.
	routes          map[string][]route      // The other entries that send to boxes of a pool, by pool.
	queues          map[string]*queue.Queue // By pool.
	usages          map[string]*usage       // By service.
	learner         *balance.Learner
	ejections       *eject.Tracker
	random          *rand.Rand
	boxLeavingSince map[string]time.Time // When a box was first read as leaving, for those that still are.
	lease           leaseState
	requests        map[string]*requestState // Requests that wait or have a grant, by ID.
	leaving         bool                     // In a planned stop: the entry hands over its boxes.
	retryBudgets    map[string]float64       // Retries that may be made now, by service.
	peerClients     map[string]*call.Client  // By address.
	lastUrgent      map[string]time.Time     // When an urgent request last looked for a box, by pool.
	cache           cache
}

// New starts an entry. Its incarnation is its start time in nanoseconds, so that a later process on the
// same box has a higher one.
func New(deps Deps) (*Entry, error) {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	incarnation := int(deps.Clock.Now().UnixNano())
	e := &Entry{
		deps:           deps,
		incarnation:    incarnation,
		key:            fleetstate.SenderKey{Node: deps.Settings.Node, Incarnation: incarnation},
		inbox:          make(chan any, inboxCapacity),
		updates:        make(chan follow.Update),
		ctx:            ctx,
		cancel:         cancel,
		group:          group,
		endpointClient: send.New(deps.Dial),
	}
	e.loopState = e.newLoopState()
	e.currentState.Store(&deps.InitialState)
	e.leaseValidUntil.Store(&time.Time{})
	for _, keeper := range deps.Settings.Keepers {
		e.keepers = append(e.keepers, call.New(keeper.Address, deps.Dial, deps.Clock))
	}
	e.claimer = claim.New(claim.Deps{
		Log: deps.Log, Clock: deps.Clock, Node: deps.Settings.Node, Incarnation: incarnation,
		Metrics: deps.Metrics, EntryCount: func() int { return int(e.entryCount.Load()) },
	})
	server, err := call.Serve(deps.Listener, ServiceName, &service{entry: e})
	if err != nil {
		cancel()
		return nil, fmt.Errorf("serve entry %s: %w", deps.Settings.Node, err)
	}
	e.rpcServer = server
	e.start(ctx)
	return e, nil
}

func (e *Entry) newLoopState() loopState {
	return loopState{
		state:           e.deps.InitialState,
		boxes:           map[string]*ownBox{},
		routes:          map[string][]route{},
		queues:          map[string]*queue.Queue{},
		usages:          map[string]*usage{},
		learner:         balance.New(),
		ejections:       eject.New(),
		random:          rand.New(rand.NewPCG(e.deps.Seed, uint64(e.incarnation))),
		boxLeavingSince: map[string]time.Time{},
		lease:           newLeaseState(lease.Timing{Duration: milliseconds(e.deps.Settings.LeaseMs)}),
		requests:        map[string]*requestState{},
		retryBudgets:    map[string]float64{},
		peerClients:     map[string]*call.Client{},
		lastUrgent:      map[string]time.Time{},
		cache:           newCache(),
	}
}

func milliseconds(count int) time.Duration {
	return time.Duration(count) * time.Millisecond
}

// start starts the goroutines that follow the log, run the loop and serve HTTP. The first two end with ctx.
func (e *Entry) start(ctx context.Context) {
	sources := make([]damsonwinch.RecordSource, 0, len(e.keepers))
	for _, keeper := range e.keepers {
		sources = append(sources, follow.PeerSource{Client: keeper})
	}
	follower := follow.New(follow.Deps{
		Clock: e.deps.Clock, Sources: sources, Invariants: e.deps.Invariants, InitialState: e.deps.InitialState, Updates: e.updates,
	})
	e.group.Go(func() error { return follower.Run(ctx) })
	e.group.Go(func() error { return e.run(ctx) })
	e.httpServer = &http.Server{Handler: e.handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	e.group.Go(func() error {
		// Serve returns an error once Stop or Close has shut the server down.
		_ = e.httpServer.Serve(e.deps.HTTPListener)
		return nil
	})
}

// Incarnation returns the process's incarnation, its start time in nanoseconds since 1970.
func (e *Entry) Incarnation() int {
	return e.incarnation
}

// Close stops the entry at once and returns after all of its goroutines have ended. Its boxes are not
// handed over and requests in flight are cut off; Stop avoids both.
func (e *Entry) Close() error {
	_ = e.httpServer.Close()
	e.cancel()
	err := e.group.Wait()
	_ = e.claimer.Close()
	e.rpcServer.Close()
	e.endpointClient.Close()
	for _, keeper := range e.keepers {
		keeper.Close()
	}
	for _, peer := range e.peerClients {
		peer.Close()
	}
	return err
}

func (e *Entry) now() time.Time {
	return e.deps.Clock.Now()
}

// post sends a message to the loop. It returns false if the entry has stopped.
func (e *Entry) post(message any) bool {
	select {
	case e.inbox <- message:
		return true
	case <-e.ctx.Done():
		return false
	}
}
