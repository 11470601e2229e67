// Package quota keeps what each customer has running under its cap, over cells that share no
// state. It is pure.
//
// One allotter deals each cap to the cells as allowances, and a cell starts nothing beyond its
// own. What an allowance may be is written down before it is raised, and an allowance is lowered
// and confirmed at one cell before it is raised at another: so the sum of what cells may have
// running is at most the cap at any moment, whoever of them is cut off, slow, or replaced.
package quota

import (
	"fmt"
	"math"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// Kinds of room that a cap bounds.
const (
	cpu = iota
	memory
	gpu
	kinds
)

// amounts is room by its kind.
type amounts [kinds]int

// unknown stands for what a cell may have running of which nobody has kept count.
const unknown = math.MaxInt / 1024

func amountsOf(r damsonwinch.Resources) amounts {
	return amounts{cpu: r.MilliCPU, memory: r.MemoryMB, gpu: r.GPUs}
}

func fromWire(a wire.Amount) amounts {
	return amounts{cpu: a.Cpu, memory: a.MemoryMb, gpu: a.Gpu}
}

func (a amounts) wire() wire.Amount {
	return wire.Amount{Cpu: a[cpu], MemoryMb: a[memory], Gpu: a[gpu]}
}

func (a amounts) plus(b amounts) amounts {
	for kind := range a {
		a[kind] += b[kind]
	}
	return a
}

func (a amounts) minus(b amounts) amounts {
	for kind := range a {
		a[kind] -= b[kind]
	}
	return a
}

// unlimited says that a cap bounds nothing.
func (a amounts) unlimited() bool {
	return a == amounts{}
}

// fellFrom says whether a cap is lower than another one in some kind; 0 is no limit.
func (a amounts) fellFrom(before amounts) bool {
	for kind := range a {
		if a[kind] > 0 && (before[kind] == 0 || a[kind] < before[kind]) {
			return true
		}
	}
	return false
}

// String returns the amounts as logs show them.
func (a amounts) String() string {
	if a[gpu] > 0 {
		return fmt.Sprintf("%d cores %d MB %d GPUs", a[cpu]/1000, a[memory], a[gpu])
	}
	return fmt.Sprintf("%d cores %d MB", a[cpu]/1000, a[memory])
}
