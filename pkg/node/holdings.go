package node

import (
	"damsonwinch"
	"damsonwinch/pkg/owner"
	"damsonwinch/pkg/ownership"
	"damsonwinch/pkg/planner"
)

// holding is a cell that this node owns.
type holding interface {
	Done() <-chan struct{}
	Token() int
	Close() error
}

// manageHoldings starts and ends holdings so that they are those of the claims.
func (n *Node) manageHoldings() {
	view := n.View()
	held := *n.holdings.Load()
	next := make(map[string]holding, len(held))
	for name, running := range held {
		if claim, known := view.Claims[name]; known && n.owns(claim) && claim.Token == running.Token() {
			next[name] = running
			continue
		}
		n.closeHolding(name, running)
	}
	for name, claim := range view.Claims {
		if next[name] == nil && n.owns(claim) && n.state.ended[name] != claim.Token {
			next[name] = n.startHolding(claim)
		}
	}
	n.holdings.Store(&next)
	n.needPlacements()
	n.needEndpoints(next)
}

// confirm tells the owners until when their claims stood.
func (n *Node) confirm() {
	confirmedAt := n.View().ConfirmedAt
	for _, held := range *n.holdings.Load() {
		if cellOwner, isOwner := held.(*owner.Owner); isOwner {
			cellOwner.ConfirmOwnership(confirmedAt)
		}
	}
}

// owns says whether a claim is this node's and to be made use of.
func (n *Node) owns(claim ownership.Claim) bool {
	return claim.HeldBy(n.options.Self) && !n.state.stopping
}

func (n *Node) closeHolding(name string, running holding) {
	n.deps.Logger.WithField("cell", name).Info("cell given up")
	n.group.Go(func() error {
		if err := running.Close(); err != nil {
			n.deps.Logger.WithError(err).WithField("cell", name).Warn("owner ended")
		}
		return nil
	})
}

func (n *Node) startHolding(claim ownership.Claim) holding {
	var started holding
	if claim.Cell == fleetCell {
		started = n.startPlanner(claim)
	} else {
		started = n.startOwner(claim)
	}
	n.group.Go(func() error {
		<-started.Done()
		n.send(holdingEnded{cell: claim.Cell, held: started})
		return nil
	})
	return started
}

func (n *Node) startOwner(claim ownership.Claim) *owner.Owner {
	started := owner.New(owner.Deps{
		Store: n.deps.Platform.Store, Endpoints: n.deps.Platform.Endpoints, Fleet: n.deps.Platform.Fleet, Advisor: n.deps.Platform.Advisor, Clock: n.deps.Clock,
		Logger: n.deps.Logger.WithField("cell", claim.Cell), Metrics: n.deps.Metrics, OnTasksWaiting: n.readEndpoints,
		SuspendedTime: n.deps.SuspendedTime, StoreAnsweredAt: n.ownership.StoreAnsweredAt, ReservePartition: n.ownership.ReservePartition, MoveClaim: n.ownership.MoveClaim,
		PartitionStream: func(number int) damsonwinch.Stream { return ownership.PartitionStream(number, n.options.Partitions) },
	}, owner.Options{Cell: claim.Cell, Stream: ownership.CellStream(claim, n.options.Partitions), Token: claim.Token, MaxAppendBytes: n.options.MaxAppendBytes, CellOptions: n.options.CellOptions})
	started.Configure(n.state.configuration, n.guarded(claim.Cell))
	if n.state.registry.complete && n.state.registry.told(n.state.layout, &n.state.placements) {
		started.SetEndpoints(n.state.registry.of(claim.Cell, n.state.layout))
	}
	return started
}

func (n *Node) startPlanner(claim ownership.Claim) *planner.Planner {
	started := planner.New(planner.Deps{
		Store: n.deps.Platform.Store, Fleet: n.deps.Platform.Fleet, Clock: n.deps.Clock, Logger: n.deps.Logger.WithField("cell", claim.Cell),
		Metrics: n.deps.Metrics, Sync: n.router.Sync, WaveReport: n.deps.Platform.WaveReport,
		SuspendedTime:  n.deps.SuspendedTime,
		OnFirstBoxList: func(count int) { n.send(boxesCounted{boxes: count}) },
	}, planner.Options{Node: n.options.Self.Node, Cell: claim.Cell, Stream: ownership.CellStream(claim, n.options.Partitions), Token: claim.Token, Supply: n.options.Supply})
	started.Configure(n.state.configuration, n.state.layout)
	for _, wave := range n.state.waves {
		started.SetWave(wave)
	}
	return started
}

// removeHolding takes away a holding that has ended by itself. Its claim is of no
// use any more.
func (n *Node) removeHolding(name string, ended holding) {
	held := *n.holdings.Load()
	if held[name] != ended {
		return
	}
	next := make(map[string]holding, len(held))
	for other, running := range held {
		if running != ended {
			next[other] = running
		}
	}
	n.holdings.Store(&next)
	n.state.ended[name] = ended.Token()
	n.ownership.ReleaseClaim(name, ended.Token())
}
