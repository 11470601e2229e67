package ownership

import (
	"sync/atomic"
	"time"
)

// Reads of the claims. While many cells change their owners, all nodes read each claim by itself as long as
// they have made fewer than claimReadBurst reads in a row; then several claims at once, so that the reads of
// a node don't grow with the number of cells. A change of a few owners is known everywhere at once.
const (
	claimReadBurst     = 8
	claimReadsPerSec   = 5
	claimReadsConflict = 2 * time.Second // How long after a conflict a node reads each claim by itself.
)

// readPace spaces the reads of the claims. Only conflictedAt may be used by several goroutines.
type readPace struct {
	// allowance is the number of reads that may follow without a pause, as of updatedAt.
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
	p.allowance = min(claimReadBurst, p.allowance+claimReadsPerSec*now.Sub(p.updatedAt).Seconds()) - 1
	p.updatedAt = now
	if p.allowance >= 0 || now.Sub(time.Unix(0, p.conflictedAt.Load())) < claimReadsConflict {
		return 0
	}
	return time.Duration(-p.allowance / claimReadsPerSec * float64(time.Second))
}
