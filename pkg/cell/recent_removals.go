package cell

import (
	"fmt"
	"time"

	"damsonwinch"
)

// maxRecentRemovals is how many of the last removals are remembered. Each takes some 500 bytes. A run that goes on although it
// was removed is mostly listed by the next poll.
const maxRecentRemovals = 256

// maxRemovalText is how much of a removal's description is kept, in characters. It may hold the error of a call.
const maxRemovalText = 800

// recentRemovals remembers the last runs that were removed without a result of their endpoints, so that log lines can say
// what the owner went by if such a run turns out to exist.
type recentRemovals struct {
	runs []removedRun
	// next is the place of the oldest run, once there are maxRecentRemovals.
	next int
}

// removedRun describes the removal of a run from a life.
type removedRun struct {
	run  damsonwinch.Run
	life damsonwinch.Life
	at   time.Time
	text string
}

// add remembers a removal in place of the oldest one.
func (r *recentRemovals) add(removed removedRun) {
	removed.text = fmt.Sprintf("%.*s", maxRemovalText, removed.text)
	if len(r.runs) < maxRecentRemovals {
		r.runs = append(r.runs, removed)
		return
	}
	r.runs[r.next] = removed
	r.next = (r.next + 1) % maxRecentRemovals
}

// describe says for log lines when and why a run was last removed without a result of its endpoint.
func (r *recentRemovals) describe(now time.Time, id damsonwinch.Run) string {
	for back := range r.runs {
		// The newest run is before the oldest one.
		removed := r.runs[(r.next+len(r.runs)-1-back)%len(r.runs)]
		if removed.run == id {
			return fmt.Sprintf("removed %d ms ago from %s: %s", now.Sub(removed.at).Milliseconds(), removed.life, removed.text)
		}
	}
	return fmt.Sprintf("not among the last %d removals", len(r.runs))
}
