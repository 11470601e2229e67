// Package node runs one node of the system: it follows the platform's streams,
// owns the cells that are its own and serves clients and other nodes.
package node

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"damsonwinch"
	"damsonwinch/pkg/call"
	"damsonwinch/pkg/cell"
	"damsonwinch/pkg/customer"
	"damsonwinch/pkg/feed"
	"damsonwinch/pkg/intake"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/ownership"
	"damsonwinch/pkg/relay"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/supply"
)

// Platform is what a node needs of the platform's adapter.
type Platform struct {
	Store     damsonwinch.Store
	Endpoints damsonwinch.EndpointControl
	Fleet     damsonwinch.Fleet
	Advisor   damsonwinch.Advisor
	// OperatorStream holds the operator's configuration and waves.
	OperatorStream damsonwinch.Stream
	// DecodeOperator reads a record of it; what it doesn't hold is nil.
	DecodeOperator func(damsonwinch.Record) (*damsonwinch.Configuration, *damsonwinch.Wave, error)
	// EndpointStream holds the endpoints' entries.
	EndpointStream damsonwinch.Stream
	// DecodeEndpoint reads one of them; without a pool, it has gone.
	DecodeEndpoint func(damsonwinch.Record) (damsonwinch.Endpoint, error)
	// WaveReport returns the record that tells the operator of a wave.
	WaveReport func(wave int, completed bool) (damsonwinch.Stream, damsonwinch.Record)
}

// Deps are what a node works with.
type Deps struct {
	Platform Platform
	Clock    damsonwinch.Clock
	Dial     damsonwinch.Dial
	Logger   logrus.FieldLogger
	Metrics  *metrics.Set
	// SuspendedTime tells of suspensions of the machine.
	SuspendedTime damsonwinch.SuspendedTime
	// CallListener takes the calls of other nodes.
	CallListener net.Listener
	// OnConfiguration is told each configuration that comes into force.
	OnConfiguration func(configuration damsonwinch.Configuration, book *customer.Index)
}

// Options say who the node is and by which times it decides.
type Options struct {
	Self          ownership.Member
	CellOptions   cell.Options
	Supply        supply.Options
	MembershipTTL time.Duration
	Partitions    int
	// MaxAppendBytes is the most that the store takes in a call.
	MaxAppendBytes int
	FirstStart     bool
}

// Node is a running node.
type Node struct {
	deps      Deps
	options   Options
	ownership *ownership.Ownership
	router    *intake.Router
	calls     *call.Server
	// relay is the way to the operator's stream, and peers the connections for it.
	relay  *relay.Relay
	peers  *relay.Peers
	inbox  chan any
	group  *errgroup.Group
	ctx    context.Context // Ends with the node's tasks.
	cancel context.CancelFunc
	view   atomic.Pointer[ownership.View]
	// holdings is replaced whole by the node's task and read by all calls.
	holdings atomic.Pointer[map[string]holding]
	// inForce is what the configuration in force says of who may call, nil before the first.
	inForce atomic.Pointer[inForce]
	// owning says that this node owns a pool, and follow wakes what then follows the
	// endpoints.
	owning atomic.Bool
	follow chan struct{}
	// place wakes what then follows where the planner takes boxes.
	place chan struct{}
	state state
	// ended is closed once the node's own task has ended.
	ended chan struct{}
}

// state is what the node's task knows.
type state struct {
	configuration damsonwinch.Configuration
	registry      registry
	placements    placements
	// placing says that the placements are followed.
	placing bool
	waves   map[int]damsonwinch.Wave
	// layout says into how many cells each pool is cut, and boxes how many boxes there
	// are, 0 while that is not known.
	layout shard.Layout
	boxes  int
	// ended holds, by cell, the claim whose owner has ended by itself; it is not
	// to be owned by that claim again.
	ended    map[string]int
	stopping bool
}

// Messages to the node's task.
type (
	viewChanged     struct{}
	operatorRecords struct{ records []damsonwinch.Record }
	endpointRecords struct {
		records  []damsonwinch.Record
		snapshot bool
		// askedAt is when the store was asked for them, and takenAt when they had come.
		askedAt time.Time
		takenAt time.Time
	}
	holdingEnded struct {
		cell string
		held holding
	}
	stopHoldings struct{ done chan<- struct{} }
	reloaded     struct{ options Options }
)

// inboxSize lets the feeds go on while the task is at work.
const inboxSize = 64

// New starts a node.
func New(deps Deps, options Options) (*Node, error) {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	n := &Node{
		deps: deps, options: options, inbox: make(chan any, inboxSize), group: group, ctx: ctx, cancel: cancel,
		ended: make(chan struct{}), follow: make(chan struct{}, 1), place: make(chan struct{}, 1),
		state: state{registry: newRegistry(deps.Platform.DecodeEndpoint), placements: newPlacements(), ended: map[string]int{}, waves: map[int]damsonwinch.Wave{}},
	}
	n.view.Store(&ownership.View{})
	n.holdings.Store(&map[string]holding{})
	n.router = intake.NewRouter(intake.Deps{Cells: n, Dial: deps.Dial, Clock: deps.Clock, Metrics: deps.Metrics, Logger: deps.Logger})
	calls, err := call.Serve(deps.CallListener, intake.ServiceName, intake.NewService(ctx, options.Self, n, deps.Clock))
	if err != nil {
		cancel()
		return nil, err
	}
	n.calls = calls
	n.ownership = ownership.New(ownership.Deps{
		Store: deps.Platform.Store, Clock: deps.Clock, Logger: deps.Logger, Metrics: deps.Metrics, OnViewChange: n.viewChanged,
		FetchClaims: n.router.Claims, SuspendedTime: deps.SuspendedTime,
	}, ownership.Options{Self: options.Self, MembershipTTL: options.MembershipTTL, Partitions: options.Partitions, FirstStart: options.FirstStart})
	n.peers = relay.NewPeers(deps.Dial, deps.Clock)
	n.relay = relay.New(relay.Deps{
		Store: deps.Platform.Store, Clock: deps.Clock, Logger: deps.Logger, Metrics: deps.Metrics, Follow: n.peers.Follow,
		Members: func() []ownership.Member { return n.View().Members },
	}, options.Self, deps.Platform.OperatorStream)
	if err := n.calls.Register(relay.ServiceName, relay.NewService(ctx, n.relay)); err != nil {
		cancel()
		return nil, errors.Join(err, n.ownership.Close())
	}
	group.Go(n.run)
	group.Go(n.followOperator)
	group.Go(n.followEndpoints)
	return n, nil
}

// JobService takes clients' calls.
func (n *Node) JobService() damsonwinch.JobService {
	return n.router
}

// Ready says whether the node should be given clients.
func (n *Node) Ready() bool {
	if n.inForce.Load() == nil {
		return false
	}
	return n.deps.Clock.Now().Sub(n.StoreAnsweredAt()) < readyTime || n.router.ReachesOwners(readyTime)
}

// ConfigurationConfirmedAt returns when the configuration in force was last known to be the newest.
func (n *Node) ConfigurationConfirmedAt() time.Time {
	return n.relay.ConfirmedAt()
}

// readyTime is how long ago the store, or an owner of a cell that could do what it
// was asked, may have answered last. A node that is cut off from both has its
// clients sent elsewhere, and the balancer takes two seconds to see it. The node
// proves to the store that it lives each 300 ms; an answer that is lost costs it
// 600 ms.
const readyTime = 800 * time.Millisecond

// View implements intake.Cells.
func (n *Node) View() ownership.View {
	return *n.view.Load()
}

// LocalOwner implements intake.Cells.
func (n *Node) LocalOwner(cell string) (intake.CellOwner, bool) {
	found, here := (*n.holdings.Load())[cell].(intake.CellOwner)
	return found, here
}

// StoreAnsweredAt implements intake.Cells.
func (n *Node) StoreAnsweredAt() time.Time {
	return n.ownership.StoreAnsweredAt()
}

// ReportRefusedConnection implements intake.Cells.
func (n *Node) ReportRefusedConnection(node string, incarnation int) {
	n.ownership.ReportRefusedConnection(node, incarnation)
}

func (n *Node) viewChanged(view ownership.View) {
	n.view.Store(&view)
	// A message that is waiting already will see the newest view.
	select {
	case n.inbox <- viewChanged{}:
	default:
	}
}

func (n *Node) send(m any) {
	select {
	case n.inbox <- m:
	case <-n.ctx.Done():
	}
}

// Reload puts options in force for the cells that are taken over from now on. Who
// the node is stays as it was.
func (n *Node) Reload(options Options) {
	n.send(reloaded{options: options})
}

// Stop gives the node's cells to others, for a planned stop. Clients can still be
// served through their new owners until Close.
func (n *Node) Stop(ctx context.Context) {
	n.ownership.Leave(ctx)
	done := make(chan struct{})
	n.send(stopHoldings{done: done})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Close ends the node and waits for its tasks.
func (n *Node) Close() error {
	n.cancel()
	// The node's tasks wait for the ends of holdings, which come first. No new ones
	// begin: the task that starts them has been told to end.
	<-n.ended
	var err error
	for _, held := range *n.holdings.Load() {
		err = errors.Join(err, held.Close())
	}
	err = errors.Join(err, n.group.Wait(), n.ownership.Close())
	n.calls.Close()
	n.router.Close()
	n.peers.Close()
	return err
}

func (n *Node) run() error {
	defer close(n.ended)
	ticker := n.deps.Clock.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return nil
		case m := <-n.inbox:
			n.take(m)
		case <-ticker.Chan():
			n.manageHoldings()
		}
	}
}

func (n *Node) take(m any) {
	switch m := m.(type) {
	case viewChanged:
		n.useLayout(n.View().Layout)
		n.decideLayout()
		n.manageHoldings()
		n.confirm()
	case placementRecords:
		n.takePlacements(m)
	case operatorRecords:
		n.takeOperator(m.records)
	case endpointRecords:
		n.takeEndpoints(m)
	case holdingEnded:
		n.removeHolding(m.cell, m.held)
		n.manageHoldings()
	case boxesCounted:
		n.state.boxes = m.boxes
		n.decideLayout()
	case reloaded:
		n.options.CellOptions, n.options.Supply = m.options.CellOptions, m.options.Supply
	case stopHoldings:
		n.state.stopping = true
		n.manageHoldings()
		close(m.done)
	}
}

func (n *Node) feedDeps() feed.Deps {
	return feed.Deps{
		Store: n.deps.Platform.Store, Clock: n.deps.Clock, Logger: n.deps.Logger, Metrics: n.deps.Metrics, StoreAnsweredAt: n.ownership.StoreAnsweredAt,
	}
}
