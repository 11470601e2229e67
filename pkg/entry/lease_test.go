package entry

import (
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/lease"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/table"
	"damsonwinch/pkg/wire"
)

// applyOne returns the state after a log record with one proposal, which must be accepted.
func applyOne(t *testing.T, state fleetstate.State, proposal wire.Proposal) fleetstate.State {
	data, err := json.Marshal(wire.Batch{Id: "x", Node: "a", Incarnation: 1, Number: state.Offset() + 1, Proposals: []wire.Proposal{proposal}})
	assert.NilError(t, err)
	next, results := state.Apply(wire.Entry{Offset: state.Offset(), Data: string(data)})
	assert.Assert(t, results[0].Accepted, results[0].Reason)
	return next
}

// TestReleasedEntryRejoinsWithNewIncarnation checks that an entry whose sender the log has released
// takes a new incarnation and has no lease, and that a late extension for the released sender doesn't
// give it one.
func TestReleasedEntryRejoinsWithNewIncarnation(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	clock := clockwork.NewFakeClock()
	e := &Entry{deps: Deps{Clock: clock, Metrics: metrics.New(), Logger: logger, Settings: settings.Entry{Node: "a", Hall: "north", LeaseMs: 1000}}}
	e.loopState = e.newLoopState()
	e.key = fleetstate.SenderKey{Node: "a", Incarnation: 11}
	old := e.key
	e.lease.holder = e.lease.holder.WithRenewalIssued(1, clock.Now())
	renewal := wire.Member{Node: "a", Hall: "north", Keeper: 1, Entry: 11, Seq: 1}
	e.state = applyOne(t, fleetstate.New(table.Table{}), wire.Proposal{Kind: wire.KindRenew, Members: []wire.Member{renewal}})
	e.updateLease()
	assert.Assert(t, e.leaseValid())

	e.state = applyOne(t, e.state, wire.Proposal{Kind: wire.KindRelease, Release: &wire.Release{Node: "a", Entry: 11, Seq: 1, How: wire.ReleaseHowEnded}})
	e.updateLease()

	assert.Assert(t, e.key.Incarnation > old.Incarnation)
	assert.Assert(t, !e.leaseValid())
	e.handleExtended(extendedMessage{key: old, peer: lease.Peer{Node: "a", Incarnation: 1}, requestedAt: clock.Now().Add(time.Millisecond), granted: true})
	assert.Assert(t, !e.leaseValid())
}
