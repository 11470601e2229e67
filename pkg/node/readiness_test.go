package node

import (
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	logrustest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/cellclaim"
	"damsonwinch/pkg/customer"
	"damsonwinch/pkg/membership"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/ownership"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// claimBy returns the claim of a cell by a member.
func claimBy(m membership.Member, cell string) cellclaim.Claim {
	return cellclaim.Claim{CellClaim: wire.CellClaim{Cell: cell, Node: m.Node, Address: m.Address, Incarnation: m.Incarnation}, Token: 1}
}

// TestNodeReportsWhatItWaitsFor guards against a fleet that serves nothing although no node logs why: each condition that
// a node waits for is in the log line, in the gauges and in the reason for refusals.
func TestNodeReportsWhatItWaitsFor(t *testing.T) {
	logger, hook := logrustest.NewNullLogger()
	clock := clockwork.NewFakeClock()
	self, other := membership.Member{Node: "a", Incarnation: 1, Weight: 400}, membership.Member{Node: "b", Incarnation: 1, Weight: 400}
	n := &Node{deps: Deps{Clock: clock, Logger: logger, Metrics: metrics.New()}, options: Options{Self: self}}
	n.view.Store(&ownership.View{})
	// Each step takes long enough for a line.
	for _, step := range []struct {
		name   string
		change func(view *ownership.View)
		waits  []string
	}{
		{"after the start", func(*ownership.View) {}, []string{
			"configuration: none has been read", "claims: the stream of claims has not been read",
			"members: the group's members have not been read", "layout: not decided, no node plans for the fleet",
		}},
		{"with a configuration", func(view *ownership.View) {
			n.state.configuration = damsonwinch.Configuration{Pools: []damsonwinch.Pool{{Name: "p"}}}
			index, _ := customer.New(nil)
			n.accessRules.Store(newAccessRules(n.state.configuration, index))
			view.ConfirmedAt, view.MembersReadAt = clock.Now(), clock.Now()
			view.Claims = map[string]cellclaim.Claim{fleetCell: claimBy(other, fleetCell)}
		}, []string{"layout: not decided by b, which plans for the fleet"}},
		{"as the planner's node", func(view *ownership.View) {
			view.Claims = map[string]cellclaim.Claim{fleetCell: claimBy(self, fleetCell)}
			view.Members, view.Announced, view.MaxMissing = []membership.Member{self}, []membership.Member{other}, 3
		}, []string{
			"members: 1 are listed by the group, 1 have announced themselves, up to 3 may be missing",
			"box_count: the list of boxes has not been read to its end", "layout: not decided: the number of boxes is not known",
		}},
		{"with a layout", func(view *ownership.View) { view.Layout = shard.New(1, []string{"p"}) }, []string{"claims: 1 of 2 cells have no owner, the first is p"}},
		{"ready", func(view *ownership.View) { view.Claims["p"] = claimBy(other, "p") }, nil},
	} {
		view := n.View()
		step.change(&view)
		n.view.Store(&view)
		n.updateReadiness()
		clock.Advance(5 * time.Second)
		n.updateReadiness()
		assert.Equal(t, n.WaitReason() == "", len(step.waits) == 0, "%s: %s", step.name, n.WaitReason())
		for _, condition := range []string{"configuration", "members", "box_count", "layout", "claims"} {
			waits := 0
			for _, reason := range step.waits {
				assert.Assert(t, strings.Contains(n.WaitReason(), reason), "%s: %s", step.name, n.WaitReason())
				if strings.HasPrefix(reason, condition) {
					waits = 1
				}
			}
			assert.Equal(t, n.deps.Metrics.Count("waits_for_"+condition), waits, "%s: %s", step.name, condition)
		}
		if len(step.waits) > 0 {
			assert.Equal(t, hook.LastEntry().Data["why"], n.WaitReason(), step.name)
		}
	}
	assert.Equal(t, hook.LastEntry().Message, "node can serve clients")
}
