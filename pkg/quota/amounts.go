// Package quota keeps what each customer has running below the customer's cap, over cells that
// share no state. It does no I/O and reads no clock.
//
// One allocator divides each cap among the cells as allowances, and a cell starts nothing beyond
// its own. The allocator records a higher allowance before it sends it to a cell. What it takes from
// one cell it gives to others only once the cell has confirmed the lower allowance. So the sum of
// what the cells may have running is at most the cap at any moment, even if an owner of a cell or
// the allocator is cut off, slow or replaced.
package quota

import (
	"fmt"
	"math"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// Kinds of resource that a cap bounds, and their number.
const (
	cpu = iota
	memory
	gpu
	kinds
)

// amounts holds an amount of each kind of resource: thousandths of a core, mebibytes and GPUs.
type amounts [kinds]int

// unknown is the limit of a cell if nobody has tracked what it may have running. It is far below
// math.MaxInt, so that sums with it don't overflow.
const unknown = math.MaxInt / 1024

// amountsOf converts the resources of a task or a cap.
func amountsOf(r damsonwinch.Resources) amounts {
	return amounts{cpu: r.MilliCPU, memory: r.MemoryMB, gpu: r.GPUs}
}

// fromWire converts an amount of a message or a record.
func fromWire(amount wire.Amount) amounts {
	return amounts{cpu: amount.Cpu, memory: amount.MemoryMb, gpu: amount.Gpu}
}

// wire converts the amounts for a message or a record.
func (a amounts) wire() wire.Amount {
	return wire.Amount{Cpu: a[cpu], MemoryMb: a[memory], Gpu: a[gpu]}
}

// plus returns the sums of both amounts, kind by kind.
func (a amounts) plus(other amounts) amounts {
	for kind := range a {
		a[kind] += other[kind]
	}
	return a
}

// minus returns the differences of both amounts, kind by kind. They may be negative.
func (a amounts) minus(other amounts) amounts {
	for kind := range a {
		a[kind] -= other[kind]
	}
	return a
}

// isUnlimited reports whether these amounts, taken as a cap, bound no kind of resource.
func (a amounts) isUnlimited() bool {
	return a == amounts{}
}

// isLowerThan reports whether these amounts, taken as a cap, are lower than another cap in at least
// one kind of resource. An amount of 0 is no limit.
func (a amounts) isLowerThan(other amounts) bool {
	for kind := range a {
		if a[kind] > 0 && (other[kind] == 0 || a[kind] < other[kind]) {
			return true
		}
	}
	return false
}

// String returns the amounts as logs show them: whole cores, mebibytes, and GPUs if there are any.
func (a amounts) String() string {
	if a[gpu] > 0 {
		return fmt.Sprintf("%d cores %d MB %d GPUs", a[cpu]/1000, a[memory], a[gpu])
	}
	return fmt.Sprintf("%d cores %d MB", a[cpu]/1000, a[memory])
}
