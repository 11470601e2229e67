package quota

import "math"

// CPUBudget tracks how much more CPU customers may use, while a report adds up the waiting tasks.
// Tasks that may not start must not cause requests for boxes.
type CPUBudget struct {
	allowances *Allowances
	// left holds, by customer, the CPU that is left, in thousandths of a core. Customers are added
	// when they are first asked for.
	left map[string]int
}

// NewCPUBudget returns the budget of all customers under their allowances.
func NewCPUBudget(allowances *Allowances) CPUBudget {
	return CPUBudget{allowances: allowances, left: map[string]int{}}
}

// Take deducts CPU from what a customer may still use, and returns how much of it was left. Both
// amounts are in thousandths of a core.
func (b CPUBudget) Take(customer string, wantedCPU int) int {
	if customer == "" {
		return wantedCPU
	}
	if _, known := b.left[customer]; !known {
		b.left[customer] = b.allowances.RemainingCPU(customer, math.MaxInt)
	}
	taken := min(wantedCPU, b.left[customer])
	b.left[customer] -= taken
	return taken
}
