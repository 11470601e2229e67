package node

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"damsonwinch"
	"damsonwinch/pkg/customer"
	"damsonwinch/pkg/feed"
	"damsonwinch/pkg/owner"
	"damsonwinch/pkg/planner"
	"damsonwinch/pkg/shard"
)

func (n *Node) followOperator() error {
	// Configurations must be in force within two seconds, also where an answer is
	// lost and the reading has to be given up.
	const wait = time.Second
	deps := n.feedDeps()
	deps.Store = n.relay
	feed.New(deps, feed.Options{
		Stream: n.deps.Platform.OperatorStream, Wait: wait, NewestOnly: true,
		OnSnapshot: func(records []damsonwinch.Record, _ int, _ time.Time) { n.send(operatorRecords{records}) },
		OnRecords:  func(records []damsonwinch.Record, _ int, _ time.Time) { n.send(operatorRecords{records}) },
	}).Run(n.ctx)
	return nil
}

// takeOperator puts a newer configuration in force. Older ones come when the
// stream is read anew.
func (n *Node) takeOperator(records []damsonwinch.Record) {
	for _, record := range records {
		configuration, wave, err := n.deps.Platform.DecodeOperator(record)
		if err != nil {
			n.deps.Logger.WithError(err).Error("operator's record not understood")
			continue
		}
		if configuration != nil && configuration.Version > n.state.configuration.Version {
			n.configure(*configuration)
		}
		if wave != nil {
			n.takeWave(*wave)
		}
	}
}

// configure puts a configuration in force on this node.
func (n *Node) configure(configuration damsonwinch.Configuration) {
	n.state.configuration = configuration
	book, flaws := customer.New(configuration.Customers)
	if replaced := n.inForce.Swap(newInForce(configuration, book)); replaced != nil {
		close(replaced.replaced)
	}
	n.deps.Metrics.SetGauge("configuration_version", configuration.Version)
	n.deps.Logger.WithFields(logrus.Fields{"version": configuration.Version, "queues": len(configuration.Queues), "customers": book.Len()}).Info("configuration in force")
	for _, flaw := range slices.Concat(configuration.Problems, flaws) {
		n.deps.Logger.WithFields(logrus.Fields{"version": configuration.Version, "why": flaw}).Error("part of the configuration not in force")
	}
	n.deps.OnConfiguration(configuration, book)
	n.ownership.SetCells(cellsOf(configuration, n.state.layout))
	n.decideLayout()
	for cell, held := range *n.holdings.Load() {
		switch held := held.(type) {
		case *owner.Owner:
			held.Configure(configuration, n.guarded(cell))
		case *planner.Planner:
			held.Configure(configuration, n.state.layout)
		}
	}
}

// guarded says whether the endpoints of a cell refuse what doesn't fit; those of a pool that
// isn't known are not counted on.
func (n *Node) guarded(cell string) bool {
	name, _ := shard.ParseCellName(cell)
	pool, known := n.state.configuration.Pool(name)
	return known && pool.RejectsOverload
}

// takeWave passes a wave on to the planner, if that is here.
func (n *Node) takeWave(wave damsonwinch.Wave) {
	n.state.waves[wave.Number] = wave
	n.deps.Logger.WithFields(logrus.Fields{"wave": wave.Number, "boxes": len(wave.Boxes), "most_down": wave.MaxDown, "duration": wave.Duration.String()}).Info("wave asked for")
	if planning, here := (*n.holdings.Load())[fleetCell].(*planner.Planner); here {
		planning.SetWave(wave)
	}
}
