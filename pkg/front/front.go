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
	inboxLength       = 1024
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	bytesAKilobyte    = 1024
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
	deps        Deps
	incarnation int
	key         fold.SenderKey
	inbox       chan any
	updates     chan follow.Update
	ctx         context.Context //nolint:containedctx // The life of the process, for work that outlives a caller.
	cancel      context.CancelFunc
	group       *errgroup.Group
	rpc         *call.Server
	http        *http.Server
	sender      *send.Client
	claims      *claim.Claimer
	keepers     []*call.Client
	stopping    atomic.Bool
	requests    atomic.Int64
	held        atomic.Int64 // Bytes of requests and answers.
	entries     atomic.Int64 // Entries that append claims.
	inForce     atomic.Pointer[fold.State]
	sendUntil   atomic.Pointer[time.Time]

	loop
}

// loop is what only the task touches.
type loop struct {
	state   fold.State
	boxes   map[string]*ownBox
	routes  map[string][]route
	queues  map[string]*queue.Queue
	running map[string]*usage
	learner *pick.Learner
	book    *eject.Tracker
	random  *rand.Rand
	avoid   map[string]time.Time
	leasing leasing
	jobs    map[string]*job
	leaving bool
	budgets map[string]float64
	peers   map[string]*call.Client
	urgent  map[string]time.Time
	cache   cache
}

// New starts an entry. Its incarnation is its start time, so that a later
// process on the same box has a higher one.
func New(deps Deps) (*Entry, error) {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	incarnation := int(deps.Clock.Now().UnixNano())
	f := &Entry{
		deps:        deps,
		incarnation: incarnation,
		key:         fold.SenderKey{Node: deps.Settings.Node, Incarnation: incarnation},
		inbox:       make(chan any, inboxLength),
		updates:     make(chan follow.Update),
		ctx:         ctx,
		cancel:      cancel,
		group:       group,
		sender:      send.New(deps.Dial),
	}
	f.loop = f.newLoop()
	f.inForce.Store(&deps.InitialState)
	f.sendUntil.Store(&time.Time{})
	for _, keeper := range deps.Settings.Keepers {
		f.keepers = append(f.keepers, call.New(keeper.Address, deps.Dial, deps.Clock))
	}
	f.claims = claim.New(claim.Deps{
		Log: deps.Log, Clock: deps.Clock, Node: deps.Settings.Node, Incarnation: incarnation,
		Metrics: deps.Metrics, EntryCount: func() int { return int(f.entries.Load()) },
	})
	server, err := call.Serve(deps.Listener, ServiceName, &service{front: f})
	if err != nil {
		cancel()
		return nil, fmt.Errorf("serve entry %s: %w", deps.Settings.Node, err)
	}
	f.rpc = server
	f.start(ctx)
	return f, nil
}

func (f *Entry) newLoop() loop {
	return loop{
		state:   f.deps.InitialState,
		boxes:   map[string]*ownBox{},
		routes:  map[string][]route{},
		queues:  map[string]*queue.Queue{},
		running: map[string]*usage{},
		learner: pick.New(),
		book:    eject.New(),
		random:  rand.New(rand.NewPCG(f.deps.Seed, uint64(f.incarnation))),
		avoid:   map[string]time.Time{},
		leasing: newLeasing(lease.Timing{Duration: milliseconds(f.deps.Settings.LeaseMs)}),
		jobs:    map[string]*job{},
		budgets: map[string]float64{},
		peers:   map[string]*call.Client{},
		urgent:  map[string]time.Time{},
		cache:   newCache(),
	}
}

func milliseconds(count int) time.Duration {
	return time.Duration(count) * time.Millisecond
}

func (f *Entry) start(ctx context.Context) {
	sources := make([]damsonwinch.RecordSource, 0, len(f.keepers))
	for _, keeper := range f.keepers {
		sources = append(sources, follow.PeerSource{Client: keeper})
	}
	follower := follow.New(follow.Deps{
		Clock: f.deps.Clock, Sources: sources, Invariants: f.deps.Invariants, InitialState: f.deps.InitialState, Updates: f.updates,
	})
	f.group.Go(func() error { return follower.Run(ctx) })
	f.group.Go(func() error { return f.run(ctx) })
	f.http = &http.Server{Handler: f.handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	f.group.Go(func() error {
		// Serve ends when the server is shut down, in Close.
		_ = f.http.Serve(f.deps.HTTPListener)
		return nil
	})
}

// Incarnation returns the number of this process among those of its box.
func (f *Entry) Incarnation() int {
	return f.incarnation
}

// Close stops the entry at once, without a hand-over, and returns once all of
// its goroutines have ended. Stop is the planned way.
func (f *Entry) Close() error {
	_ = f.http.Close()
	f.cancel()
	err := f.group.Wait()
	_ = f.claims.Close()
	f.rpc.Close()
	f.sender.Close()
	for _, keeper := range f.keepers {
		keeper.Close()
	}
	for _, peer := range f.peers {
		peer.Close()
	}
	return err
}

func (f *Entry) now() time.Time {
	return f.deps.Clock.Now()
}

// post passes a message to the task unless the entry has stopped.
func (f *Entry) post(message any) bool {
	select {
	case f.inbox <- message:
		return true
	case <-f.ctx.Done():
		return false
	}
}
