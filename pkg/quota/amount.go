// Package quota keeps what each customer has running below the customer's cap, over cells that
// share no state. It does no I/O and reads no clock.
//
// One allocator divides each cap among the cells as allowances, and a cell starts nothing beyond
// its own. An allowance is recorded before it is raised, and it is lowered and confirmed at one
// cell before another one's is raised. So the sum of what the cells may have running is at most the
// cap at any moment, even if an owner of a cell or the allocator is cut off, slow or replaced.
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

func amountsOf(r damsonwinch.Resources) amounts {
	return amounts{cpu: r.MilliCPU, memory: r.MemoryMB, gpu: r.GPUs}
}

func fromWire(amount wire.Amount) amounts {
	return amounts{cpu: amount.Cpu, memory: amount.MemoryMb, gpu: amount.Gpu}
}

func (a amounts) wire() wire.Amount {
	return wire.Amount{Cpu: a[cpu], MemoryMb: a[memory], Gpu: a[gpu]}
}

func (a amounts) plus(other amounts) amounts {
	for kind := range a {
		a[kind] += other[kind]
	}
	return a
}

func (a amounts) minus(other amounts) amounts {
	for kind := range a {
		a[kind] -= other[kind]
	}
	return a
}

// isUnlimited reports whether a cap bounds no kind of resource.
func (a amounts) isUnlimited() bool {
	return a == amounts{}
}

// isLowerThan reports whether a cap is lower than another one in some kind of resource; 0 is no
// limit.
func (a amounts) isLowerThan(other amounts) bool {
	for kind := range a {
		if a[kind] > 0 && (other[kind] == 0 || a[kind] < other[kind]) {
			return true
		}
	}
	return false
}

// String returns the amounts as logs show them, in whole cores.
func (a amounts) String() string {
	if a[gpu] > 0 {
		return fmt.Sprintf("%d cores %d MB %d GPUs", a[cpu]/1000, a[memory], a[gpu])
	}
	return fmt.Sprintf("%d cores %d MB", a[cpu]/1000, a[memory])
}
