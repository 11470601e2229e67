package cell

import (
	"damsonwinch"
)

// maxCoreBucket is how many whole free cores are told apart; boxes with more count as
// having that many.
const maxCoreBucket = 256

// milliCPUPerCore is a core in the unit of resources.
const milliCPUPerCore = 1000

// freeCoreIndex holds a zone's endpoints by their whole free cores, so that a choice looks
// only at those that may have room: in a busy cell most are full.
type freeCoreIndex struct {
	buckets [maxCoreBucket + 1][]*endpoint
	// maxBucket is the highest number of free cores that any endpoint has had.
	maxBucket int
}

// freeCores returns the whole free cores of all usable endpoints.
func (r *freeCoreIndex) freeCores() int {
	sum := 0
	for bucket := 1; bucket <= r.maxBucket; bucket++ {
		for _, e := range r.buckets[bucket] {
			if e.usable() && !e.overdue {
				sum += bucket
			}
		}
	}
	return sum
}

// coreBucket returns the number of whole cores, as far as they are told apart.
func coreBucket(cpu int) int {
	return min(max(cpu/milliCPUPerCore, 0), maxCoreBucket)
}

// update takes an endpoint in, or moves it to where it belongs now.
func (r *freeCoreIndex) update(e *endpoint) {
	bucket := coreBucket(e.free().MilliCPU)
	if e.indexed {
		if e.bucket == bucket {
			return
		}
		r.remove(e)
	}
	e.indexed, e.bucket, e.bucketPos = true, bucket, len(r.buckets[bucket])
	r.buckets[bucket] = append(r.buckets[bucket], e)
	r.maxBucket = max(r.maxBucket, bucket)
}

// remove takes an endpoint out.
func (r *freeCoreIndex) remove(e *endpoint) {
	if !e.indexed {
		return
	}
	list := r.buckets[e.bucket]
	last := list[len(list)-1]
	list[e.bucketPos], last.bucketPos = last, e.bucketPos
	list[len(list)-1] = nil
	r.buckets[e.bucket] = list[:len(list)-1]
	e.indexed = false
}

// occupy takes room at an endpoint; release gives it back.
func (c *Cell) occupy(e *endpoint, need damsonwinch.Resources) {
	e.used = e.used.Plus(need)
	e.zone.byFreeCores.update(e)
}

func (c *Cell) release(e *endpoint, need damsonwinch.Resources) {
	e.used = e.used.Minus(need)
	e.zone.byFreeCores.update(e)
}

// chooseEndpoint returns the endpoint that suits a task best, or nil: in its job's zone if
// there is room. A label that isn't empty leaves only the endpoints that have it.
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

// chooseInZones returns the endpoint of some zones that suits a task best, or nil. Work
// is packed on few boxes, so that others stay empty and can be given away or
// maintained.
func (c *Cell) chooseInZones(zones []*zone, t *task, label string) *endpoint {
	var choice choice
	most := 0
	for _, z := range zones {
		most = max(most, z.byFreeCores.maxBucket)
	}
	for bucket := coreBucket(t.phase.need().MilliCPU); bucket <= most; bucket++ {
		for _, z := range zones {
			for _, e := range z.byFreeCores.buckets[bucket] {
				if e.hasLabel(label) && c.canStart(t, e) {
					choice.offer(e, c.score(t, e))
				}
			}
		}
		// Endpoints with more room count for less, unless a rack makes up for it.
		if choice.best != nil && t.phase.spec.Rack == "" && choice.score >= -choice.best.free().MilliCPU {
			break
		}
	}
	return choice.best
}

// choice is the endpoint with the highest score of those offered.
type choice struct {
	best  *endpoint
	score int
}

// offer takes the better one. Equal ones are told apart by their names: the order
// in which they come depends on what happened before.
func (c *choice) offer(e *endpoint, score int) {
	if c.best == nil || score > c.score || score == c.score && e.info.Life.Compare(c.best.info.Life) < 0 {
		c.best, c.score = e, score
	}
}
