package process

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"damsonwinch/pkg/boxplan"
	"damsonwinch/pkg/cell"
	"damsonwinch/pkg/membership"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/node"
	"damsonwinch/pkg/settings"
	"damsonwinch/platform"
)

// Defaults of a node's settings.
const (
	defaultPartitions      = 24
	defaultMembershipTTLMs = 1000
	defaultMaxAppendBytes  = 2 << 20
)

// Times of owners and of the planner that no setting changes. cell.Options and boxplan.Options
// describe them.
const (
	// renewalGrace bounds how long an owner that cannot reach the store renews leases.
	renewalGrace = 5 * time.Second
	// maxStartDelay is how long after it was sent a start request may still take effect if it got
	// no response.
	maxStartDelay = 2500 * time.Millisecond
	// minCommitInterval is the time between two appends. Changes within it share an append.
	minCommitInterval = 30 * time.Millisecond
	pollWait          = 500 * time.Millisecond
	idlePollInterval  = 2 * time.Second
	pollRetryInterval = 300 * time.Millisecond
	// scaleDownDelay is how long a pool keeps boxes that it no longer needs. Moving a box
	// away and back costs users about 6 s of the box's work, including the time in transit.
	scaleDownDelay = 1 * time.Second
)

// clientIdleTimeout is how long the server keeps an idle connection of a client open.
const clientIdleTimeout = 60 * time.Second

// Node is a running dw-node.
type Node struct {
	node         *node.Node
	clientServer *http.Server
	readyServer  *http.Server
	debug        *debugServer
	group        errgroup.Group
	// closers close the clients of the platform's services.
	closers []func()
	// ctx is cancelled by Close, which ends the goroutine that reports the load.
	ctx    context.Context
	cancel context.CancelFunc
	// stopping is set by Stop. From then on the node reports that it is not ready.
	stopping atomic.Bool
	Metrics  *metrics.Set
	env      Env
}

// NewNode starts a node. When NewNode returns, the node serves at the addresses of its settings.
func NewNode(config settings.Node, env Env) (*Node, error) {
	listeners, err := listenAll(config.CallAddress, config.ClientAddress, config.ReadyAddress, config.DebugAddress)
	if err != nil {
		return nil, err
	}
	set, _ := newMetrics(env)
	deps := platform.Deps{Dial: env.Dial, Clock: env.Clock, Metrics: set}
	store := platform.NewStore(config.Store, deps)
	endpoints := platform.NewEndpoints(deps)
	fleet := platform.NewFleet(config.Boxes, deps)
	advice := platform.NewAdvisor(config.Advice, deps)
	n := &Node{env: env, Metrics: set, closers: []func(){store.Close, endpoints.Close, fleet.Close, advice.Close}}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	var configuration clientConfiguration
	running, err := node.New(node.Deps{
		Platform: node.Platform{
			Store: store, Endpoints: endpoints, Fleet: fleet, Advisor: advice,
			OperatorStream: platform.OperatorStream(), DecodeOperator: platform.DecodeOperatorRecord,
			EndpointStream: platform.EndpointStream(), DecodeEndpoint: platform.DecodeEndpoint,
			WaveReport: platform.WaveReport,
		},
		Clock: env.Clock, SuspendedTime: env.SuspendedTime, Dial: env.Dial, Logger: env.Logger, Metrics: set, CallListener: listeners[0],
		OnConfiguration: configuration.put,
	}, nodeOptions(config, env))
	if err != nil {
		n.cancel()
		return nil, err
	}
	n.node = running
	handler := platform.NewClientHandler(running.JobService(), env.Clock, set, platform.ClientHandlerOptions{Logger: env.Logger, MaxKeyAge: maxKeyAge(config.Bounds), ConfirmedAt: running.ConfigurationConfirmedAt})
	configuration.attach(handler)
	n.clientServer = n.serve(listeners[1], handler, env.Logger)
	n.readyServer = n.serve(listeners[2], http.HandlerFunc(n.handleReady), env.Logger)
	n.debug = serveDebug(listeners[3], set)
	n.group.Go(func() error {
		(&loadReporter{clock: env.Clock, logger: env.Logger, metrics: set}).run(n.ctx)
		return nil
	})
	return n, nil
}

// maxKeyAge returns how long customers' keys are accepted after the configuration was last
// confirmed, or 0 if there is no limit.
func maxKeyAge(bounds settings.Bounds) time.Duration {
	if !bounds.RevokeFailClosed {
		return 0
	}
	return milliseconds(bounds.RevokeMs)
}

// maxEvacuationAge returns how long ago the operator's evacuations must have been known in full for an
// owner to start tasks, or 0 if there is no limit. It is the longest time that the bounds leave to
// a node which is cut off from the operator's stream.
func maxEvacuationAge(bounds settings.Bounds) time.Duration {
	if bounds.EvacuationMs == 0 {
		return 0
	}
	return milliseconds(bounds.EvacuationMs + bounds.MaxExtensionMs)
}

// nodeOptions derives the options of a node from its settings. Its incarnation is the current
// time in Unix milliseconds.
func nodeOptions(config settings.Node, env Env) node.Options {
	bounds := config.Bounds
	return node.Options{
		Self: membership.Member{
			Node: config.Node, Address: config.CallAddress, Weight: nodeWeight(config), Incarnation: int(env.Clock.Now().UnixMilli()),
		},
		CellOptions: cell.Options{
			MaxLease: milliseconds(bounds.LeaseMostMs), RenewalGrace: renewalGrace, MaxStartDelay: maxStartDelay, MaxStopTime: milliseconds(bounds.StopMs), RestoreTime: milliseconds(bounds.RestoreMs), MinCommitInterval: minCommitInterval,
			PollWait: pollWait, IdlePollInterval: idlePollInterval, PollRetryInterval: pollRetryInterval, EndedJobRetention: time.Duration(bounds.KeepEndedS) * time.Second,
			BoxLeadTime: seconds(bounds.MoveS) + boxplan.FirstTaskDelay, MaxEvacuationAge: maxEvacuationAge(bounds),
			MaxRecordBytes: config.StoreRecordBytes,
		},
		BoxPlanOptions: boxplan.Options{
			MoveTime: seconds(bounds.MoveS), MaintainTime: seconds(bounds.MaintainS), ScaleDownDelay: scaleDownDelay, TakeoverDelay: milliseconds(bounds.HolderMs),
			OrdersPerSecond: int(config.BoxOrdersPerS * boxOrderShare), PowerOffsPerSecond: int(math.Ceil(config.PowerOffsPerS)), EvacuationPowerOffDelay: evacuationPowerOffDelay(config),
		},
		MembershipTTL:  milliseconds(orDefault(config.GroupTtlMs, defaultMembershipTTLMs)),
		Partitions:     orDefault(config.Partitions, defaultPartitions),
		MaxAppendBytes: orDefault(config.StoreCallBytes, defaultMaxAppendBytes),
		FirstStart:     config.FirstStart,
	}
}

// evacuationPowerOffDelay returns how long a zone must have been evacuated until its boxes are powered off.
func evacuationPowerOffDelay(config settings.Node) time.Duration {
	if config.EvacuationPowerOffS == 0 {
		return defaultEvacuationPowerOff
	}
	return seconds(config.EvacuationPowerOffS)
}

// defaultEvacuationPowerOff is well beyond evacuations that end within seconds. A box that is powered off and
// brought back does no work for some 4 s, and each of the two moves has its price.
const defaultEvacuationPowerOff = 2 * time.Minute

// boxOrderShare is the share of the orders that the platform takes in a second that the planner issues.
// The rest allows for orders that are on their way for different times.
const boxOrderShare = 0.9

// linkMbpsPerCore is the link speed in Mbit/s that a node needs to make use of one core. The
// requests and records of the work that a core can manage take 25 Mbit/s. A node that takes a
// cell over reads about 2 MB of records of work in progress, which takes 0.2 s at 100 Mbit/s.
const linkMbpsPerCore = 100

// nodeWeight returns the node's weight for the assignment of cells, in thousandths of a core.
// The weight follows from the node's CPU share, or from its link if the link allows less work.
// It is at least 1.
func nodeWeight(config settings.Node) int {
	share := config.CoreShare
	if config.LinkMbps > 0 {
		share = min(share, config.LinkMbps/linkMbpsPerCore)
	}
	return max(1, int(share*1000))
}

// seconds converts a number of seconds from the settings to a duration.
func seconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Second))
}

// milliseconds converts a number of milliseconds from the settings to a duration.
func milliseconds(count int) time.Duration {
	return time.Duration(count) * time.Millisecond
}

// serve starts an HTTP server on a listener. It logs an error if the server ends before it is
// closed.
func (n *Node) serve(listener net.Listener, handler http.Handler, logger logrus.FieldLogger) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: clientIdleTimeout}
	n.group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			logger.WithError(err).Error("listener ended")
		}
		return nil
	})
	return server
}

// handleReady responds with status 200 if clients should be sent to this node, and with 503
// otherwise.
func (n *Node) handleReady(w http.ResponseWriter, _ *http.Request) {
	if n.stopping.Load() || !n.node.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Reload applies changed settings. Bounds apply to the cells that the node takes over from now
// on. Names and addresses change only at the next start.
func (n *Node) Reload(config settings.Node) {
	n.node.Reload(nodeOptions(config, n.env))
	n.env.Logger.WithField("node", config.Node).Info("settings reloaded; bounds hold for cells taken over from now on, addresses from the next start on")
}

// Stop shuts the node down gracefully: other nodes take over its cells and calls in flight are
// answered. When ctx ends, Stop closes the node without waiting any longer.
func (n *Node) Stop(ctx context.Context) error {
	n.stopping.Store(true)
	n.node.Stop(ctx)
	err := n.clientServer.Shutdown(ctx)
	return errors.Join(err, n.Close())
}

// Close ends the node at once, without handing over its cells, and waits for its goroutines.
func (n *Node) Close() error {
	n.cancel()
	err := n.clientServer.Close()
	err = errors.Join(err, n.readyServer.Close(), n.node.Close())
	n.debug.close()
	for _, closer := range n.closers {
		closer()
	}
	return errors.Join(err, n.group.Wait())
}
