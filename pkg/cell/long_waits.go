package cell

import (
	"fmt"
	"time"
)

// longWait is how long a long-running task may wait for an endpoint until that is logged, and the
// time after which it is logged again. A task that can start anywhere waits for less than 0.1 s.
const longWait = 2 * time.Second

// logLongWaits logs which phases have long-running tasks that have been waiting for longWait, and why
// the one that waits longest can't start.
func (c *Cell) logLongWaits() {
	for _, p := range c.openPhases {
		if !p.spec.Lasting || c.now.Sub(p.waitLoggedAt) < longWait {
			continue
		}
		if t := p.longestWaiting(); t != nil && c.now.Sub(t.readySince) >= longWait {
			p.waitLoggedAt = c.now
			c.logWait(t)
		}
	}
}

// longestWaiting returns the ready task of the phase that became ready first, or nil if none is ready.
func (p *phase) longestWaiting() *task {
	var longest *task
	for _, t := range p.ready {
		if longest == nil || t.readySince.Before(longest.readySince) {
			longest = t
		}
	}
	return longest
}

// logWait logs how long a long-running task has been waiting, and why.
func (c *Cell) logWait(t *task) {
	need := t.phase.need()
	c.effects.LogLines = append(c.effects.LogLines, LogLine{
		Message: "long-running task waits", Job: t.phase.job().id, Task: t.id().String(),
		Reason: fmt.Sprintf("for %d ms, as one of %d; it needs %d thousandths of a core and %d MB: %s",
			c.now.Sub(t.readySince).Milliseconds(), len(t.phase.ready), need.MilliCPU, need.MemoryMB, c.explainWait(t)),
	})
}
