package ownership

import (
	"time"

	"github.com/sirupsen/logrus"

	"damsonwinch/pkg/cellclaim"
	"damsonwinch/pkg/membership"
)

// handOverDelay is how long a far stronger node must have been a member before a cell is handed
// over to it. A takeover stops all starts of the cell's tasks for about 0.1 s, and a node that
// comes and goes must not cost two of them.
const handOverDelay = 3 * time.Second

// handOverNextCell releases a cell so that a far stronger node can claim it. This node may have
// claimed the cell while the stronger nodes were gone.
func (o *Ownership) handOverNextCell(now time.Time) {
	s := &o.state
	claim, best, found := o.findMisplaced()
	if !found {
		s.misplacedSince = time.Time{}
		return
	}
	if s.misplacedSince.IsZero() {
		s.misplacedSince = now
	}
	if now.Sub(s.misplacedSince) < handOverDelay {
		return
	}
	s.misplacedSince = time.Time{}
	o.deps.Logger.WithFields(logrus.Fields{
		"cell": claim.Cell, "to": best.Node, "their_weight": best.Weight, "our_weight": o.options.Self.Weight,
	}).Info("hand cell over to a stronger node")
	claim.Released = true
	o.startClaimAppend(claim.CellClaim)
}

// findMisplaced returns the claim of a cell that this node owns, and the far stronger member that should own
// the cell instead. It returns false if there is no such cell.
func (o *Ownership) findMisplaced() (cellclaim.Claim, membership.Member, bool) {
	s := &o.state
	for _, cell := range s.cells {
		claim := s.claims[cell]
		if !claim.HeldBy(o.options.Self) {
			continue
		}
		if best, found := o.ranking().FarStronger(cell, o.options.Self); found {
			return claim, best, true
		}
	}
	return cellclaim.Claim{}, membership.Member{}, false
}
