package cell

import (
	"fmt"
	"time"

	"damsonwinch"
)

// maxSweptLives limits how many lives are remembered after their endpoints have been removed: about 1 MB.
const maxSweptLives = 10_000

// resultGaps finds results that an endpoint has discarded before this owner has applied them. An endpoint numbers the
// results of a life from 1 without gaps and discards only what has been acknowledged.
type resultGaps struct {
	// endpointsSetAt is when this owner first had the list of endpoints.
	endpointsSetAt time.Time
	// sweptLives holds the lives whose results this owner has applied and whose endpoints it has removed since. A life
	// among them may be listed again. If there are more than maxSweptLives, overflowed is set.
	sweptLives map[damsonwinch.Life]bool
	overflowed bool
}

// addSwept notes that an endpoint is removed.
func (g *resultGaps) addSwept(e *endpoint) {
	if e.appliedSequence == 0 || g.overflowed {
		return
	}
	if len(g.sweptLives) == maxSweptLives {
		g.sweptLives, g.overflowed = nil, true
		return
	}
	if g.sweptLives == nil {
		g.sweptLives = map[damsonwinch.Life]bool{}
	}
	g.sweptLives[e.info.Life] = true
}

// isFirstOwner reports whether nobody can have acknowledged results of an endpoint before this owner knew it. Earlier owners
// acknowledge only what they have recorded, which they can't do once this one has loaded the cell. An endpoint that became
// known within RenewalGrace after that may have been registered before.
func (c *Cell) isFirstOwner(e *endpoint) bool {
	g := &c.resultGaps
	return e.knownSince.Sub(g.endpointsSetAt) > c.options.RenewalGrace && !g.overflowed && !g.sweptLives[e.info.Life]
}

// checkResultGaps logs and counts a gap in the numbers of the results that are new to this owner. results are sorted by their
// numbers. If the endpoint may have had an earlier owner, a gap before the first result that this owner applies is normal.
func (c *Cell) checkResultGaps(e *endpoint, results []damsonwinch.RunResult) {
	last, known, missing := e.appliedSequence, e.appliedSequence > 0 || c.isFirstOwner(e), 0
	for _, result := range results {
		if result.Sequence <= last {
			continue
		}
		if known {
			missing += result.Sequence - last - 1
		}
		last, known = result.Sequence, true
	}
	if missing == 0 {
		return
	}
	c.stats.ResultGaps++
	c.logEndpoint("results are missing", e, fmt.Sprintf("%d between number %d, the last one applied, and %d; %d are recorded",
		missing, e.appliedSequence, last, e.recordedSequence))
}
