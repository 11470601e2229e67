package ownership

import (
	"math/rand/v2"
	"time"
)

// claimSlot is the mean time between the appends of nodes that claim cells at the same moment. The store
// carries out claims one after the other, some milliseconds each, and the next node must have read the claim
// before its own can succeed. No node waits longer than maxClaimBackoff.
const (
	claimSlot       = 20 * time.Millisecond
	maxClaimBackoff = time.Second
)

// backOff lets this node wait after a conflict, for a random time that grows with the number of cells
// without an owner and with the conflicts in a row. If all nodes that claim such cells tried again as soon
// as they had read the newest record, all but one would conflict again: the appends would grow with the
// square of the number of nodes.
func (o *Ownership) backOff(now time.Time) {
	s := &o.state
	s.conflicts++
	wait := rand.N(min(claimSlot*time.Duration((1+o.unownedCells())*s.conflicts), maxClaimBackoff))
	s.appendNotBefore = now.Add(wait)
	timer := o.deps.Clock.NewTimer(wait)
	o.group.Go(func() error {
		defer timer.Stop()
		select {
		case <-timer.Chan():
			o.send(backoffEnded{})
		case <-o.ctx.Done():
		}
		return nil
	})
}

// unownedCells returns the number of cells whose owners are gone.
func (o *Ownership) unownedCells() int {
	count := 0
	for _, cell := range o.state.cells {
		if claim, known := o.state.claims[cell]; !known || !o.isOwnerAlive(claim) {
			count++
		}
	}
	return count
}
