package node

import (
	"maps"
	"slices"

	"github.com/sirupsen/logrus"

	"damsonwinch"
	"damsonwinch/pkg/membership"
	"damsonwinch/pkg/ownership"
	"damsonwinch/pkg/planner"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/shardplan"
)

// fleetCell is the cell whose owner plans for all boxes. No pool has this name, because the operator's naming
// rules don't allow it.
const fleetCell = "@fleet"

// requiredCells returns the cells that need an owner: the fleet's cell and, once the layout has been decided,
// all cells of the pools whose boxes are powered on.
func requiredCells(configuration damsonwinch.Configuration, layout shard.Layout) []string {
	cells := []string{fleetCell}
	for _, pool := range poweredOnPools(configuration) {
		cells = append(cells, layout.CellNames(pool)...)
	}
	return cells
}

// ownedCells returns the cells that this node claims if they are without an owner: the required ones, and all cells of
// pools that the configuration no longer has. Jobs that such a cell has accepted can still be asked for and cancelled.
func ownedCells(configuration damsonwinch.Configuration, view ownership.View, layout shard.Layout) []string {
	cells := requiredCells(configuration, layout)
	required := map[string]bool{}
	for _, cell := range cells {
		required[cell] = true
	}
	for _, cell := range slices.Sorted(maps.Keys(view.Claims)) {
		if !required[cell] {
			cells = append(cells, cell)
		}
	}
	return cells
}

// poweredOnPools returns the names of the pools whose boxes are powered on.
func poweredOnPools(configuration damsonwinch.Configuration) []string {
	var names []string
	for _, pool := range configuration.Pools {
		if !pool.PoweredOff {
			names = append(names, pool.Name)
		}
	}
	return names
}

// boxCountReceived holds the number of boxes of the fleet, from the planner's first list of them.
type boxCountReceived struct{ count int }

// decideLayout decides on a layout from what this node knows. Only the node that runs the planner knows the number of
// boxes.
func (n *Node) decideLayout(view ownership.View) shardplan.Decision {
	in := shardplan.Input{
		Boxes: n.state.boxCount, Pools: poweredOnPools(n.state.configuration),
		Weights: memberWeights(view.Members), Announced: memberWeights(view.Announced), Complete: view.MembersComplete, MaxMissing: view.MaxMissing,
	}
	if !view.MembersReadAt.IsZero() {
		in.SinceFirstRead = n.deps.Clock.Now().Sub(view.MembersReadAt)
	}
	return shardplan.Decide(in)
}

// proposeLayout proposes a layout if none is in force and this node can decide on one.
func (n *Node) proposeLayout() {
	view := n.View()
	if view.Layout.Decided() || n.state.boxCount == 0 {
		return
	}
	decision := n.decideLayout(view)
	if !decision.Layout.Decided() {
		return
	}
	logger := n.deps.Logger.WithFields(logrus.Fields{
		"shards": decision.Layout.Shards, "boxes": n.state.boxCount, "pools": len(decision.Layout.Pools), "members": len(view.Members),
		"announced": len(view.Announced), "assumed": decision.Assumed,
	})
	if decision.Incomplete {
		logger.Warn("layout of cells decided without a complete list of members")
	} else {
		logger.Info("layout of cells decided")
	}
	n.ownership.ProposeLayout(decision.Layout)
}

// memberWeights returns the weights of members, in the same order.
func memberWeights(members []membership.Member) []int {
	weights := make([]int, 0, len(members))
	for _, member := range members {
		weights = append(weights, member.Weight)
	}
	return weights
}

// applyLayout puts a decided layout in force on this node: its cells need owners from then on, and the planner,
// if it runs here, plans for them.
func (n *Node) applyLayout(layout shard.Layout) {
	if !layout.Decided() || n.state.layout.Equal(layout) {
		return
	}
	n.state.layout = layout
	n.ownership.SetCells(ownedCells(n.state.configuration, n.View(), layout))
	if fleetPlanner, isLocal := (*n.runners.Load())[fleetCell].(*planner.Planner); isLocal {
		fleetPlanner.Configure(n.state.configuration, layout)
	}
}
