package ownership

import (
	"time"

	"damsonwinch/pkg/claimpace"
)

// backOff lets this node wait after a conflict before its next append.
func (o *Ownership) backOff(now time.Time) {
	s := &o.state
	s.conflicts++
	wait := claimpace.Backoff(o.unownedCells(), s.conflicts)
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
