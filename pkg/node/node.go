// Package node runs one node of the system. It follows the platform's streams, runs an owner for each cell
// that this node has claimed, and serves clients and other nodes.
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
	"damsonwinch/pkg/boxplan"
	"damsonwinch/pkg/call"
	"damsonwinch/pkg/callturn"
	"damsonwinch/pkg/cell"
	"damsonwinch/pkg/customer"
	"damsonwinch/pkg/dial"
	"damsonwinch/pkg/directory"
	"damsonwinch/pkg/feed"
	"damsonwinch/pkg/intake"
	"damsonwinch/pkg/membership"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/ownership"
	"damsonwinch/pkg/relay"
	"damsonwinch/pkg/wire"
)

// Platform gives a node access to the platform: to its store, endpoints, boxes and advice service, and to the
// formats of its records.
type Platform struct {
	Store     damsonwinch.Store
	Endpoints damsonwinch.EndpointControl
	Fleet     damsonwinch.Fleet
	Advisor   damsonwinch.Advisor
	// OperatorStream holds the operator's configurations and waves.
	OperatorStream damsonwinch.Stream
	// DecodeOperator decodes a record of OperatorStream.
	DecodeOperator func(damsonwinch.Record) (damsonwinch.OperatorRecord, error)
	// EndpointStream holds the endpoints' registrations.
	EndpointStream damsonwinch.Stream
	// DecodeEndpoint decodes a record of EndpointStream. An endpoint without a pool is no longer
	// registered.
	DecodeEndpoint func(damsonwinch.Record) (damsonwinch.Endpoint, error)
	// WaveReport returns a report to the operator that a wave is completed, or else that it has started,
	// and the stream to append it to.
	WaveReport func(wave int, completed bool) (damsonwinch.Stream, damsonwinch.Record)
}

// Deps are the dependencies of a Node.
type Deps struct {
	Platform Platform
	Clock    damsonwinch.Clock
	Dial     damsonwinch.Dial
	Logger   logrus.FieldLogger
	Metrics  *metrics.Set
	// SuspendedTime returns for how long the machine has been suspended.
	SuspendedTime damsonwinch.SuspendedTime
	// CallListener accepts the connections of other nodes.
	CallListener net.Listener
	// OnConfiguration is called with each configuration that comes into force, and with an index of its
	// customers.
	OnConfiguration func(configuration damsonwinch.Configuration, customers *customer.Index)
}

// Options identify a node and configure it.
type Options struct {
	Self           membership.Member
	CellOptions    cell.Options
	BoxPlanOptions boxplan.Options
	// MembershipTTL is how long the group of nodes keeps a member that is silent.
	MembershipTTL time.Duration
	// Partitions is the number of partitions of each topic of the store.
	Partitions int
	// MaxAppendBytes is the size of the largest append that the store accepts.
	MaxAppendBytes int
	// FirstStart reports whether the whole system starts for the first time. The node then gives the
	// others time to join before it claims cells.
	FirstStart bool
}

// Node is a running node. One goroutine, the main goroutine, handles messages and changes the state.
type Node struct {
	deps       Deps
	options    Options
	ownership  *ownership.Ownership
	router     *intake.Router
	callServer *call.Server
	// relay reads the operator's stream from the store or from other nodes. relayPeers holds the
	// connections to those nodes.
	relay      *relay.Relay
	relayPeers *relay.Peers
	inbox      chan any
	group      *errgroup.Group
	ctx        context.Context // Ends when Close is called; the node's goroutines end then, too.
	cancel     context.CancelFunc
	view       atomic.Pointer[ownership.View]
	// runners holds the runners of this node's cells, by cell. The main goroutine replaces the whole
	// map, and any goroutine may read it.
	runners atomic.Pointer[map[string]cellRunner]
	// accessRules holds the rules of the configuration in force, or nil before the first one.
	accessRules atomic.Pointer[accessRules]
	// endpointAccess tells from where this node learns the endpoints of its cells. wakeEndpointFeed and
	// wakeFollower make the feed of EndpointStream and the follower of other nodes' lists ask at once.
	endpointAccess   atomic.Pointer[endpointAccess]
	wakeEndpointFeed chan struct{}
	wakeFollower     chan struct{}
	// wakePlacementFeed makes the feed of the planner's stream, which holds the placements of boxes, read
	// at once.
	wakePlacementFeed chan struct{}
	// adviceTurns are the turns of this node's cells at the advice service.
	adviceTurns *callturn.Turns
	// lists holds the endpoints of all cells for other nodes.
	lists *directory.Lists
	// waitReason says what this node waits for before it serves clients. It is empty if it waits for nothing.
	waitReason atomic.Pointer[string]
	state      state
	// done is closed once the main goroutine has ended.
	done chan struct{}
}

// inboxCapacity is how many messages can wait while the main goroutine is busy. A feed blocks while the inbox
// is full.
const inboxCapacity = 64

// New starts a node. Other nodes can call it when New returns.
func New(deps Deps, options Options) (*Node, error) {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	n := &Node{
		deps: deps, options: options, inbox: make(chan any, inboxCapacity), group: group, ctx: ctx, cancel: cancel,
		done: make(chan struct{}), wakeEndpointFeed: make(chan struct{}, 1), wakePlacementFeed: make(chan struct{}, 1), wakeFollower: make(chan struct{}, 1),
		adviceTurns: callturn.New(),
		lists:       directory.NewLists(deps.Clock, options.Self.Incarnation),
		state: state{
			queues:   cell.NewQueueTable(0, nil),
			registry: newRegistry(deps.Platform.DecodeEndpoint), placements: newPlacements(), listed: map[string][]damsonwinch.Endpoint{},
			stoppedTokens: map[string]int{}, waves: map[int]damsonwinch.Wave{}, evacuations: evacuations{byZone: map[string]evacuation{}},
		},
	}
	n.view.Store(&ownership.View{})
	n.endpointAccess.Store(&endpointAccess{})
	n.waitReason.Store(new(string))
	n.runners.Store(&map[string]cellRunner{})
	n.router = intake.New(intake.Deps{Cells: n, Dial: n.countedDial("calls"), Clock: deps.Clock, Metrics: deps.Metrics, Logger: deps.Logger})
	n.ownership = ownership.New(ownership.Deps{
		Store: deps.Platform.Store, Clock: deps.Clock, Logger: deps.Logger, Metrics: deps.Metrics, OnViewChange: n.setView,
		FetchClaims: n.router.Claims, FetchMembers: n.router.Members, SuspendedTime: deps.SuspendedTime,
	}, ownership.Options{Self: options.Self, MembershipTTL: options.MembershipTTL, Partitions: options.Partitions, AnnounceCell: fleetCell, FirstStart: options.FirstStart})
	n.relayPeers = relay.NewPeers(n.countedDial("relays"), deps.Clock)
	n.relay = relay.New(relay.Deps{
		Store: deps.Platform.Store, Clock: deps.Clock, Logger: deps.Logger, Metrics: deps.Metrics, Follow: n.relayPeers.Follow,
		Members: func() []membership.Member { return n.View().Members },
	}, options.Self, deps.Platform.OperatorStream)
	if err := n.serveCalls(); err != nil {
		cancel()
		return nil, errors.Join(err, n.ownership.Close())
	}
	group.Go(n.run)
	group.Go(n.followOperator)
	group.Go(n.followEndpoints)
	group.Go(n.followDirectory)
	return n, nil
}

// countedDial returns a function that opens connections to other nodes. The counters of their bytes end with
// name.
func (n *Node) countedDial(name string) damsonwinch.Dial {
	return dial.Counted(n.deps.Dial, func(sent, received int) {
		n.deps.Metrics.Add("bytes_sent_node_"+name, sent)
		n.deps.Metrics.Add("bytes_received_node_"+name, received)
	})
}

// serveCalls serves the calls of other nodes.
func (n *Node) serveCalls() error {
	calls, err := call.Serve(n.deps.CallListener, intake.ServiceName, intake.NewService(n.ctx, n.options.Self, n, n.deps.Clock))
	if err != nil {
		return err
	}
	n.callServer = calls
	return n.callServer.Register(relay.ServiceName, relay.NewService(n.ctx, n.relay))
}

// JobService returns the service to which clients' calls are passed.
func (n *Node) JobService() damsonwinch.JobService {
	return n.router
}

// Ready reports whether clients should be sent to this node: it has a configuration, and it reaches the store
// or owners on other nodes.
func (n *Node) Ready() bool {
	if n.accessRules.Load() == nil {
		return false
	}
	return n.deps.Clock.Now().Sub(n.StoreAnsweredAt()) < maxReadySilence || n.router.ReachesOwners(maxReadySilence)
}

// ConfigurationConfirmedAt returns when the configuration in force was last known to be the newest.
func (n *Node) ConfigurationConfirmedAt() time.Time {
	return n.relay.ConfirmedAt()
}

// maxReadySilence is how recently the store, or an owner that carried out a call, must have answered for the
// node to be ready. Clients of a node that is cut off from both are sent to other nodes, and the load
// balancer needs 2 s to notice. The node renews its membership at the store every 300 ms, and waits 600 ms
// for a response that is lost.
const maxReadySilence = 800 * time.Millisecond

// View implements intake.Cells. It returns an empty view until the first one is known.
func (n *Node) View() ownership.View {
	return *n.view.Load()
}

// LocalOwner implements intake.Cells. It returns false for the fleet's cell, whose runner is the planner.
func (n *Node) LocalOwner(cell string) (intake.CellOwner, bool) {
	owner, isLocal := (*n.runners.Load())[cell].(intake.CellOwner)
	return owner, isLocal
}

// StoreAnsweredAt implements intake.Cells. Only responses to heartbeats and to reads of the claims count.
func (n *Node) StoreAnsweredAt() time.Time {
	return n.ownership.StoreAnsweredAt()
}

// MemberReply implements intake.Cells.
func (n *Node) MemberReply(args wire.MembersArgs) wire.MembersReply {
	return n.ownership.MemberReply(n.View(), args)
}

// DirectoryReply implements intake.Cells.
func (n *Node) DirectoryReply(args wire.DirectoryArgs) wire.DirectoryReply {
	return n.lists.Reply(args)
}

// ReportRefusedConnection implements intake.Cells. It passes the report to the node's Ownership.
func (n *Node) ReportRefusedConnection(node string, incarnation int) {
	n.ownership.ReportRefusedConnection(node, incarnation)
}

// setView stores a new view and notifies the main goroutine.
func (n *Node) setView(view ownership.View) {
	n.view.Store(&view)
	// The message is dropped if the inbox is full. One that already waits there will read this view.
	select {
	case n.inbox <- viewChanged{}:
	default:
	}
}

// send puts a message into the inbox. The message is dropped if the node is being closed.
func (n *Node) send(m any) {
	select {
	case n.inbox <- m:
	case <-n.ctx.Done():
	}
}

// Reload makes CellOptions and BoxPlanOptions of the given options apply to cells that this node takes over
// from now on. It ignores all other options.
func (n *Node) Reload(options Options) {
	n.send(optionsChanged{options: options})
}

// Stop gives up all cells, for a planned stop. It returns once the runners are being closed, or when ctx ends.
// Until Close the node still serves clients, by calling the cells' new owners.
func (n *Node) Stop(ctx context.Context) {
	n.ownership.Leave(ctx)
	done := make(chan struct{})
	n.send(stopRunners{done: done})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Close stops the node and waits for its goroutines.
func (n *Node) Close() error {
	n.cancel()
	// The runners are closed first, because goroutines of the group wait for them to stop. No further
	// runner is started: the main goroutine, which starts them, has ended.
	<-n.done
	var err error
	for _, runner := range *n.runners.Load() {
		err = errors.Join(err, runner.Close())
	}
	err = errors.Join(err, n.group.Wait(), n.ownership.Close())
	n.callServer.Close()
	n.router.Close()
	n.relayPeers.Close()
	return err
}

// run is the main goroutine. It handles messages, and updates the runners, the readiness and a gauge every second.
func (n *Node) run() error {
	defer close(n.done)
	ticker := n.deps.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	n.state.tickedAt = n.deps.Clock.Now()
	n.updateReadiness()
	for {
		select {
		case <-n.ctx.Done():
			return nil
		case m := <-n.inbox:
			n.handle(m)
		case <-ticker.Chan():
			n.noteStall(n.deps.Clock.Now())
			n.proposeLayout()
			n.updateRunners()
			n.updateReadiness()
			n.publishLongRunningWait()
		}
	}
}

// handle handles one message.
func (n *Node) handle(m any) {
	switch m := m.(type) {
	case viewChanged:
		n.applyLayout(n.View().Layout)
		n.proposeLayout()
		n.updateRunners()
		n.confirmOwnership()
	case placementRecords:
		n.applyPlacementRecords(m)
	case operatorRecords:
		n.applyOperatorRecords(m)
	case endpointRecords:
		n.applyEndpointRecords(m)
	case endpointsListed:
		n.applyList(m)
	case directoryUnreachable:
		n.readDirectly()
	case runnerStopped:
		n.removeRunner(m.cell, m.runner)
		n.updateRunners()
	case boxCountReceived:
		n.state.boxCount = m.count
		n.proposeLayout()
	case optionsChanged:
		n.options.CellOptions, n.options.BoxPlanOptions = m.options.CellOptions, m.options.BoxPlanOptions
	case stopRunners:
		n.state.stopping = true
		n.updateRunners()
		close(m.done)
	}
}

// feedDeps returns the dependencies of a feed that reads from the store.
func (n *Node) feedDeps() feed.Deps {
	return feed.Deps{
		Store: n.deps.Platform.Store, Clock: n.deps.Clock, Logger: n.deps.Logger, Metrics: n.deps.Metrics, StoreAnsweredAt: n.ownership.StoreAnsweredAt,
	}
}
