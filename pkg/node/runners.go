package node

import (
	"time"

	"damsonwinch"
	"damsonwinch/pkg/cellclaim"
	"damsonwinch/pkg/owner"
	"damsonwinch/pkg/planner"
)

// cellRunner runs a cell that this node owns: the owner of a pool's cell, or the planner for the fleet's cell.
type cellRunner interface {
	// Done returns a channel that is closed once the runner has stopped, by itself or by Close.
	Done() <-chan struct{}
	// Token returns the epoch of the claim for which the runner was started.
	Token() int
	// Close stops the runner and waits for its calls to end.
	Close() error
}

// updateRunners closes the runners whose claims are no longer in force, and starts one for each new claim of
// this node.
func (n *Node) updateRunners() {
	view := n.View()
	runners := *n.runners.Load()
	next := make(map[string]cellRunner, len(runners))
	for cell, runner := range runners {
		if claim, claimed := view.Claims[cell]; claimed && n.shouldRun(claim) && claim.Token == runner.Token() {
			next[cell] = runner
			continue
		}
		n.closeRunner(cell, runner)
	}
	for cell, claim := range view.Claims {
		if next[cell] == nil && n.shouldRun(claim) && n.state.stoppedTokens[cell] != claim.Token {
			next[cell] = n.startRunner(claim)
		}
	}
	n.runners.Store(&next)
	n.followPlacements()
	n.updateEndpointAccess()
}

// confirmOwnership tells the owners when their claims were last known to be in force.
func (n *Node) confirmOwnership() {
	confirmedAt := n.View().ConfirmedAt
	for _, runner := range *n.runners.Load() {
		if cellOwner, isOwner := runner.(*owner.Owner); isOwner {
			cellOwner.ConfirmOwnership(confirmedAt)
		}
	}
}

// publishLongRunningWait sets the gauge of the longest present wait of a long-running task in the cells that this
// node owns.
func (n *Node) publishLongRunningWait() {
	longest := time.Duration(0)
	for _, runner := range *n.runners.Load() {
		if cellOwner, isOwner := runner.(*owner.Owner); isOwner {
			longest = max(longest, cellOwner.LongRunningWait())
		}
	}
	n.deps.Metrics.SetGauge("long_running_wait_ms", int(longest.Milliseconds()))
}

// shouldRun reports whether this node should run the cell of a claim: it holds the claim and isn't stopping.
func (n *Node) shouldRun(claim cellclaim.Claim) bool {
	return claim.HeldBy(n.options.Self) && !n.state.stopping
}

// closeRunner closes the runner of a cell in the background.
func (n *Node) closeRunner(cell string, runner cellRunner) {
	n.deps.Logger.WithField("cell", cell).Info("cell given up")
	n.group.Go(func() error {
		if err := runner.Close(); err != nil {
			n.deps.Logger.WithError(err).WithField("cell", cell).Warn("owner stopped with an error")
		}
		return nil
	})
}

// startRunner starts a runner for the cell of a claim. The main goroutine gets a runnerStopped message once the
// runner has stopped.
func (n *Node) startRunner(claim cellclaim.Claim) cellRunner {
	var started cellRunner
	if claim.Cell == fleetCell {
		started = n.startPlanner(claim)
	} else {
		started = n.startOwner(claim)
	}
	n.group.Go(func() error {
		<-started.Done()
		n.send(runnerStopped{cell: claim.Cell, runner: started})
		return nil
	})
	return started
}

// startOwner starts the owner of a pool's cell. It passes on the configuration, and the cell's endpoints if all
// registrations have been read.
func (n *Node) startOwner(claim cellclaim.Claim) *owner.Owner {
	started := owner.New(owner.Deps{
		Store: n.deps.Platform.Store, Endpoints: n.deps.Platform.Endpoints, Fleet: n.deps.Platform.Fleet, Advisor: n.deps.Platform.Advisor, AdviceTurns: n.adviceTurns, Clock: n.deps.Clock,
		Logger: n.deps.Logger.WithField("cell", claim.Cell), Metrics: n.deps.Metrics, OnTasksWaiting: n.refreshEndpoints,
		SuspendedTime: n.deps.SuspendedTime, StoreAnsweredAt: n.ownership.StoreAnsweredAt, ReservePartition: n.ownership.ReservePartition, MoveClaim: n.ownership.MoveClaim,
		PartitionStream: func(partition int) damsonwinch.Stream {
			return cellclaim.PartitionStream(partition, n.options.Partitions)
		},
	}, owner.Options{Cell: claim.Cell, Stream: cellclaim.Stream(claim, n.options.Partitions), Token: claim.Token, MaxAppendBytes: n.options.MaxAppendBytes, CellOptions: n.options.CellOptions})
	started.Configure(n.state.configuration, n.state.queues, n.rejectsOverload(claim.Cell))
	started.SetEvacuations(n.state.evacuations.zones(), n.state.evacuations.confirmedAt)
	if endpoints, known := n.knownEndpoints(claim.Cell); known {
		started.SetEndpoints(endpoints)
	}
	return started
}

// startPlanner starts the fleet planner. It passes on the configuration, the layout and all waves that have been
// read.
func (n *Node) startPlanner(claim cellclaim.Claim) *planner.Planner {
	started := planner.New(planner.Deps{
		Store: n.deps.Platform.Store, Fleet: n.deps.Platform.Fleet, Clock: n.deps.Clock, Logger: n.deps.Logger.WithField("cell", claim.Cell),
		Metrics: n.deps.Metrics, Sync: n.router.Sync, WaveReport: n.deps.Platform.WaveReport,
		SuspendedTime:  n.deps.SuspendedTime,
		OnFirstBoxList: func(count int) { n.send(boxCountReceived{count: count}) },
	}, planner.Options{Node: n.options.Self.Node, Cell: claim.Cell, Stream: cellclaim.Stream(claim, n.options.Partitions), Token: claim.Token, BoxPlanOptions: n.options.BoxPlanOptions, EvacuationBound: n.options.CellOptions.MaxEvacuationAge})
	started.Configure(n.state.configuration, n.state.layout)
	started.SetEvacuatedZones(n.state.evacuations.since())
	for _, wave := range n.state.waves {
		started.SetWave(wave)
	}
	return started
}

// removeRunner removes a runner that has stopped by itself, and releases its claim. No runner is started for
// that claim again. If the cell has another runner by now, removeRunner does nothing.
func (n *Node) removeRunner(cell string, stopped cellRunner) {
	runners := *n.runners.Load()
	if runners[cell] != stopped {
		return
	}
	next := make(map[string]cellRunner, len(runners))
	for other, runner := range runners {
		if runner != stopped {
			next[other] = runner
		}
	}
	n.runners.Store(&next)
	n.state.stoppedTokens[cell] = stopped.Token()
	n.ownership.ReleaseClaim(cell, stopped.Token())
}
