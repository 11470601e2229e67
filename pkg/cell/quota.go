package cell

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/quota"
	"damsonwinch/pkg/wire"
)

// allowancesKey is the key of the record with the customers' allowances in this cell.
const allowancesKey = "allowances"

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

// maxOvertakeTime is how long less urgent phases of the same customer may overtake a phase whose
// tasks need more than is left of the allowance. After that, the customer's other tasks wait for
// this phase: otherwise a large task would never fit into an allowance that is always fully used.
const maxOvertakeTime = 200 * time.Millisecond

// withinQuota reports whether count tasks of a phase may start now under the customer's allowance.
// If not, it notes that the customer waits. After maxOvertakeTime it also blocks the customer's
// other starts, if the tasks can ever fit into the allowance.
func (c *Cell) withinQuota(p *phase, count int) bool {
	customer := p.job().customer
	switch {
	case customer == "":
		return true
	case c.quotaBlocked[customer]:
		return false
	case c.quota.Allows(customer, scaleResources(p.quotaNeed(), count)):
		p.overQuotaSince = time.Time{}
		return true
	}
	c.overQuota[customer] = true
	if p.overQuotaSince.IsZero() {
		p.overQuotaSince = c.now
	}
	c.quotaBlocked[customer] = c.now.Sub(p.overQuotaSince) >= maxOvertakeTime && c.quota.CanEverFit(customer, scaleResources(p.quotaNeed(), count))
	return false
}

// scaleResources returns the resources that count tasks need together.
func scaleResources(need damsonwinch.Resources, count int) damsonwinch.Resources {
	return damsonwinch.Resources{MilliCPU: need.MilliCPU * count, MemoryMB: need.MemoryMB * count, GPUs: need.GPUs * count}
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
	return damsonwinch.Record{Key: allowancesKey, Value: encode(record)}
}

// loadAllowances restores the allowances from their record.
func (c *Cell) loadAllowances(record damsonwinch.Record) error {
	var saved wire.AllowancesRecord
	if err := json.Unmarshal(record.Value, &saved); err != nil {
		return fmt.Errorf("read record of allowances: %w", err)
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
			wanted[customer] = wanted[customer].WithTasks(scaleResources(need, len(p.ready)), 1)
			continue
		}
		wanted[customer] = wanted[customer].WithTasks(need, len(p.ready))
	}
	c.quota.Report(c.token, wanted, report)
}

// allowedCPU tracks how much more CPU customers may use, while a report adds up the waiting tasks.
// Tasks that may not start must not cause requests for boxes.
type allowedCPU struct {
	quota *quota.Allowances
	// left holds, by customer, the CPU that is left, in thousandths of a core. Customers are added
	// when they are first asked for.
	left map[string]int
}

func (c *Cell) newAllowedCPU() allowedCPU {
	return allowedCPU{quota: c.quota, left: map[string]int{}}
}

// take deducts the CPU that a phase's waiting tasks need from what their customer may still use,
// and returns how much of it was left. Both amounts are in thousandths of a core.
func (a allowedCPU) take(p *phase, cpu int) int {
	customer := p.job().customer
	if customer == "" {
		return cpu
	}
	if _, known := a.left[customer]; !known {
		a.left[customer] = a.quota.RemainingCPU(customer, math.MaxInt)
	}
	taken := min(cpu, a.left[customer])
	a.left[customer] -= taken
	return taken
}

// logQuotaWaits logs which customers have begun to wait for their allowances, and which no longer
// wait.
func (c *Cell) logQuotaWaits() {
	for _, customer := range slices.Sorted(maps.Keys(c.overQuota)) {
		if c.overQuotaSince[customer].IsZero() {
			c.overQuotaSince[customer] = c.now
			c.stats.QuotaWaits++
			c.logCustomer("customer waits for its allowance", customer, c.quota.Explain(customer))
		}
	}
	for _, customer := range slices.Sorted(maps.Keys(c.overQuotaSince)) {
		if !c.overQuota[customer] {
			c.logCustomer("customer goes on", customer, fmt.Sprintf("after %d ms", c.now.Sub(c.overQuotaSince[customer]).Milliseconds()))
			delete(c.overQuotaSince, customer)
		}
	}
}

// explainQuota says why a task waits for its customer's allowance.
func (c *Cell) explainQuota(t *task) string {
	return "customer " + t.phase.job().customer + " " + c.quota.Explain(t.phase.job().customer)
}
