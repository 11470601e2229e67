package boxplan_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/wire"
)

// TestOwnBoxIsKeptAfterATakeover guards against a long-running task that waits beside an idle, withdrawn box of its cell
// until the platform takes orders again: the order on the box is that of an earlier planner, which no planner takes back.
func TestOwnBoxIsKeptAfterATakeover(t *testing.T) {
	f := newShardedFleet()
	f.add("short", 2, 0)
	own := f.boxes[0]
	f.withdrawn[own.EndpointID] = true
	f.planner.LoadOrder(wire.OrderRecord{Box: own.Name, Pool: "off", AtMs: int(f.now.UnixMilli()), Endpoint: own.EndpointID, Placement: &wire.PlacementRecord{}})
	assert.Assert(t, f.isRestoredWhileRefused(), "the box isn't kept in 20 s: %v", f.planner.Summary())
}
