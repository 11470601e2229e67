package relay

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// TestUpstreamNodesAreChosenOncePerList checks growth: each node asks for its upstream node with each read, some
// times a second. Sorting all members each time cost a weak node of a fleet of 588 a third of a percent of
// its core.
func TestUpstreamNodesAreChosenOncePerList(t *testing.T) {
	for _, size := range []int{100, 200, 400} {
		f := newFleet(t.Context(), clockwork.NewFakeClock(), newFakeStore("value"), size)
		r, _ := f.follower(t)
		allocations := testing.AllocsPerRun(100, func() { r.upstream() })
		assert.Equal(t, allocations, 0.0, "allocations in a fleet of %d nodes", size)
	}
}

// TestUpstreamNodesAreSpread checks that the upstream nodes are not all of one part of the fleet, whose nodes have
// similar names: a cut would separate all followers from them.
func TestUpstreamNodesAreSpread(t *testing.T) {
	f := newFleet(t.Context(), clockwork.NewFakeClock(), newFakeStore("value"), 600)
	zones := map[string]int{}
	for _, upstream := range chooseUpstreams(f.members) {
		zones[fmt.Sprint(upstream.Node[len("node-")])]++
	}
	assert.Equal(t, len(zones), 6, "upstream nodes by the hundreds of their numbers: %v", zones)
}
