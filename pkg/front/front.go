// Package front is the entry: it takes callers' requests, admits and queues
// them, sends them to endpoints and answers. One task owns its queues, its boxes
// and its lease; each request waits for that task's grants.
package front

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
	"damsonwinch/pkg/call"
	"damsonwinch/pkg/claim"
	"damsonwinch/pkg/eject"
	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/follow"
	"damsonwinch/pkg/invariant"
	"damsonwinch/pkg/lease"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/pick"
	"damsonwinch/pkg/queue"
	"damsonwinch/pkg/send"
	"damsonwinch/pkg/settings"
)

// ServiceName is the name under which an entry serves calls.
const ServiceName = "Entry"

const (
	inboxCapacity     = 1024
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	bytesPerKilobyte  = 1024
)

// Deps is what an entry needs.
type Deps struct {
	Settings     settings.Entry
	Clock        damsonwinch.Clock
	Log          damsonwinch.Log
	Dial         damsonwinch.Dial
	Listener     net.Listener
	HTTPListener net.Listener
	Logger       logrus.FieldLogger
	Metrics      *metrics.Set
	Invariants   *invariant.Checker
	// InitialState is the state before the first record.
	InitialState fold.State
	// Seed starts the choices that chance makes.
	Seed uint64
}

// Entry is one entry process's task.
type Entry struct {
	deps            Deps
	incarnation     int
	key             fold.SenderKey
	inbox           chan any
	updates         chan follow.Update
	ctx             context.Context //nolint:containedctx // The life of the process, for work that outlives a caller.
	cancel          context.CancelFunc
	group           *errgroup.Group
	rpcServer       *call.Server
	httpServer      *http.Server
	endpointClient  *send.Client
	claimer         *claim.Claimer
	keepers         []*call.Client
	stopping        atomic.Bool
	requestCount    atomic.Int64
	heldBytes       atomic.Int64 // Bytes of requests and answers.
	entryCount      atomic.Int64 // Entries that append claims.
	currentState    atomic.Pointer[fold.State]
	leaseValidUntil atomic.Pointer[time.Time]

	loopState
}

// loopState is what only the task touches.
type loopState struct {
	state        fold.State
	boxes        map[string]*ownBox
	routes       map[string][]route
	queues       map[string]*queue.Queue
	usages       map[string]*usage
	learner      *pick.Learner
	ejections    *eject.Tracker
	random       *rand.Rand
	leavingSince map[string]time.Time
	lease        leaseState
	requests     map[string]*requestState
	leaving      bool
	retryBudgets map[string]float64
	peerClients  map[string]*call.Client
	lastUrgent   map[string]time.Time
	cache        cache
}

// New starts an entry. Its incarnation is its start time, so that a later
// process on the same box has a higher one.
func New(deps Deps) (*Entry, error) {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	incarnation := int(deps.Clock.Now().UnixNano())
	e := &Entry{
		deps:           deps,
		incarnation:    incarnation,
		key:            fold.SenderKey{Node: deps.Settings.Node, Incarnation: incarnation},
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
		state:        e.deps.InitialState,
		boxes:        map[string]*ownBox{},
		routes:       map[string][]route{},
		queues:       map[string]*queue.Queue{},
		usages:       map[string]*usage{},
		learner:      pick.New(),
		ejections:    eject.New(),
		random:       rand.New(rand.NewPCG(e.deps.Seed, uint64(e.incarnation))),
		leavingSince: map[string]time.Time{},
		lease:        newLeaseState(lease.Timing{Duration: milliseconds(e.deps.Settings.LeaseMs)}),
		requests:     map[string]*requestState{},
		retryBudgets: map[string]float64{},
		peerClients:  map[string]*call.Client{},
		lastUrgent:   map[string]time.Time{},
		cache:        newCache(),
	}
}

func milliseconds(count int) time.Duration {
	return time.Duration(count) * time.Millisecond
}

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
		// Serve ends when the server is shut down, in Close.
		_ = e.httpServer.Serve(e.deps.HTTPListener)
		return nil
	})
}

// Incarnation returns the number of this process among those of its box.
func (e *Entry) Incarnation() int {
	return e.incarnation
}

// Close stops the entry at once, without a hand-over, and returns once all of
// its goroutines have ended. Stop is the planned way.
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

// post passes a message to the task unless the entry has stopped.
func (e *Entry) post(message any) bool {
	select {
	case e.inbox <- message:
		return true
	case <-e.ctx.Done():
		return false
	}
}
