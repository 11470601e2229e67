package cell

import (
	"fmt"
	"time"
)

// longWait is how long a long-running task, or a job of which nothing runs, may wait for an endpoint until
// that is logged, and the time after which it is logged again. A task that can start anywhere waits for less
// than 0.1 s.
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
			c.logWait("long-running task waits", t, len(p.ready), c.explainWait(t)+"; "+c.lastSync.describe(c.now))
		}
	}
}

// idleJobCheckInterval is the time between two looks for jobs of which nothing runs.
const idleJobCheckInterval = 500 * time.Millisecond

// logIdleJobs logs how many jobs have waited for longWait although none of their tasks runs, and why the
// one that waits longest can't go on. It does so each longWait at most, however many jobs wait.
func (c *Cell) logIdleJobs() {
	if c.now.Sub(c.idleJobsCheckedAt) < idleJobCheckInterval || c.now.Sub(c.idleJobLoggedAt) < longWait {
		return
	}
	c.idleJobsCheckedAt = c.now
	var longest *task
	count := 0
	for _, p := range c.openPhases {
		if p.spec.Lasting || p.job().runCount > 0 {
			continue
		}
		t := p.longestWaiting()
		if t == nil || c.now.Sub(t.readySince) < longWait {
			continue
		}
		count++
		if longest == nil || t.readySince.Before(longest.readySince) {
			longest = t
		}
	}
	if longest != nil {
		c.idleJobLoggedAt = c.now
		c.logWait("job waits, none of its tasks runs", longest, count, c.explainWait(longest))
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

// LongestLongRunningWait returns for how long the long-running task that waits longest has been ready to
// start, or 0 if none is.
func (c *Cell) LongestLongRunningWait(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, p := range c.openPhases {
		if !p.spec.Lasting {
			continue
		}
		if t := p.longestWaiting(); t != nil {
			longest = max(longest, now.Sub(t.readySince))
		}
	}
	return longest
}

// logWait logs how long a task has been waiting, and why. count is the number of those that wait like it.
func (c *Cell) logWait(message string, t *task, count int, reason string) {
	need := t.phase.need()
	c.effects.LogLines = append(c.effects.LogLines, LogLine{
		Message: message, Job: t.phase.job().id, Task: t.id().String(),
		Reason: fmt.Sprintf("for %d ms, as one of %d; it needs %d thousandths of a core and %d MB: %s",
			c.now.Sub(t.readySince).Milliseconds(), count, need.MilliCPU, need.MemoryMB, reason),
	})
}
