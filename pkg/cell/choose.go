package cell

import (
	"damsonwinch"
	"damsonwinch/pkg/freecores"
)

// occupy marks capacity of an endpoint as used.
func (c *Cell) occupy(e *endpoint, need damsonwinch.Resources) {
	e.used = e.used.Plus(need)
	e.updateFreeCores()
}

// release marks capacity of an endpoint as free again.
func (c *Cell) release(e *endpoint, need damsonwinch.Resources) {
	e.used = e.used.Minus(need)
	e.updateFreeCores()
}

// updateFreeCores updates the endpoint's place in its zone's index of free cores, or adds it there.
func (e *endpoint) updateFreeCores() {
	e.zone.byFreeCores.Update(&e.coreEntry, e.free().MilliCPU)
}

// chooseEndpoint returns the best endpoint for a task, or nil if none can start it. Endpoints of
// the home zone of the task's job are preferred, but for those that have refused the task. If label
// isn't empty, only endpoints with that label are considered.
func (c *Cell) chooseEndpoint(t *task, label string) *endpoint {
	if c.crashQueues.IsProne(t.phase.job().queue) {
		return c.chooseLeastAtRisk(t, label)
	}
	if home := c.homeZone(t); home != nil {
		if found := c.chooseInZones(home.asSlice, t, label); found != nil && t.refusalScore(found) == 0 {
			return found
		}
	}
	return c.chooseInZones(c.zones, t, label)
}

// chooseInZones returns the best endpoint for a task among those of the given zones, or nil if none
// can start it. It packs work on few boxes, so that others stay empty and can be moved or
// maintained.
func (c *Cell) chooseInZones(zones []*zone, t *task, label string) *endpoint {
	var choice choice
	maxBucket := 0
	for _, z := range zones {
		maxBucket = max(maxBucket, z.byFreeCores.Highest())
	}
	for bucket := freecores.BucketOf(t.phase.need().MilliCPU); bucket <= maxBucket; bucket++ {
		for _, z := range zones {
			for _, entry := range z.byFreeCores.Bucket(bucket) {
				if e := entry.Value.(*endpoint); e.hasLabel(label) && c.canStart(t, e) {
					choice.offer(e, c.score(t, e))
				}
			}
		}
		// Endpoints in higher buckets have more free CPU and so lower scores. They can only be
		// better if the phase prefers a rack or the best one so far has a penalty.
		if choice.best != nil && t.phase.spec.Rack == "" && choice.score >= -choice.best.free().MilliCPU {
			break
		}
	}
	return choice.best
}

// choice holds the endpoint with the highest score of those offered so far, or nil.
type choice struct {
	best  *endpoint
	score int
}

// offer makes e the choice if its score is higher. Among equal scores the lower life wins, since
// the order in which endpoints are offered depends on earlier events.
func (c *choice) offer(e *endpoint, score int) {
	if c.best == nil || score > c.score || score == c.score && e.info.Life.Compare(c.best.info.Life) < 0 {
		c.best, c.score = e, score
	}
}
