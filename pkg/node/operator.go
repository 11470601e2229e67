package node

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"damsonwinch"
	"damsonwinch/pkg/cell"
	"damsonwinch/pkg/customer"
	"damsonwinch/pkg/feed"
	"damsonwinch/pkg/owner"
	"damsonwinch/pkg/planner"
	"damsonwinch/pkg/shard"
)

// followOperator reads the operator's stream, through the relay, until the node is closed.
func (n *Node) followOperator() error {
	// wait is how long a read waits for new records. It is short because a configuration must be in force
	// within 2 s, even if a response is lost and the read has to be given up.
	const wait = time.Second
	deps := n.feedDeps()
	deps.Store = n.relay
	feed.New(deps, feed.Options{
		Stream: n.deps.Platform.OperatorStream, Wait: wait, NewestOnly: true,
		OnSnapshot: func(records []damsonwinch.Record, _ int, _ time.Time) {
			n.send(operatorRecords{records: records, snapshot: true, confirmedAt: n.relay.ConfirmedAt()})
		},
		OnRecords: func(records []damsonwinch.Record, _ int, _ time.Time) {
			n.send(operatorRecords{records: records, confirmedAt: n.relay.ConfirmedAt()})
		},
	}).Run(n.ctx)
	return nil
}

// applyOperatorRecords puts newer configurations in force and passes waves and evacuations on. It skips
// older configurations, which arrive when the feed reads the stream again.
func (n *Node) applyOperatorRecords(m operatorRecords) {
	evacuated := map[string]bool{}
	for _, record := range m.records {
		decoded, err := n.deps.Platform.DecodeOperator(record)
		if err != nil {
			n.reportInvalidRecord(record, err)
			continue
		}
		switch {
		case decoded.Configuration != nil && decoded.Configuration.Version > n.state.configuration.Version:
			n.configure(*decoded.Configuration)
		case decoded.Wave != nil:
			n.setWave(*decoded.Wave)
		case decoded.Evacuation != nil:
			evacuated[decoded.Evacuation.Zone] = !decoded.Evacuation.Ended
			n.setEvacuation(*decoded.Evacuation)
		}
	}
	if m.snapshot {
		n.endUnlistedEvacuations(evacuated)
	}
	n.state.evacuations.confirmedAt = m.confirmedAt
	n.sendEvacuations()
}

// reportInvalidRecord logs and counts a record of the operator that can't be decoded, unless it was reported before.
func (n *Node) reportInvalidRecord(record damsonwinch.Record, err error) {
	if offset, reported := n.state.invalidOperatorRecords[record.Key]; reported && offset == record.Offset {
		return
	}
	if n.state.invalidOperatorRecords == nil {
		n.state.invalidOperatorRecords = map[string]int{}
	}
	n.state.invalidOperatorRecords[record.Key] = record.Offset
	n.deps.Metrics.Add("operator_records_refused", 1)
	n.deps.Logger.WithError(err).WithField("key", record.Key).Error("operator's record not understood")
}

// configure puts a configuration in force on this node, and passes it to the owners and the planner that run
// here.
func (n *Node) configure(configuration damsonwinch.Configuration) {
	n.state.configuration, n.state.queues = configuration, cell.NewQueueTable(configuration.Version, configuration.Queues)
	customers, problems := customer.New(configuration.Customers)
	n.replaceAccessRules(newAccessRules(configuration, customers))
	n.deps.Metrics.SetGauge("configuration_version", configuration.Version)
	n.deps.Logger.WithFields(logrus.Fields{"version": configuration.Version, "queues": len(configuration.Queues), "customers": customers.Len()}).Info("configuration in force")
	for _, problem := range slices.Concat(configuration.Problems, problems) {
		n.deps.Logger.WithFields(logrus.Fields{"version": configuration.Version, "why": problem}).Error("part of the configuration not in force")
	}
	n.deps.OnConfiguration(configuration, customers)
	n.ownership.SetCells(ownedCells(configuration, n.View(), n.state.layout))
	n.proposeLayout()
	for name, runner := range *n.runners.Load() {
		switch runner := runner.(type) {
		case *owner.Owner:
			runner.Configure(configuration, n.state.queues, n.rejectsOverload(name))
		case *planner.Planner:
			runner.Configure(configuration, n.state.layout)
		}
	}
}

// replaceAccessRules puts rules in force and wakes the calls that wait for them.
func (n *Node) replaceAccessRules(rules *accessRules) {
	if previous := n.accessRules.Swap(rules); previous != nil {
		close(previous.replaced)
	}
}

// rejectsOverload reports whether the endpoints of a cell reject tasks that exceed their free capacity. It returns
// false for a pool that isn't in the configuration.
func (n *Node) rejectsOverload(cell string) bool {
	name, _ := shard.ParseCellName(cell)
	pool, exists := n.state.configuration.Pool(name)
	return exists && pool.RejectsOverload
}

// setWave stores a wave for planners that start later on this node, and passes it to the planner that runs here,
// if there is one.
func (n *Node) setWave(wave damsonwinch.Wave) {
	n.state.waves[wave.Number] = wave
	n.deps.Logger.WithFields(logrus.Fields{"wave": wave.Number, "boxes": len(wave.Boxes), "most_down": wave.MaxDown, "duration": wave.Duration.String()}).Info("wave requested")
	if fleetPlanner, isLocal := (*n.runners.Load())[fleetCell].(*planner.Planner); isLocal {
		fleetPlanner.SetWave(wave)
	}
}
