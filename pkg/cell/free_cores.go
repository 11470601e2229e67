package cell

import (
	"damsonwinch"
)

// maxCoreBucket is the highest number of free cores that freeCoreIndex distinguishes. Endpoints
// with more free cores are in the same bucket.
const maxCoreBucket = 256

// milliCPUPerCore is the value of Resources.MilliCPU for one core.
const milliCPUPerCore = 1000

// freeCoreIndex holds a zone's endpoints by the number of their free cores, rounded down. A search
// visits only the endpoints that may have enough: in a busy cell most endpoints are full.
type freeCoreIndex struct {
	buckets [maxCoreBucket + 1][]*endpoint
	// maxBucket is the highest bucket that has ever held an endpoint.
	maxBucket int
}

// freeCores returns the sum of the free cores of all usable endpoints, each rounded down.
func (x *freeCoreIndex) freeCores() int {
	sum := 0
	for bucket := 1; bucket <= x.maxBucket; bucket++ {
		for _, e := range x.buckets[bucket] {
			if e.usable() && !e.leavesUnanswered() {
				sum += bucket
			}
		}
	}
	return sum
}

// coreBucket returns the bucket for an amount of CPU in thousandths of a core.
func coreBucket(milliCPU int) int {
	return min(max(milliCPU/milliCPUPerCore, 0), maxCoreBucket)
}

// update adds an endpoint to the index, or moves it to the bucket of its free cores.
func (x *freeCoreIndex) update(e *endpoint) {
	bucket := coreBucket(e.free().MilliCPU)
	if e.indexed {
		if e.bucket == bucket {
			return
		}
		x.remove(e)
	}
	e.indexed, e.bucket, e.bucketPos = true, bucket, len(x.buckets[bucket])
	x.buckets[bucket] = append(x.buckets[bucket], e)
	x.maxBucket = max(x.maxBucket, bucket)
}

// remove removes an endpoint from the index, if it is there.
func (x *freeCoreIndex) remove(e *endpoint) {
	if !e.indexed {
		return
	}
	list := x.buckets[e.bucket]
	last := list[len(list)-1]
	list[e.bucketPos], last.bucketPos = last, e.bucketPos
	list[len(list)-1] = nil
	x.buckets[e.bucket] = list[:len(list)-1]
	e.indexed = false
}

// occupy marks capacity of an endpoint as used.
func (c *Cell) occupy(e *endpoint, need damsonwinch.Resources) {
	e.used = e.used.Plus(need)
	e.zone.byFreeCores.update(e)
}

// release marks capacity of an endpoint as free again.
func (c *Cell) release(e *endpoint, need damsonwinch.Resources) {
	e.used = e.used.Minus(need)
	e.zone.byFreeCores.update(e)
}

// chooseEndpoint returns the best endpoint for a task, or nil if none can start it. Endpoints of
// the home zone of the task's job are preferred. If label isn't empty, only endpoints with that
// label are considered.
func (c *Cell) chooseEndpoint(t *task, label string) *endpoint {
	if c.crashProne[t.phase.job().queue] {
		return c.chooseLeastAtRisk(t, label)
	}
	if home := c.homeZone(t); home != nil {
		if found := c.chooseInZones(home.asSlice, t, label); found != nil {
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
		maxBucket = max(maxBucket, z.byFreeCores.maxBucket)
	}
	for bucket := coreBucket(t.phase.need().MilliCPU); bucket <= maxBucket; bucket++ {
		for _, z := range zones {
			for _, e := range z.byFreeCores.buckets[bucket] {
				if e.hasLabel(label) && c.canStart(t, e) {
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
