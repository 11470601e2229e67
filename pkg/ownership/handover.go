package ownership

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"damsonwinch/pkg/cellclaim"
	"damsonwinch/pkg/membership"
	"damsonwinch/pkg/succession"
)

const (
	// handOverDelay is how long a far stronger node must have been a member before a cell is handed
	// over to it. A takeover stops all starts of the cell's tasks for about 0.1 s, and a node that
	// comes and goes must not cost two of them.
	handOverDelay = 3 * time.Second
	// minHandOverRatio is how many times as large this node's load per weight must be as another node's
	// for a cell to be handed over to that node. A cell takes up to about 0.1 of a core. The weakest
	// nodes that users run have a fortieth of the weight of the strongest, and make no progress once
	// they own a cell.
	minHandOverRatio = 4
)

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

// findMisplaced returns the claim of a cell that this node owns, and the member that should own the
// cell instead. This node's load per weight is then at least minHandOverRatio times the member's.
// findMisplaced returns false if there is no such cell.
func (o *Ownership) findMisplaced() (cellclaim.Claim, membership.Member, bool) {
	s := &o.state
	if !slices.ContainsFunc(s.cells, func(cell string) bool { return s.claims[cell].HeldBy(o.options.Self) }) {
		return cellclaim.Claim{}, membership.Member{}, false
	}
	ranking := o.ranking()
	for _, cell := range s.cells {
		claim := s.claims[cell]
		if !claim.HeldBy(o.options.Self) {
			continue
		}
		best, found := ranking.Successor(cell, succession.AnyMember)
		if found && best.Node != o.options.Self.Node && ranking.LoadPerWeight(best, cell)*minHandOverRatio <= ranking.LoadPerWeight(o.options.Self, cell) {
			return claim, best, true
		}
	}
	return cellclaim.Claim{}, membership.Member{}, false
}
