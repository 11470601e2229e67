package node

import (
	"maps"
	"slices"
	"time"
)

// formerPool is a pool to which a queue led by an earlier configuration. It is forgotten at a time.
type formerPool struct {
	name  string
	until time.Time
}

// rememberFormerPools returns the former pools of all queues, by queue, when the rules next replace the rules previous:
// those that were remembered and are not too old, and those of the queues that next leads elsewhere or drops. A client
// may send a job again until the job is forgotten, so that they are kept for as long as ended jobs.
func rememberFormerPools(previous, next *accessRules, now time.Time, retention time.Duration) map[string][]formerPool {
	remembered := map[string][]formerPool{}
	for queue, pools := range previous.formerPools {
		for _, former := range pools {
			if now.Before(former.until) {
				remembered[queue] = append(remembered[queue], former)
			}
		}
	}
	for queue, pool := range previous.pools {
		if next.pools[queue] != pool {
			remembered[queue] = append(remembered[queue], formerPool{name: pool, until: now.Add(retention)})
		}
	}
	return remembered
}

// FormerPools implements intake.Cells. It knows only of configurations that have been in force on this node since its
// process was started.
func (n *Node) FormerPools(queue string) []string {
	rules := n.accessRules.Load()
	if rules == nil {
		return nil
	}
	now := n.deps.Clock.Now()
	names := map[string]bool{}
	for _, former := range rules.formerPools[queue] {
		if former.name != rules.pools[queue] && now.Before(former.until) {
			names[former.name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}
