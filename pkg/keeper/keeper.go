// Package keeper implements the dw-keeper process. A keeper follows the
// platform's log and relays its records to entries and other keepers. It appends
// the lease renewals of senders, which are the entries that send requests to
// boxes; it extends the leases of senders that are cut off from the log, and
// releases senders that are lost. It plans moves and maintenance of boxes and
// carries out the maintenance. One goroutine, which executes run, owns the state;
// RPC calls, the results of the keeper's own calls, and lists of boxes reach it as
// messages.
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
	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/follow"
	"damsonwinch/pkg/invariant"
	"damsonwinch/pkg/lease"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/plan"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/wire"
)

// ServiceName is the name of the net/rpc service that a keeper serves.
const ServiceName = "Keeper"

const (
	inboxCapacity = 256
	maxAuditLines = 20_000
)

// Deps are the dependencies of a keeper.
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
	InitialState fleetstate.State
	// PlanOptions configures the plans for moves and maintenance of the fleet's boxes.
	PlanOptions plan.Options
}

// Keeper is a running keeper. New starts it, Close stops it.
type Keeper struct {
	deps        Deps
	incarnation int
	inbox       chan any
	updates     chan follow.Update
	cancel      context.CancelFunc
	group       *errgroup.Group
	server      *call.Server
	peers       map[string]*call.Client // By node.
	// listedZones are the availability zones whose lists of boxes pollList reads.
	listedZones atomic.Pointer[[]string]

	// The fields below are used by run only.

	state        fleetstate.State
	relay        relay
	auditTrail   *audit.Trail
	grantor      lease.Grantor
	renewals     renewals
	outbox       outbox
	list         listView
	maintenances map[string]maintenanceState // By box.
	logReadAt    time.Time                   // When the last read of the log itself began.
	// fleetChanged says that the fleet has changed since plannedAt, when the last
	// plan was made.
	fleetChanged bool
	plannedAt    time.Time
}

// New starts a keeper. Its incarnation is its start time in nanoseconds since
// 1970, so that a later process on the same box has a higher one.
func New(deps Deps) (*Keeper, error) {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	k := &Keeper{
		deps:         deps,
		incarnation:  int(deps.Clock.Now().UnixNano()),
		inbox:        make(chan any, inboxCapacity),
		updates:      make(chan follow.Update),
		cancel:       cancel,
		group:        group,
		peers:        map[string]*call.Client{},
		state:        deps.InitialState,
		auditTrail:   audit.New(maxAuditLines),
		grantor:      lease.NewGrantor(leaseTiming(deps.Settings)),
		maintenances: map[string]maintenanceState{},
	}
	k.listedZones.Store(&[]string{deps.Settings.Hall})
	k.renewals = newRenewals()
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

func leaseTiming(s settings.Keeper) lease.Timing {
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

// sources returns the sources of records in the order in which they are tried:
// the log, the other keepers of this keeper's zone, and those of other zones.
func (k *Keeper) sources() []damsonwinch.RecordSource {
	sources := []damsonwinch.RecordSource{follow.LogSource{Log: k.deps.Log}}
	for _, inOwnZone := range []bool{true, false} {
		for _, peer := range k.deps.Settings.Peers {
			if (peer.Hall == k.deps.Settings.Hall) == inOwnZone {
				sources = append(sources, follow.PeerSource{Client: k.peers[peer.Node]})
			}
		}
	}
	return sources
}

// Close stops the keeper and returns once all of its goroutines have ended. It
// stops the appends before it closes the listener, so that a refused connection
// shows that the keeper appends nothing more.
func (k *Keeper) Close() error {
	k.cancel()
	err := k.group.Wait()
	k.server.Close()
	for _, peer := range k.peers {
		peer.Close()
	}
	return err
}

// node returns the name of the box on which the keeper runs.
func (k *Keeper) node() string {
	return k.deps.Settings.Node
}

// send passes a message to run. It returns false if ctx ends first.
func (k *Keeper) send(ctx context.Context, message any) bool {
	select {
	case k.inbox <- message:
		return true
	case <-ctx.Done():
		return false
	}
}

// now returns the time by the keeper's clock.
func (k *Keeper) now() time.Time {
	return k.deps.Clock.Now()
}

// isLogFresh reports whether the keeper itself has read the log recently: within
// three renewal intervals and a second. Records that other keepers relay don't
// count.
func (k *Keeper) isLogFresh() bool {
	const renewalIntervals = 3
	return !k.logReadAt.IsZero() && k.now().Sub(k.logReadAt) < renewalIntervals*milliseconds(k.deps.Settings.RenewMs)+time.Second
}

// propose adds proposals to the outbox.
func (k *Keeper) propose(proposals ...wire.Proposal) {
	for _, proposal := range proposals {
		k.outbox.add(proposal)
	}
}
