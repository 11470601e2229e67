package node

import (
	"github.com/sirupsen/logrus"

	"damsonwinch"
	"damsonwinch/pkg/membership"
	"damsonwinch/pkg/planner"
	"damsonwinch/pkg/shard"
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

// proposeLayout chooses the number of shards and proposes a layout, if none has been decided. Only the node
// that runs the planner does so, because no other node knows the number of boxes. If one shard is enough for
// the members listed so far, it is enough for more members too. To choose more shards, the list must be
// complete.
func (n *Node) proposeLayout() {
	view := n.View()
	pools := poweredOnPools(n.state.configuration)
	if view.Layout.Decided() || n.state.boxCount == 0 || len(pools) == 0 {
		return
	}
	count := shard.ChooseCount(n.state.boxCount, len(pools), memberWeights(view.Members))
	if count > 1 && !view.MembersComplete {
		return
	}
	n.deps.Logger.WithFields(logrus.Fields{
		"shards": count, "boxes": n.state.boxCount, "pools": len(pools), "members": len(view.Members),
	}).Info("layout of cells decided")
	n.ownership.ProposeLayout(shard.New(count, pools))
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
	n.ownership.SetCells(requiredCells(n.state.configuration, layout))
	if fleetPlanner, isLocal := (*n.runners.Load())[fleetCell].(*planner.Planner); isLocal {
		fleetPlanner.Configure(n.state.configuration, layout)
	}
}
