package quota

import (
	"maps"
	"slices"
	"time"

	"damsonwinch"
)

// maxOvertakeTime is how long less urgent phases of the same customer may overtake a phase whose
// tasks need more than is left of the allowance. After that, the customer's other tasks wait for
// this phase: otherwise a large task would never fit into an allowance that is always fully used.
const maxOvertakeTime = 200 * time.Millisecond

// Waits tracks which customers have tasks in a cell that wait for their allowances.
type Waits struct {
	allowances *Allowances
	// over holds the customers with tasks that waited at the last placement. blocked holds those of
	// them that may start no other task before such a task.
	over    map[string]bool
	blocked map[string]bool
	// since holds, by customer, since when tasks have been waiting.
	since map[string]time.Time
}

// NewWaits returns the state in which no customer waits for the given allowances.
func NewWaits(allowances *Allowances) *Waits {
	return &Waits{allowances: allowances, over: map[string]bool{}, blocked: map[string]bool{}, since: map[string]time.Time{}}
}

// BeginPlacement forgets which customers waited at the last placement.
func (w *Waits) BeginPlacement() {
	clear(w.over)
	clear(w.blocked)
}

// MayStart reports whether count tasks of a phase, each of which needs the given resources, may start
// now under their customer's allowance. waitingSince is since when the phase has been waiting for the
// allowance, or zero; MayStart also returns its new value. If the phase has waited for
// maxOvertakeTime, the customer's other starts are blocked, if the tasks can ever fit into the
// allowance.
func (w *Waits) MayStart(now time.Time, customer string, need damsonwinch.Resources, count int, waitingSince time.Time) (bool, time.Time) {
	total := need.Times(count)
	switch {
	case customer == "":
		return true, waitingSince
	case w.blocked[customer]:
		return false, waitingSince
	case w.allowances.Allows(customer, total):
		return true, time.Time{}
	}
	w.over[customer] = true
	if waitingSince.IsZero() {
		waitingSince = now
	}
	w.blocked[customer] = now.Sub(waitingSince) >= maxOvertakeTime && w.allowances.CanEverFit(customer, total)
	return false, waitingSince
}

// HasWaited reports whether tasks of a customer waited at the last placement.
func (w *Waits) HasWaited(customer string) bool {
	return w.over[customer]
}

// WaitEnd says that a customer's tasks no longer wait, and how long they did.
type WaitEnd struct {
	Customer string
	Waited   time.Duration
}

// Update returns the customers, in sorted order, that have begun to wait since the last call, and
// those that no longer wait.
func (w *Waits) Update(now time.Time) (begun []string, ended []WaitEnd) {
	for _, customer := range slices.Sorted(maps.Keys(w.over)) {
		if w.since[customer].IsZero() {
			w.since[customer] = now
			begun = append(begun, customer)
		}
	}
	for _, customer := range slices.Sorted(maps.Keys(w.since)) {
		if !w.over[customer] {
			ended = append(ended, WaitEnd{Customer: customer, Waited: now.Sub(w.since[customer])})
			delete(w.since, customer)
		}
	}
	return begun, ended
}
