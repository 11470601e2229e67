package node

import (
	"github.com/sirupsen/logrus"

	"damsonwinch"
	"damsonwinch/pkg/ownership"
	"damsonwinch/pkg/planner"
	"damsonwinch/pkg/shard"
)

// fleetCell is the cell whose owner plans for all boxes. No pool can have its
// name, which is none that the operator's names allow.
const fleetCell = "@fleet"

// cellsOf returns the cells that need an owner: the fleet's and, once the layout has been
// decided, those of the pools whose boxes run.
func cellsOf(configuration damsonwinch.Configuration, layout shard.Layout) []string {
	cells := []string{fleetCell}
	for _, pool := range runningPools(configuration) {
		cells = append(cells, layout.CellNames(pool)...)
	}
	return cells
}

// runningPools returns the names of the pools whose boxes run.
func runningPools(configuration damsonwinch.Configuration) []string {
	var names []string
	for _, pool := range configuration.Pools {
		if !pool.PoweredOff {
			names = append(names, pool.Name)
		}
	}
	return names
}

// boxesCounted tells how many boxes the fleet has.
type boxesCounted struct{ boxes int }

// decideLayout decides into how many shards the fleet is cut, on the node that plans for it
// and if nobody has before. Where one shard will do, it will also do with nodes that aren't
// listed yet; else their list must be complete.
func (n *Node) decideLayout() {
	view := n.View()
	pools := runningPools(n.state.configuration)
	if view.Layout.Decided() || n.state.boxes == 0 || len(pools) == 0 {
		return
	}
	count := shard.ChooseCount(n.state.boxes, len(pools), weightsOf(view.Members))
	if count > 1 && !view.MembersComplete {
		return
	}
	n.deps.Logger.WithFields(logrus.Fields{
		"shards": count, "boxes": n.state.boxes, "pools": len(pools), "members": len(view.Members),
	}).Info("layout of cells decided")
	n.ownership.ProposeLayout(shard.NewLayout(count, pools))
}

func weightsOf(members []ownership.Member) []int {
	weights := make([]int, 0, len(members))
	for _, member := range members {
		weights = append(weights, member.Weight)
	}
	return weights
}

// useLayout has the cells of a layout owned and planned for once it is in force.
func (n *Node) useLayout(layout shard.Layout) {
	if !layout.Decided() || n.state.layout.Equal(layout) {
		return
	}
	n.state.layout = layout
	n.ownership.SetCells(cellsOf(n.state.configuration, layout))
	if planning, here := (*n.holdings.Load())[fleetCell].(*planner.Planner); here {
		planning.Configure(n.state.configuration, layout)
	}
}
