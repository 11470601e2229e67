// Package claimpace spaces the calls with which nodes claim cells while many cells change their owners
// at once: a node's reads of the stream of claims, and its appends after one has conflicted with another
// node's. Without it the calls of a fleet grow with the square of its nodes. It does no I/O and reads no
// clock.
package claimpace

import (
	"math/rand/v2"
	"time"
)

// claimSlot is the mean time between the appends of nodes that claim cells at the same moment. The store
// carries out claims one after the other, some milliseconds each, and the next node must have read the claim
// before its own can succeed. No node waits longer than maxBackoff.
const (
	claimSlot  = 20 * time.Millisecond
	maxBackoff = time.Second
)

// Backoff returns how long a node waits after a conflict: a random time that grows with the number of cells
// without an owner and with the conflicts in a row. If all nodes that claim such cells tried again as soon
// as they had read the newest record, all but one would conflict again: the appends would grow with the
// square of the number of nodes.
func Backoff(unownedCells, conflicts int) time.Duration {
	return rand.N(min(claimSlot*time.Duration((1+unownedCells)*conflicts), maxBackoff))
}
