package node

import (
	"damsonwinch"
	"damsonwinch/pkg/owner"
	"damsonwinch/pkg/ownership"
	"damsonwinch/pkg/planner"
)

// cellRunner is a cell that this node owns.
type cellRunner interface {
	Done() <-chan struct{}
	Token() int
	Close() error
}

// updateRunners starts and ends holdings so that they are those of the claims.
func (n *Node) updateRunners() {
	view := n.View()
	held := *n.runners.Load()
	next := make(map[string]cellRunner, len(held))
	for name, running := range held {
		if claim, known := view.Claims[name]; known && n.shouldRun(claim) && claim.Token == running.Token() {
			next[name] = running
			continue
		}
		n.closeRunner(name, running)
	}
	for name, claim := range view.Claims {
		if next[name] == nil && n.shouldRun(claim) && n.state.stoppedTokens[name] != claim.Token {
			next[name] = n.startRunner(claim)
		}
	}
	n.runners.Store(&next)
	n.followPlacements()
	n.updateEndpointFeed(next)
}

// confirmOwnership tells the owners until when their claims stood.
func (n *Node) confirmOwnership() {
	confirmedAt := n.View().ConfirmedAt
	for _, held := range *n.runners.Load() {
		if cellOwner, isOwner := held.(*owner.Owner); isOwner {
			cellOwner.ConfirmOwnership(confirmedAt)
		}
	}
}

// shouldRun says whether a claim is this node's and to be made use of.
func (n *Node) shouldRun(claim ownership.Claim) bool {
	return claim.HeldBy(n.options.Self) && !n.state.stopping
}

func (n *Node) closeRunner(name string, running cellRunner) {
	n.deps.Logger.WithField("cell", name).Info("cell given up")
	n.group.Go(func() error {
		if err := running.Close(); err != nil {
			n.deps.Logger.WithError(err).WithField("cell", name).Warn("owner ended")
		}
		return nil
	})
}

func (n *Node) startRunner(claim ownership.Claim) cellRunner {
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

func (n *Node) startOwner(claim ownership.Claim) *owner.Owner {
	started := owner.New(owner.Deps{
		Store: n.deps.Platform.Store, Endpoints: n.deps.Platform.Endpoints, Fleet: n.deps.Platform.Fleet, Advisor: n.deps.Platform.Advisor, Clock: n.deps.Clock,
		Logger: n.deps.Logger.WithField("cell", claim.Cell), Metrics: n.deps.Metrics, OnTasksWaiting: n.refreshEndpoints,
		SuspendedTime: n.deps.SuspendedTime, StoreAnsweredAt: n.ownership.StoreAnsweredAt, ReservePartition: n.ownership.ReservePartition, MoveClaim: n.ownership.MoveClaim,
		PartitionStream: func(number int) damsonwinch.Stream { return ownership.PartitionStream(number, n.options.Partitions) },
	}, owner.Options{Cell: claim.Cell, Stream: ownership.CellStream(claim, n.options.Partitions), Token: claim.Token, MaxAppendBytes: n.options.MaxAppendBytes, CellOptions: n.options.CellOptions})
	started.Configure(n.state.configuration, n.rejectsOverload(claim.Cell))
	if n.state.registry.complete && n.state.registry.readyForOwners(n.state.layout, &n.state.placements) {
		started.SetEndpoints(n.state.registry.cellEndpoints(claim.Cell, n.state.layout))
	}
	return started
}

func (n *Node) startPlanner(claim ownership.Claim) *planner.Planner {
	started := planner.New(planner.Deps{
		Store: n.deps.Platform.Store, Fleet: n.deps.Platform.Fleet, Clock: n.deps.Clock, Logger: n.deps.Logger.WithField("cell", claim.Cell),
		Metrics: n.deps.Metrics, Sync: n.router.Sync, WaveReport: n.deps.Platform.WaveReport,
		SuspendedTime:  n.deps.SuspendedTime,
		OnFirstBoxList: func(count int) { n.send(boxCountReceived{boxes: count}) },
	}, planner.Options{Node: n.options.Self.Node, Cell: claim.Cell, Stream: ownership.CellStream(claim, n.options.Partitions), Token: claim.Token, Supply: n.options.Supply})
	started.Configure(n.state.configuration, n.state.layout)
	for _, wave := range n.state.waves {
		started.SetWave(wave)
	}
	return started
}

// removeRunner takes away a holding that has ended by itself. Its claim is of no
// use any more.
func (n *Node) removeRunner(name string, ended cellRunner) {
	held := *n.runners.Load()
	if held[name] != ended {
		return
	}
	next := make(map[string]cellRunner, len(held))
	for other, running := range held {
		if running != ended {
			next[other] = running
		}
	}
	n.runners.Store(&next)
	n.state.stoppedTokens[name] = ended.Token()
	n.ownership.ReleaseClaim(name, ended.Token())
}
