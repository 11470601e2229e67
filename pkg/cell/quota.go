package cell

import (
	"fmt"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/cellrecord"
	"damsonwinch/pkg/quota"
	"damsonwinch/pkg/wire"
)

// SetCustomers sets the customers of the configuration in force, which has the given version.
func (c *Cell) SetCustomers(now time.Time, version int, customers []damsonwinch.Customer) {
	c.beginEvent(now)
	defer c.finishEvent()
	c.quota.Configure(version, customers)
	c.shares.Configure(customers)
	c.placementDue = true
}

// quotaNeed returns what a task counts against its customer's cap. A filler task counts with the
// CPU that it asks for, although it reserves none: it runs, whatever else runs on its box.
func (p *phase) quotaNeed() damsonwinch.Resources {
	return damsonwinch.Resources{MilliCPU: p.spec.Cpu, MemoryMB: p.spec.MemoryMb, GPUs: p.spec.Gpu}
}

// withinQuota reports whether count tasks of a phase may start now under the customer's allowance.
// If not, it notes that the phase waits.
func (c *Cell) withinQuota(p *phase, count int) bool {
	allowed, waitingSince := c.quotaWaits.MayStart(c.now, p.job().customer, p.quotaNeed(), count, p.overQuotaSince)
	p.overQuotaSince = waitingSince
	return allowed
}

// stillAllowed reports whether a run that has not been requested yet may start under its customer's present allowance.
func (c *Cell) stillAllowed(r *run) bool {
	p, customer := r.task.phase, r.task.phase.job().customer
	c.quota.RemoveRun(customer, p.quotaNeed(), p.spec.Lasting)
	defer c.quota.AddRun(customer, p.quotaNeed(), p.spec.Lasting)
	return c.quota.Allows(customer, p.quotaNeed())
}

// waitsForAllowance reports whether the tasks of a phase wait for their customer's allowance. Placement doesn't
// look at a phase while others find no capacity, so a phase that has waited is compared with the present
// allowance.
func (c *Cell) waitsForAllowance(p *phase) bool {
	count := 1
	if p.spec.Gang {
		count = len(p.ready)
	}
	return !p.overQuotaSince.IsZero() && !c.quota.Allows(p.job().customer, p.quotaNeed().Times(count))
}

// applyAllowances applies the allowances in a call of the planner. If they must be recorded before
// they are confirmed to the planner, the next append records them.
func (c *Cell) applyAllowances(args wire.SyncArgs) {
	if c.quota.ApplyUpdate(c.token, args) {
		c.commits.allowancesDirty = true
	}
	if len(args.Allowances) > 0 {
		c.placementDue = true
	}
}

// AllowancesPending reports whether allowances from the planner have been applied but are not in
// the stream yet.
func (c *Cell) AllowancesPending() bool {
	return c.commits.allowancesDirty || c.commits.inFlight != nil && c.commits.inFlight.allowanceNumber > 0
}

// allowancesRecord returns the record of the allowances, and notes in sent which update of the
// planner it contains.
func (c *Cell) allowancesRecord(sent *sentCommit) damsonwinch.Record {
	record, number := c.quota.Record()
	sent.allocatorToken, sent.allowanceNumber = c.quota.AllocatorToken(), number
	return cellrecord.EncodeAllowances(record)
}

// loadAllowances restores the allowances from their record.
func (c *Cell) loadAllowances(record damsonwinch.Record) error {
	var saved wire.AllowancesRecord
	if err := cellrecord.Decode(record, &saved); err != nil {
		return err
	}
	c.quota.Load(saved)
	return nil
}

// reportCustomers adds to the report the customers that need more than their allowances.
func (c *Cell) reportCustomers(report *wire.SyncReply) {
	wanted := map[string]quota.Demand{}
	for _, p := range c.openPhases {
		customer := p.job().customer
		if customer == "" || len(p.ready) == 0 {
			continue
		}
		need := p.quotaNeed()
		if p.spec.Gang {
			wanted[customer] = wanted[customer].WithTasks(need.Times(len(p.ready)), 1)
			continue
		}
		wanted[customer] = wanted[customer].WithTasks(need, len(p.ready))
	}
	c.quota.Report(c.token, wanted, report)
}

// logQuotaWaits logs which customers have begun to wait for their allowances, and which no longer
// wait.
func (c *Cell) logQuotaWaits() {
	begun, ended := c.quotaWaits.Update(c.now)
	for _, customer := range begun {
		c.stats.QuotaWaits++
		c.logCustomer("customer waits for its allowance", customer, c.quota.Explain(customer))
	}
	for _, wait := range ended {
		c.logCustomer("customer goes on", wait.Customer, fmt.Sprintf("after %d ms", wait.Waited.Milliseconds()))
	}
}

// explainQuota says why a task waits for its customer's allowance.
func (c *Cell) explainQuota(t *task) string {
	return "customer " + t.phase.job().customer + " " + c.quota.Explain(t.phase.job().customer)
}
