package cell_test

import (
	"fmt"
	"testing"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// Sizes and times of the simulation of tasks that leave evacuated zones.
const (
	leavingMilliCPU = 8000
	// leavingBound is how long after the evacuation of two zones no long-running task may be left there. Each
	// of them waits for short tasks of half a second to end, and is moved when the one before runs again. Runs in a
	// zone that is cut off end with their leases.
	leavingBound = 8 * time.Second
	leavingTasks = 4
)

// TestLongRunningTasksLeaveTwoZones guards against long-running tasks that stay in evacuated zones because short
// tasks, which arrive all the time, take each place that gets free in the third one; also while owners are killed,
// the store refuses calls, or the evacuated zones are cut off.
func TestLongRunningTasksLeaveTwoZones(t *testing.T) {
	faults := map[string]func(w *world){
		"no fault": func(*world) {},
		"owners are killed": func(w *world) {
			for range 2 {
				w.after(w.randomDuration(0, 2*time.Second), func() {
					w.owners[len(w.owners)-1].exit("killed")
					w.after(300*time.Millisecond, func() { w.addOwner() })
				})
			}
		},
		"the store refuses calls": func(w *world) {
			w.after(w.randomDuration(0, time.Second), func() {
				w.streamDown[0] = true
				w.after(2*time.Second, func() { delete(w.streamDown, 0) })
			})
		},
		"an evacuated zone is cut off": func(w *world) {
			w.after(w.randomDuration(0, time.Second), func() {
				for box := range w.boxCount {
					if name := fmt.Sprintf("box-%d", box); w.operator.zoneOf(name) == "north" {
						w.cut(w.owners[len(w.owners)-1].name, name)
					}
				}
			})
		},
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			for _, seed := range testSeeds(20) {
				w := simulateLeaving(seed, inject)
				if w.rules.violation != "" {
					t.Fatalf("seed %d: %s", seed, w.rules.violation)
				}
				if left, running := w.longRunningRunsOutside("east"), w.longRunningRunsOutside(""); left > 0 || running != leavingTasks {
					t.Fatalf("seed %d: %d long-running tasks are left in evacuated zones and %d run after %v", seed, left, running, leavingBound)
				}
			}
		})
	}
}

// simulateLeaving simulates the evacuation of two of three zones and a fault after that, until leavingBound.
func simulateLeaving(seed uint64, inject func(w *world)) *world {
	w := newWorld(seed, mutation{})
	w.boxCount, w.boxMilliCPU, w.promptPolls, w.resetsOnExit, w.faultsOn = evacuatedBoxes, leavingMilliCPU, true, true, false
	w.operator = &simOperator{world: w, evacuatedAt: map[string]time.Time{}}
	w.setUpWithoutFaults(0)
	long := damsonwinch.Resources{MilliCPU: 4000, MemoryMB: 500}
	w.after(200*time.Millisecond, func() {
		w.addClient("long", simSpec(wire.Phase{Count: leavingTasks, Cpu: long.MilliCPU, MemoryMb: long.MemoryMB, Lasting: true, AwayAtMost: 1, MostPerBox: 2}), taskBehaviour{need: long, duration: time.Hour, longRunning: true})
	})
	short := damsonwinch.Resources{MilliCPU: 1500, MemoryMB: 200}
	for number := range 300 {
		w.after(time.Second+time.Duration(number)*50*time.Millisecond, func() {
			w.addClient(fmt.Sprintf("short%d", number), simSpec(wire.Phase{Count: 2, Cpu: short.MilliCPU, MemoryMb: short.MemoryMB, EstimateMs: 500}), taskBehaviour{need: short, duration: 500 * time.Millisecond})
		})
	}
	w.run(w.now.Add(3 * time.Second))
	w.operator.evacuatedAt["north"], w.operator.evacuatedAt["south"] = w.now, w.now
	inject(w)
	w.run(w.now.Add(leavingBound))
	return w
}

// longRunningRunsOutside returns how many long-running tasks run outside a zone.
func (w *world) longRunningRunsOutside(zone string) int {
	count := 0
	for _, e := range w.endpoints {
		for run := range e.runs {
			if !e.exited && e.info.Zone != zone && w.behaviourOf(run.Task).longRunning {
				count++
			}
		}
	}
	return count
}
