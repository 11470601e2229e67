package process

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"damsonwinch"
	"damsonwinch/pkg/cell"
	"damsonwinch/pkg/customer"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/node"
	"damsonwinch/pkg/ownership"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/supply"
	"damsonwinch/platform"
)

// Usual values of a node's settings, where they name none.
const (
	usualPartitions = 24
	usualTTLMs      = 1000
	usualCallBytes  = 2 << 20
)

// Times by which an owner decides that no setting gives.
const (
	// tokenGrace bounds how long an owner without the store prolongs leases.
	tokenGrace = 5 * time.Second
	// startLate bounds how late a start that was not answered may take effect.
	startLate = 2500 * time.Millisecond
	// commitGap makes what comes up within it share an append.
	commitGap = 30 * time.Millisecond
	lookWait  = 500 * time.Millisecond
	idleLook  = 2 * time.Second
	retryLook = 300 * time.Millisecond
	// poolHold is how long a pool keeps boxes that it no longer needs. Two moves
	// cost the users about six seconds of a box, the time on the way counted in.
	poolHold = 1 * time.Second
)

// clientIdleTime is how long a client's idle connection is kept.
const clientIdleTime = 60 * time.Second

// Node is a running dw-node.
type Node struct {
	node    *node.Node
	clients *http.Server
	ready   *http.Server
	debug   *debug
	group   errgroup.Group
	closers []func()
	// ctx ends with the node's own tasks.
	ctx    context.Context
	cancel context.CancelFunc
	// stopping makes the node call itself unready.
	stopping atomic.Bool
	Metrics  *metrics.Set
	env      Env
}

// NewNode starts a node.
func NewNode(config settings.Node, env Env) (*Node, error) {
	listeners, err := listenAll(config.CallAddress, config.ClientAddress, config.ReadyAddress, config.DebugAddress)
	if err != nil {
		return nil, err
	}
	set, _ := newSet(env)
	deps := platform.Deps{Dial: env.Dial, Clock: env.Clock, Metrics: set}
	store := platform.NewStore(config.Store, deps)
	endpoints := platform.NewEndpoints(deps)
	fleet := platform.NewFleet(config.Boxes, deps)
	advice := platform.NewAdvisor(config.Advice, deps)
	n := &Node{env: env, Metrics: set, closers: []func(){store.Close, endpoints.Close, fleet.Close, advice.Close}}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	var clients atomic.Pointer[platform.ClientHandler]
	running, err := node.New(node.Deps{
		Platform: node.Platform{
			Store: store, Endpoints: endpoints, Fleet: fleet, Advisor: advice,
			OperatorStream: platform.OperatorStream(), DecodeOperator: decodeOperator,
			EndpointStream: platform.EndpointStream(), DecodeEndpoint: platform.DecodeEndpoint,
			WaveReport: platform.WaveReport,
		},
		Clock: env.Clock, SuspendedTime: env.SuspendedTime, Dial: env.Dial, Logger: env.Logger, Metrics: set, CallListener: listeners[0],
		OnConfiguration: func(configuration damsonwinch.Configuration, book *customer.Index) {
			if handler := clients.Load(); handler != nil {
				handler.Configure(configuration, book)
			}
		},
	}, nodeOptions(config, env))
	if err != nil {
		n.cancel()
		return nil, err
	}
	n.node = running
	handler := platform.NewClientHandler(running.JobService(), env.Clock, set, platform.ClientHandlerOptions{Logger: env.Logger, MaxKeyAge: keyTime(config.Bounds), ConfirmedAt: running.ConfigurationConfirmedAt})
	clients.Store(handler)
	n.clients = n.serve(listeners[1], handler, env.Logger)
	n.ready = n.serve(listeners[2], http.HandlerFunc(n.answerReady), env.Logger)
	n.debug = serveDebug(listeners[3], set)
	n.group.Go(func() error {
		(&load{clock: env.Clock, logger: env.Logger, metrics: set}).run(n.ctx)
		return nil
	})
	return n, nil
}

// keyTime is for how long customers' keys count without word of the configuration, 0 for any time.
func keyTime(bounds settings.Bounds) time.Duration {
	if !bounds.RevokeFailClosed {
		return 0
	}
	return milliseconds(bounds.RevokeMs)
}

func decodeOperator(record damsonwinch.Record) (*damsonwinch.Configuration, *damsonwinch.Wave, error) {
	decoded, err := platform.DecodeOperatorRecord(record)
	return decoded.Configuration, decoded.Wave, err
}

func nodeOptions(config settings.Node, env Env) node.Options {
	bounds := config.Bounds
	return node.Options{
		Self: ownership.Member{
			Node: config.Node, Address: config.CallAddress, Weight: weightOf(config), Incarnation: int(env.Clock.Now().UnixMilli()),
		},
		CellOptions: cell.Options{
			MaxLease: milliseconds(bounds.LeaseMostMs), RenewalGrace: tokenGrace, MaxStartDelay: startLate, MaxStopTime: milliseconds(bounds.StopMs), RestoreTime: milliseconds(bounds.RestoreMs), MinCommitInterval: commitGap,
			PollWait: lookWait, IdlePollInterval: idleLook, PollRetryInterval: retryLook, EndedJobRetention: time.Duration(bounds.KeepEndedS) * time.Second,
			BoxLeadTime: seconds(bounds.MoveS) + supply.FirstTaskDelay,
		},
		Supply: supply.Options{
			MoveTime: seconds(bounds.MoveS), MaintainTime: seconds(bounds.MaintainS), ScaleDownDelay: poolHold, TakeoverDelay: milliseconds(bounds.HolderMs),
		},
		MembershipTTL:  milliseconds(orUsual(config.GroupTtlMs, usualTTLMs)),
		Partitions:     orUsual(config.Partitions, usualPartitions),
		MaxAppendBytes: orUsual(config.StoreCallBytes, usualCallBytes),
		FirstStart:     config.FirstStart,
	}
}

// linkPerCore is the speed of a link, in Mbit/s, that goes with a whole core: what a core
// can see to takes 25 for orders and records, and a takeover reads some 2 MB of what is
// under way, which at 100 takes 0.2 s.
const linkPerCore = 100

// weightOf returns how much of the cells' work the node can carry beside others, in
// thousandths of a core: its processor or its link binds.
func weightOf(config settings.Node) int {
	share := config.CoreShare
	if config.LinkMbps > 0 {
		share = min(share, config.LinkMbps/linkPerCore)
	}
	return max(1, int(share*1000))
}

func seconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Second))
}

func milliseconds(count int) time.Duration {
	return time.Duration(count) * time.Millisecond
}

func (n *Node) serve(listener net.Listener, handler http.Handler, logger logrus.FieldLogger) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: clientIdleTime}
	n.group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			logger.WithError(err).Error("listener ended")
		}
		return nil
	})
	return server
}

func (n *Node) answerReady(w http.ResponseWriter, _ *http.Request) {
	if n.stopping.Load() || !n.node.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Reload puts changed settings in force. Bounds count for the cells that the node
// takes over from now on; names and addresses only at the next start.
func (n *Node) Reload(config settings.Node) {
	n.node.Reload(nodeOptions(config, n.env))
	n.env.Logger.WithField("node", config.Node).Info("settings reloaded; bounds hold for cells taken over from now on, addresses from the next start on")
}

// Stop ends the node as planned: others take its cells, calls in flight are
// answered. The context bounds it.
func (n *Node) Stop(ctx context.Context) error {
	n.stopping.Store(true)
	n.node.Stop(ctx)
	err := n.clients.Shutdown(ctx)
	return errors.Join(err, n.Close())
}

// Close ends the node at once and waits for its goroutines.
func (n *Node) Close() error {
	n.cancel()
	err := n.clients.Close()
	err = errors.Join(err, n.ready.Close(), n.node.Close())
	n.debug.close()
	for _, closer := range n.closers {
		closer()
	}
	return errors.Join(err, n.group.Wait())
}
