// Package callturn gives the cells of a node turns at a service that handles the node's calls one at a time. A call that
// waited at the service would grow old there, and could neither be dropped nor composed anew once its turn came. The package
// makes no calls.
package callturn

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

// Patience is how long an answer may take beyond the time that the service needs. It doubles with each call in a row that
// has not been answered in time: a service that takes longer than a limit would otherwise work on calls that have been given
// up, one after the other, and never answer one in time.
const (
	minPatience = 2 * time.Second
	maxPatience = 30 * time.Second
)

// Turns hands out the turns of one node. It is safe for concurrent use.
type Turns struct {
	turn *semaphore.Weighted
	// mutex guards patience.
	mutex    sync.Mutex
	patience time.Duration
}

// New returns turns that nobody has taken.
func New() *Turns {
	return &Turns{turn: semaphore.NewWeighted(1), patience: minPatience}
}

// Take waits for the turn, behind those who have asked for it before. Whoever has taken it must return it by Release. The
// error is that of ctx if it ends first.
func (t *Turns) Take(ctx context.Context) error {
	if err := t.turn.Acquire(ctx, 1); err != nil {
		return fmt.Errorf("wait for a turn: %w", err)
	}
	return nil
}

// Release returns the turn.
func (t *Turns) Release() {
	t.turn.Release(1)
}

// Timeout returns how long a call may take for which the service needs the given time.
func (t *Turns) Timeout(needed time.Duration) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return needed + t.patience
}

// Observe notes whether a call was answered within its timeout, be it with a refusal.
func (t *Turns) Observe(answered bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if answered {
		t.patience = minPatience
		return
	}
	t.patience = min(2*t.patience, maxPatience)
}
