package claimpace

import (
	"sync/atomic"
	"time"
)

// While many cells change their owners, a node reads each claim by itself for ReadBurst reads in a row,
// and then all new ones ReadsPerSec times a second, so that its reads don't grow with the number of
// cells. A change of a few owners is known everywhere at once.
const (
	ReadBurst     = 8
	ReadsPerSec   = 5
	readsConflict = 2 * time.Second // How long after a conflict a node reads each claim by itself.
)

// Reads spaces the reads of the claims. One goroutine may call Pause and others NoteConflict.
type Reads struct {
	// allowance is the number of reads that may follow without a pause, as of updatedAt. It doesn't fall
	// below -1: reads without a pause while the node waits to claim a cell are not made up for.
	allowance float64
	updatedAt time.Time
	// conflictedAt is the time of the newest conflict in Unix nanoseconds.
	conflictedAt atomic.Int64
}

// NoteConflict records that an append of this node has conflicted with another node's. The node can't
// claim its cell before it has read the newest claim, so the reads have no pauses for a time.
func (r *Reads) NoteConflict(now time.Time) {
	r.conflictedAt.Store(now.UnixNano())
}

// Pause counts a read and returns the time until the next one.
func (r *Reads) Pause(now time.Time) time.Duration {
	if r.updatedAt.IsZero() {
		r.allowance = ReadBurst
	}
	r.allowance = max(min(ReadBurst, r.allowance+ReadsPerSec*now.Sub(r.updatedAt).Seconds())-1, -1)
	r.updatedAt = now
	if r.allowance >= 0 || now.Sub(time.Unix(0, r.conflictedAt.Load())) < readsConflict {
		return 0
	}
	return time.Duration(-r.allowance / ReadsPerSec * float64(time.Second))
}
