// Package keeper follows the platform's log, decides moves and waves, carries
// them out for its hall and relays records to its peers. One task owns all of
// its state; calls, readings and timers reach it as messages.
package keeper

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"damsonwinch"
	"damsonwinch/pkg/audit"
	"damsonwinch/pkg/call"
	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/follow"
	"damsonwinch/pkg/invariant"
	"damsonwinch/pkg/lease"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/plan"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/wire"
)

// ServiceName is the name under which a keeper serves calls.
const ServiceName = "Keeper"

const (
	inboxLength = 256
	auditLines  = 20_000
)

// Deps is what a keeper needs.
type Deps struct {
	Settings   settings.Keeper
	Clock      damsonwinch.Clock
	Log        damsonwinch.Log
	List       damsonwinch.BoxLister
	Boxes      damsonwinch.BoxControl
	Dial       damsonwinch.Dial
	Listener   net.Listener
	Logger     logrus.FieldLogger
	Metrics    *metrics.Set
	Invariants *invariant.Checker
	// InitialState is the state before the first record.
	InitialState fold.State
	// PlanOptions holds the planner's choices.
	PlanOptions plan.Options
}

// Keeper is one keeper process's task.
type Keeper struct {
	deps        Deps
	incarnation int
	inbox       chan any
	updates     chan follow.Update
	cancel      context.CancelFunc
	group       *errgroup.Group
	server      *call.Server
	peers       map[string]*call.Client
	// listed names the halls whose list is read.
	listed atomic.Pointer[[]string]

	// What follows is the loop's own.
	state    fold.State
	relay    relay
	trail    *audit.Trail
	witness  lease.Grantor
	roster   roster
	outbox   outbox
	list     listView
	carrying map[string]carried
	logRead  time.Time
	// changed says that the fleet has changed since the last plan, made at
	// planned.
	changed bool
	planned time.Time
}

// New starts a keeper. Its incarnation is its start time, so that a later
// process on the same box has a higher one.
func New(deps Deps) (*Keeper, error) {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	k := &Keeper{
		deps:        deps,
		incarnation: int(deps.Clock.Now().UnixNano()),
		inbox:       make(chan any, inboxLength),
		updates:     make(chan follow.Update),
		cancel:      cancel,
		group:       group,
		peers:       map[string]*call.Client{},
		state:       deps.InitialState,
		trail:       audit.New(auditLines),
		witness:     lease.NewGrantor(terms(deps.Settings)),
		carrying:    map[string]carried{},
	}
	k.listed.Store(&[]string{deps.Settings.Hall})
	k.roster = newRoster()
	k.outbox = newOutbox(k.incarnation)
	k.list = newListView()
	for _, peer := range deps.Settings.Peers {
		k.peers[peer.Node] = call.New(peer.Address, deps.Dial, deps.Clock)
	}
	server, err := call.Serve(deps.Listener, ServiceName, &service{keeper: k, ctx: ctx})
	if err != nil {
		cancel()
		return nil, fmt.Errorf("serve keeper %s: %w", deps.Settings.Node, err)
	}
	k.server = server
	k.start(ctx)
	return k, nil
}

func terms(s settings.Keeper) lease.Timing {
	return lease.Timing{Duration: milliseconds(s.LeaseMs), MaxDrift: milliseconds(s.DriftMs)}
}

func milliseconds(count int) time.Duration {
	return time.Duration(count) * time.Millisecond
}

func (k *Keeper) start(ctx context.Context) {
	follower := follow.New(follow.Deps{
		Clock:        k.deps.Clock,
		Sources:      k.sources(),
		Invariants:   k.deps.Invariants,
		InitialState: k.deps.InitialState,
		Updates:      k.updates,

		CheckpointEvery: k.deps.Settings.SnapshotEvery,
	})
	k.group.Go(func() error { return follower.Run(ctx) })
	k.group.Go(func() error { return k.pollList(ctx) })
	k.group.Go(func() error { return k.run(ctx) })
}

// sources are the log first and then the peers, those of the own hall before
// the others.
func (k *Keeper) sources() []damsonwinch.RecordSource {
	sources := []damsonwinch.RecordSource{follow.LogSource{Log: k.deps.Log}}
	for _, near := range []bool{true, false} {
		for _, peer := range k.deps.Settings.Peers {
			if (peer.Hall == k.deps.Settings.Hall) == near {
				sources = append(sources, follow.PeerSource{Client: k.peers[peer.Node]})
			}
		}
	}
	return sources
}

// Close stops the keeper and returns once all of its goroutines have ended. It
// stops proposing before it stops listening, so that a refused connection means
// that nothing more comes from it.
func (k *Keeper) Close() error {
	k.cancel()
	err := k.group.Wait()
	k.server.Close()
	for _, peer := range k.peers {
		peer.Close()
	}
	return err
}

// node returns the name of the keeper's box.
func (k *Keeper) node() string {
	return k.deps.Settings.Node
}

// send passes a message to the loop unless the keeper stops.
func (k *Keeper) send(ctx context.Context, message any) bool {
	select {
	case k.inbox <- message:
		return true
	case <-ctx.Done():
		return false
	}
}

// now returns the keeper's own time.
func (k *Keeper) now() time.Time {
	return k.deps.Clock.Now()
}

// logFresh says whether the keeper itself has read the log lately.
func (k *Keeper) logFresh() bool {
	const readings = 3
	return !k.logRead.IsZero() && k.now().Sub(k.logRead) < readings*milliseconds(k.deps.Settings.RenewMs)+time.Second
}

func (k *Keeper) propose(proposals ...wire.Proposal) {
	for _, proposal := range proposals {
		k.outbox.put(proposal)
	}
}
