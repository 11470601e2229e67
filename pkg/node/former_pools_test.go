package node

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damsonwinch"
)

// TestFormerPoolsAreRememberedForAWhile guards against a job that is accepted a second time because the node has
// forgotten the pool that accepted it, and against pools that are asked for good.
func TestFormerPoolsAreRememberedForAWhile(t *testing.T) {
	const retention = time.Minute
	clock := clockwork.NewFakeClock()
	n := newRulesNode(newRules(t, 1, "first"), clock)
	assert.Equal(t, len(n.FormerPools("queue")), 0)
	change := func(version int, pool string) {
		rules := newRules(t, version, pool)
		rules.formerPools = rememberFormerPools(n.accessRules.Load(), rules, clock.Now(), retention)
		n.accessRules.Store(rules)
	}
	change(2, "second")
	assert.DeepEqual(t, n.FormerPools("queue"), []string{"first"})
	clock.Advance(retention / 2)
	change(3, "second")
	change(4, "third")
	assert.DeepEqual(t, n.FormerPools("queue"), []string{"first", "second"})
	change(5, "first")
	// The queue leads to the first pool again, which is then no former one.
	assert.DeepEqual(t, n.FormerPools("queue"), []string{"second", "third"})
	clock.Advance(retention + 1)
	assert.Equal(t, len(n.FormerPools("queue")), 0)
	change(6, "first")
	assert.Equal(t, len(n.accessRules.Load().formerPools), 0, "nothing is kept of pools that are too old")
}

// TestFormerPoolOfADroppedQueueIsRemembered guards against a queue that is dropped and comes back with another pool.
func TestFormerPoolOfADroppedQueueIsRemembered(t *testing.T) {
	now := time.Unix(1000, 0)
	dropped := newAccessRules(damsonwinch.Configuration{Version: 2}, newRules(t, 1, "first").customers)
	dropped.formerPools = rememberFormerPools(newRules(t, 1, "first"), dropped, now, time.Minute)
	back := newRules(t, 3, "second")
	back.formerPools = rememberFormerPools(dropped, back, now, time.Minute)
	assert.DeepEqual(t, newRulesNode(back, clockwork.NewFakeClockAt(now)).FormerPools("queue"), []string{"first"})
}
