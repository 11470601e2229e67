package cell

import (
	"cmp"
	"slices"
	"time"

	jobs "damsonwinch/pkg/job"
	"damsonwinch/pkg/wire"
)

// classify decides whether a new job is within its customer's share. That is decided once, so that a
// job is not pushed back because of what its customer sends later. Long-running and repeated jobs do
// not count against a share, which is a rate of jobs.
func (c *Cell) classify(j *job) {
	if !c.shares.InEffect() || jobs.IsLongRunning(j.spec) || j.spec.Rounds > 0 {
		return
	}
	decision := c.shares.Arrive(c.now, j.customer)
	j.overShare, j.shareRank = decision.Over, decision.Rank
}

// chargeShare counts an accepted job that is over its customer's share.
func (c *Cell) chargeShare(j *job) {
	if j.overShare {
		c.shares.Accept(j.customer, j.shareRank, j.work)
		j.charged = true
		c.stats.JobsOverShare++
	}
}

// withdrawCharge takes back the charge of a job that has not begun, because it is late or has ended.
func (c *Cell) withdrawCharge(j *job) {
	if j.charged && !j.placed {
		j.charged = false
		c.shares.Withdraw(j.customer, j.work)
	}
}

// splitByShare separates the phases of jobs that are over their customers' shares from the others. It
// sorts them by rank, those that can still be in time and are not deferred first, late ones last.
func splitByShare(phases []*phase, nowMs int) (within, over []*phase) {
	within = make([]*phase, 0, len(phases))
	for _, p := range phases {
		if p.job().overShare {
			over = append(over, p)
		} else {
			within = append(within, p)
		}
	}
	urgency := func(p *phase) int {
		switch {
		case p.isLate(nowMs):
			return 2
		case p.deferred:
			return 1
		}
		return 0
	}
	slices.SortStableFunc(over, func(a, b *phase) int {
		return cmp.Or(cmp.Compare(urgency(a), urgency(b)), cmp.Compare(a.job().shareRank, b.job().shareRank))
	})
	return within, over
}

// noteSharesBegun tells the shares which jobs over their customers' shares have begun in time.
func (c *Cell) noteSharesBegun(over []*phase) {
	for _, p := range over {
		if p.job().placed && p.job().charged {
			c.shares.Begun(p.job().shareRank)
		}
	}
}

// applyArrivals applies the fleet-wide arrivals in a call of the planner. A planner that knows of no
// weight sends none.
func (c *Cell) applyArrivals(now time.Time, args wire.SyncArgs) {
	if args.Cells > 0 {
		c.shares.SetElsewhere(now, args.Cells, args.Arrivals)
	}
}

// logShares logs which customers have come over their shares, and which are within them again.
func (c *Cell) logShares() {
	for _, change := range c.shares.Changes(c.now) {
		message := "customer within its share"
		if change.Over {
			message = "customer over its share"
		}
		c.logCustomer(message, change.Customer, change.Reason)
	}
}

// explainShare describes a job that is over its customer's share, and the customer's present rate.
func (c *Cell) explainShare(j *job) []string {
	if !j.overShare {
		return nil
	}
	line := "when it was accepted, customer " + j.customer + " was over its share: it waits behind all jobs within their shares"
	if state, known := c.shares.State(c.now, j.customer); known {
		line += "; at present the customer is " + state.String()
	}
	return []string{line}
}
