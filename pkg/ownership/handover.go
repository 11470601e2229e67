package ownership

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// handOverAfter is how long a far stronger node must have been there before a cell
	// is handed over to it: a takeover costs some 0.1 s without starts, and a node that
	// comes and goes must not be paid for twice.
	handOverAfter = 3 * time.Second
	// farStronger is how many times as much room for a cell another node must have. A
	// cell at its busiest takes some 0.1 of a core; the users' weakest nodes have a
	// fortieth of the strongest ones' weight and stand still under one.
	farStronger = 4
)

// handOverOne gives up a cell in order that a far stronger node could own. It may have
// come to this one while the stronger were away.
func (o *Ownership) handOverOne(now time.Time) {
	s := &o.state
	claim, heir, found := o.misplaced()
	if !found {
		s.weakSince = time.Time{}
		return
	}
	if s.weakSince.IsZero() {
		s.weakSince = now
	}
	if now.Sub(s.weakSince) < handOverAfter {
		return
	}
	s.weakSince = time.Time{}
	o.deps.Logger.WithFields(logrus.Fields{
		"cell": claim.Cell, "to": heir.Node, "their_weight": heir.Weight, "our_weight": o.options.Self.Weight,
	}).Info("hand cell over to a stronger node")
	claim.Released = true
	o.makeClaim(claim.CellClaim)
}

// misplaced returns a cell of this node's for which a listed member has far more room.
func (o *Ownership) misplaced() (Claim, Member, bool) {
	s := &o.state
	if !slices.ContainsFunc(s.cells, func(cell string) bool { return s.claims[cell].HeldBy(o.options.Self) }) {
		return Claim{}, Member{}, false
	}
	living, live := o.livingMembers(), o.liveClaims()
	for _, cell := range s.cells {
		claim := s.claims[cell]
		if !claim.HeldBy(o.options.Self) {
			continue
		}
		best, found := heir(cell, living, live)
		if found && best.Node != o.options.Self.Node && burden(best, cell, live)*farStronger <= burden(o.options.Self, cell, live) {
			return claim, best, true
		}
	}
	return Claim{}, Member{}, false
}

// burden returns how much a member would have to carry for its weight with a cell.
func burden(m Member, cell string, claims map[string]Claim) float64 {
	count := 1
	for _, claim := range claims {
		if claim.Cell != cell && claim.HeldBy(m) {
			count++
		}
	}
	return float64(count) / float64(max(1, m.Weight))
}
