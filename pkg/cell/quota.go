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

// allowancesKey is the key of the record of what the cell may have running by customer.
const allowancesKey = "allowances"

// SetCustomers takes the customers of the configuration in force.
func (c *Cell) SetCustomers(now time.Time, version int, customers []damsonwinch.Customer) {
	c.beginEvent(now)
	defer c.finishEvent()
	c.quota.Configure(version, customers)
	c.placementDue = true
}

// quotaNeed is what a task counts against its customer's cap. What fills counts with what it asks for:
// it runs, whatever else its box holds.
func (p *phase) quotaNeed() damsonwinch.Resources {
	return damsonwinch.Resources{MilliCPU: p.spec.Cpu, MemoryMB: p.spec.MemoryMb, GPUs: p.spec.Gpu}
}

// maxOvertakeTime is how long a phase lets less urgent ones of its customer pass while its own tasks need
// more than is left of the allowance. After that nothing of the customer's begins before them: in
// an allowance that is always full a large task would find no room.
const maxOvertakeTime = 200 * time.Millisecond

// withinQuota says whether so many tasks of a phase may begin now as far as its customer's
// allowance goes.
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

func scaleResources(need damsonwinch.Resources, count int) damsonwinch.Resources {
	return damsonwinch.Resources{MilliCPU: need.MilliCPU * count, MemoryMB: need.MemoryMB * count, GPUs: need.GPUs * count}
}

// applyAllowances takes the word of the planner on what the cell may have running.
func (c *Cell) applyAllowances(args wire.SyncArgs) {
	if c.quota.ApplyUpdate(c.token, args) {
		c.commits.allowancesDirty = true
	}
	if len(args.Allowances) > 0 {
		c.placementDue = true
	}
}

// AllowancesPending says whether the planner's word on allowances waits to be recorded.
func (c *Cell) AllowancesPending() bool {
	return c.commits.allowancesDirty || c.commits.inFlight != nil && c.commits.inFlight.allowanceNumber > 0
}

// allowancesRecord returns the record of the allowances, and notes under which number its commit
// confirms them.
func (c *Cell) allowancesRecord(sent *sentCommit) damsonwinch.Record {
	record, number := c.quota.Record()
	sent.allocatorToken, sent.allowanceNumber = c.quota.AllocatorToken(), number
	return damsonwinch.Record{Key: allowancesKey, Value: encode(record)}
}

func (c *Cell) loadAllowances(record damsonwinch.Record) error {
	var saved wire.AllowancesRecord
	if err := json.Unmarshal(record.Value, &saved); err != nil {
		return fmt.Errorf("read record of allowances: %w", err)
	}
	c.quota.Load(saved)
	return nil
}

// reportCustomers tells the planner which customers want more than they may have running.
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

// allowed are the cores that customers may still begin to use, while a report counts what waits:
// no boxes are to come for what may not start.
type allowedCPU struct {
	quota *quota.Allowances
	left  map[string]int
}

func (c *Cell) newAllowedCPU() allowedCPU {
	return allowedCPU{quota: c.quota, left: map[string]int{}}
}

// take returns how many of the cores that a phase's waiting tasks ask for they may have.
func (a allowedCPU) take(p *phase, cpu int) int {
	customer := p.job().customer
	if customer == "" {
		return cpu
	}
	if _, known := a.left[customer]; !known {
		a.left[customer] = a.quota.RemainingCPU(customer, math.MaxInt)
	}
	may := min(cpu, a.left[customer])
	a.left[customer] -= may
	return may
}

// logQuotaWaits tells which customers have come to wait for their allowances, and which don't any
// more.
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
