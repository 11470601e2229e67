package node

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/customer"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/wire"
)

// newRules returns the rules of a configuration without customers, by which the queue "queue" leads to a pool.
func newRules(t *testing.T, version int, pool string) *accessRules {
	customers, problems := customer.New(nil)
	assert.Equal(t, len(problems), 0)
	return newAccessRules(damsonwinch.Configuration{Version: version, Queues: []damsonwinch.Queue{{Name: "queue", Pool: pool}}}, customers)
}

// newRulesNode returns a node that has rules but doesn't run.
func newRulesNode(rules *accessRules, clock damsonwinch.Clock) *Node {
	n := &Node{deps: Deps{Clock: clock, Metrics: metrics.New()}}
	n.accessRules.Store(rules)
	return n
}

// TestOwnerRefusesSubmissionsToAFormerPool guards against a job that is accepted in the former pool of its queue, by way
// of a node with an older configuration, while the present pool accepts it too.
func TestOwnerRefusesSubmissionsToAFormerPool(t *testing.T) {
	n := newRulesNode(newRules(t, 2, "present"), clockwork.NewRealClock())
	for _, test := range []struct {
		cell     string
		version  int
		admitted bool
	}{
		{cell: "former@3", version: 1}, {cell: "former", version: 2},
		{cell: "present@3", version: 1, admitted: true}, {cell: "newer", version: 3, admitted: true},
	} {
		args := wire.JobArgs{Queue: "queue", Cell: test.cell, ConfigVersion: test.version, Spec: &wire.JobSpec{}}
		reply, admitted := n.CheckPool(t.Context(), args)
		assert.Equal(t, admitted, test.admitted, "%+v: %s", test, reply.Reason)
		assert.Equal(t, reply.RetryAfterMs > 0, !test.admitted)
		args.Spec, args.Pool = nil, "former"
		_, admitted = n.CheckPool(t.Context(), args)
		assert.Assert(t, admitted || test.version > 2, "a job of a former pool can be shown and cancelled: %+v", test)
	}
}

// TestLookupByANewerConfigurationWaitsForIt guards against an owner that denies a job to a node with a newer
// configuration, and then accepts the job from one with an older configuration: the job would run in two pools.
func TestLookupByANewerConfigurationWaitsForIt(t *testing.T) {
	for _, arrives := range []bool{true, false} {
		clock := clockwork.NewFakeClock()
		older, newer := newRules(t, 1, "former"), newRules(t, 2, "present")
		n := newRulesNode(older, clock)
		admitted := false
		var group errgroup.Group
		group.Go(func() error {
			_, admitted = n.CheckPool(t.Context(), wire.JobArgs{Queue: "queue", Pool: "present", Cell: "former", ConfigVersion: 2})
			return nil
		})
		assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
		if arrives {
			n.accessRules.Store(newer)
			close(older.replaced)
		} else {
			clock.Advance(maxVersionWait)
		}
		assert.NilError(t, group.Wait())
		assert.Equal(t, admitted, arrives)
	}
}

// TestClosingLookupNeedsNoConfiguration guards against a new job that is refused because the owner of another pool's cell
// has no word of the configuration yet: the cell records that it accepts no jobs by older ones.
func TestClosingLookupNeedsNoConfiguration(t *testing.T) {
	n := newRulesNode(newRules(t, 1, "former"), clockwork.NewFakeClock())
	_, admitted := n.CheckPool(t.Context(), wire.JobArgs{Queue: "queue", Pool: "present", Cell: "former", ConfigVersion: 2, Closing: true})
	assert.Assert(t, admitted)
}
