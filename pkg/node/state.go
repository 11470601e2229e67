package node

import (
	"time"

	"damsonwinch"
	"damsonwinch/pkg/cell"
	"damsonwinch/pkg/readiness"
	"damsonwinch/pkg/shard"
)

// state is the part of a node that only the main goroutine reads and changes.
type state struct {
	configuration damsonwinch.Configuration
	// queues is the table of the configuration's queues.
	queues     *cell.QueueTable
	registry   registry
	placements placements
	// listed holds the lists of endpoints that other nodes have sent, by cell. Until readDirectlyUntil this node
	// reads the registrations itself, because no other node has them.
	listed            map[string][]damsonwinch.Endpoint
	readDirectlyUntil time.Time
	// registrationPeriods is the number of periods so far in which this node read the registrations.
	registrationPeriods int
	// followsPlacements is set once the feed of placements has been started.
	followsPlacements bool
	waves             map[int]damsonwinch.Wave
	// invalidOperatorRecords holds, by key, the offset of the newest operator's record that was reported as invalid.
	invalidOperatorRecords map[string]int
	evacuations            evacuations
	// layout is the division of each pool into cells. boxCount is the number of boxes of the fleet, or
	// 0 while it isn't known.
	layout   shard.Layout
	boxCount int
	// stoppedTokens holds, by cell, the token of the newest claim whose runner has stopped by itself.
	// No runner is started again for that claim.
	stoppedTokens map[string]int
	stopping      bool
	// tickedAt is when the main goroutine last handled a tick.
	tickedAt time.Time
	// readiness tracks what the node waits for before it serves clients.
	readiness readiness.Tracker
}

// The node's main goroutine handles these messages, and alone holds the state.
type (
	viewChanged     struct{}
	operatorRecords struct {
		records  []damsonwinch.Record
		snapshot bool
		// confirmedAt is when the store confirmed that the stream had no further records.
		confirmedAt time.Time
	}
	endpointRecords struct {
		records  []damsonwinch.Record
		snapshot bool
		// end is the offset that the stream's next record will get.
		end int
		// requestedAt is when the records were requested from the store, and receivedAt when this
		// node had received them.
		requestedAt time.Time
		receivedAt  time.Time
	}
	runnerStopped struct {
		cell   string
		runner cellRunner
	}
	stopRunners    struct{ done chan<- struct{} }
	optionsChanged struct{ options Options }
	// endpointsListed holds the list of a cell's endpoints that another node has sent.
	endpointsListed struct {
		cell      string
		endpoints []damsonwinch.Endpoint
	}
	directoryUnreachable struct{}
)
