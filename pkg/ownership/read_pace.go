package ownership

import (
	"sync/atomic"
	"time"
)

// While many cells change their owners, a node reads each claim by itself for claimReadBurst reads in a row,
// and then all new ones claimReadsPerSec times a second, so that its reads don't grow with the number of
// cells. A change of a few owners is known everywhere at once.
const (
	claimReadBurst     = 8
	claimReadsPerSec   = 5
	claimReadsConflict = 2 * time.Second // How long after a conflict a node reads each claim by itself.
)

// readPace spaces the reads of the claims. Only conflictedAt may be used by several goroutines.
type readPace struct {
	// allowance is the number of reads that may follow without a pause, as of updatedAt. It doesn't fall
	// below -1: reads without a pause while the node waits to claim a cell are not made up for.
	allowance float64
	updatedAt time.Time
	// conflictedAt is when an append of this node last conflicted with another node's, in Unix
	// nanoseconds. The node can't claim its cell before it has read the newest claim.
	conflictedAt atomic.Int64
}

// pause counts a read and returns the time until the next one.
func (p *readPace) pause(now time.Time) time.Duration {
	if p.updatedAt.IsZero() {
		p.allowance = claimReadBurst
	}
	p.allowance = max(min(claimReadBurst, p.allowance+claimReadsPerSec*now.Sub(p.updatedAt).Seconds())-1, -1)
	p.updatedAt = now
	if p.allowance >= 0 || now.Sub(time.Unix(0, p.conflictedAt.Load())) < claimReadsConflict {
		return 0
	}
	return time.Duration(-p.allowance / claimReadsPerSec * float64(time.Second))
}
