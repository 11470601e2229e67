package cell

import (
	"cmp"

	"damsonwinch"
)

// coresShown is how many whole free cores are told apart; boxes with more count as
// having that many.
const coresShown = 256

// milliCore is a core in the unit of resources.
const milliCore = 1000

// rooms holds the endpoints by their whole free cores, so that a choice looks only
// at those that may have room: in a busy cell most are full.
type rooms struct {
	byCores [coresShown + 1][]*endpoint
	// most is the highest number of free cores that any endpoint has had.
	most int
}

// bucketOf returns the number of whole cores, as far as they are told apart.
func bucketOf(cpu int) int {
	return min(max(cpu/milliCore, 0), coresShown)
}

// put takes an endpoint in, or moves it to where it belongs now.
func (r *rooms) put(e *endpoint) {
	bucket := bucketOf(e.free().CPU)
	if e.roomed {
		if e.room == bucket {
			return
		}
		r.drop(e)
	}
	e.roomed, e.room, e.roomAt = true, bucket, len(r.byCores[bucket])
	r.byCores[bucket] = append(r.byCores[bucket], e)
	r.most = max(r.most, bucket)
}

// drop takes an endpoint out.
func (r *rooms) drop(e *endpoint) {
	if !e.roomed {
		return
	}
	list := r.byCores[e.room]
	last := list[len(list)-1]
	list[e.roomAt], last.roomAt = last, e.roomAt
	list[len(list)-1] = nil
	r.byCores[e.room] = list[:len(list)-1]
	e.roomed = false
}

// occupy takes room at an endpoint; release gives it back.
func (c *Cell) occupy(e *endpoint, need damsonwinch.Resources) {
	e.used = e.used.Plus(need)
	c.rooms.put(e)
}

func (c *Cell) release(e *endpoint, need damsonwinch.Resources) {
	e.used = e.used.Minus(need)
	c.rooms.put(e)
}

// choose returns the endpoint that suits a task best, or nil. Work is packed on
// few boxes, so that others stay empty and can be given away or maintained. A label
// that isn't empty leaves only the endpoints that have it.
func (c *Cell) choose(t *task, label string) *endpoint {
	var best *endpoint
	bestScore := 0
	need := t.phase.need().CPU
	for bucket := bucketOf(need); bucket <= c.rooms.most; bucket++ {
		for _, e := range c.rooms.byCores[bucket] {
			if !e.hasLabel(label) || !c.allowed(t, e) {
				continue
			}
			score := c.score(t, e)
			// Equal ones are told apart by their names: the order here depends on
			// what happened before.
			if best == nil || score > bestScore || score == bestScore && cmp.Less(e.info.ID, best.info.ID) {
				best, bestScore = e, score
			}
		}
		// Endpoints with more room count for less, unless a rack makes up for it.
		if best != nil && t.phase.spec.Rack == "" && bestScore >= -best.free().CPU {
			break
		}
	}
	return best
}
