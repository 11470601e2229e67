package boxplan_test

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/boxplan"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

const (
	simStep         = 10 * time.Millisecond
	simPlanInterval = 100 * time.Millisecond
	simListInterval = 400 * time.Millisecond
	simCallTimeout  = 800 * time.Millisecond
	// simTakeover is how long no planner plans after one has been lost.
	simTakeover = time.Second
)

// simEvent is something that happens at a time.
type simEvent struct {
	at time.Time
	do func()
}

// simWorld is a simulated fleet: a platform, the owners of the cells, and a planner with its stream.
type simWorld struct {
	random     *rand.Rand
	start, now time.Time
	events     []simEvent
	pools      []damsonwinch.Pool
	layout     shard.Layout
	platform   *simPlatform
	cells      map[string]*simCell
	cellNames  []string
	planner    *boxplan.Planner
	// generation counts the planners; planning says that one is at work.
	generation int
	planning   bool
	// records and waveRecord are what planners have recorded.
	records    map[string]wire.OrderRecord
	waveRecord wire.WaveRecord
	// plannedAt, listRequestedAt, listInFlight, listReceived and syncInFlight are the state of the present planner's calls.
	plannedAt, listRequestedAt time.Time
	listInFlight, listReceived bool
	syncInFlight               map[string]bool
	faults                     simFaults
	rules                      simRules
	log                        []string
}

// logf adds a line to the log.
func (w *simWorld) logf(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%7.2f ", w.now.Sub(w.start).Seconds())+fmt.Sprintf(format, args...))
}

// between returns a random duration between two bounds.
func (w *simWorld) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)+1))
}

// after has do called after a time.
func (w *simWorld) after(delay time.Duration, do func()) {
	w.events = append(w.events, simEvent{at: w.now.Add(delay), do: do})
}

// afterUnlessLost has do called after a time unless the present planner has been lost by then.
func (w *simWorld) afterUnlessLost(delay time.Duration, do func()) {
	generation := w.generation
	w.after(delay, func() {
		if w.planning && w.generation == generation {
			do()
		}
	})
}

// run lets time pass until the simulation ends or a rule is violated.
func (w *simWorld) run(duration time.Duration) {
	for w.now.Sub(w.start) < duration && w.rules.violation == "" {
		w.now = w.now.Add(simStep)
		w.handleEvents()
		w.faults.tick(w)
		w.platform.tick(w.now, simStep)
		w.updateEndpoints()
		for _, name := range w.cellNames {
			w.cells[name].tick(w.now, w.now.Sub(w.start), simStep)
			w.recordWithdrawals(w.cells[name])
		}
		if w.planning && w.now.Sub(w.plannedAt) >= simPlanInterval {
			w.plannedAt = w.now
			w.plan()
		}
		w.rules.check(w)
	}
}

// handleEvents handles the events that are due, in order of their times.
func (w *simWorld) handleEvents() {
	slices.SortStableFunc(w.events, func(a, b simEvent) int { return a.at.Compare(b.at) })
	for len(w.events) > 0 && !w.events[0].at.After(w.now) {
		event := w.events[0]
		w.events = w.events[1:]
		event.do()
	}
}

// recordWithdrawals has the withdrawals of a cell recorded soon.
func (w *simWorld) recordWithdrawals(c *simCell) {
	for _, e := range c.endpoints {
		if e.withdrawn && !e.recorded {
			w.after(w.between(10*time.Millisecond, 60*time.Millisecond), func() { e.recorded = e.withdrawn })
		}
	}
}

// updateEndpoints has the owners of the cells notice which lives have begun and ended.
func (w *simWorld) updateEndpoints() {
	up := map[damsonwinch.Life]bool{}
	known := map[damsonwinch.Life]bool{}
	for _, b := range w.platform.boxes {
		up[b.life()] = true
	}
	for _, name := range w.cellNames {
		for _, e := range w.cells[name].endpoints {
			known[e.life] = true
			if !up[e.life] && e.exitedAt.IsZero() {
				e.exitedAt = w.now
			}
		}
	}
	for _, b := range w.platform.boxes {
		life := b.life()
		if life.ID != "" && !known[life] && w.now.UnixMilli()-int64(b.startedUnixMs) >= simRegistration.Milliseconds() {
			c := w.cells[w.cellOf(b)]
			c.endpoints = append(c.endpoints, &simEndpoint{life: life, box: b.Name})
		}
	}
}

// simRegistration is how long after its start the owner of its cell uses an endpoint.
const simRegistration = 300 * time.Millisecond

// cellOf returns the name of the cell to which the life on a box belongs.
func (w *simWorld) cellOf(b *simBox) string {
	var placement *shard.Placement
	if record, recorded := w.records[b.Name]; recorded {
		placement = boxplan.PlacementFromRecord(record)
	}
	return shard.CellName(b.Pool, w.layout.LifeShard(b.Name, b.Pool, b.life(), placement))
}

// startPlanner has a new planner take over from the records.
func (w *simWorld) startPlanner() {
	w.generation++
	w.planning, w.listInFlight, w.listReceived, w.syncInFlight, w.listRequestedAt = true, false, false, map[string]bool{}, time.Time{}
	w.planner = boxplan.New(boxplan.Options{
		MoveTime: simMoveTime, MaintainTime: simMaintainTime, ScaleDownDelay: 1500 * time.Millisecond, TakeoverDelay: 3 * time.Second,
		PowerOffsPerSecond: int(w.platform.ordersPerSecond),
	})
	w.planner.SetPools(w.pools, w.layout)
	for _, box := range slices.Sorted(maps.Keys(w.records)) {
		w.planner.LoadOrder(w.records[box])
	}
	w.planner.LoadWave(w.now, w.waveRecord)
	if w.platform.wave.Number > 0 {
		w.planner.SetWave(w.now, w.platform.wave)
	}
}

// losePlanner ends the present planner. Another one takes over after simTakeover.
func (w *simWorld) losePlanner() {
	w.planning = false
	w.after(simTakeover, w.startPlanner)
}

// plan does what package planner does each planInterval.
func (w *simWorld) plan() {
	if !w.listInFlight && w.now.Sub(w.listRequestedAt) >= simListInterval {
		w.requestList()
	}
	if w.listReceived {
		for _, order := range w.planner.Plan(w.now) {
			w.recordOrder(order)
		}
	}
	w.syncAll()
}

// syncAll calls the owners of all cells to which no call is in progress.
func (w *simWorld) syncAll() {
	for _, name := range w.cellNames {
		if !w.syncInFlight[name] {
			w.sync(name)
		}
	}
}

// requestList requests the list of boxes, which is read in two pages.
func (w *simWorld) requestList() {
	requestedAt := w.now
	w.listInFlight, w.listRequestedAt = true, w.now
	w.planner.NoteBoxListRequest()
	if w.faults.chance(w, w.faults.lostLists) {
		w.afterUnlessLost(simCallTimeout, func() { w.listInFlight = false })
		return
	}
	var listed []damsonwinch.Box
	middle := len(w.platform.boxes) / 2
	first := w.between(5*time.Millisecond, 20*time.Millisecond) + w.faults.delay(w)
	second := first + w.between(5*time.Millisecond, 20*time.Millisecond) + w.faults.delay(w)
	w.after(first, func() { listed = w.platform.list(0, middle) })
	w.after(second, func() { listed = append(listed, w.platform.list(middle, len(w.platform.boxes))...) })
	w.afterUnlessLost(second+w.between(5*time.Millisecond, 20*time.Millisecond)+w.faults.delay(w), func() {
		w.listInFlight, w.listReceived = false, true
		w.planner.SetBoxes(requestedAt, listed)
	})
}

// recordOrder records an order and then sends it, if it may still be sent.
func (w *simWorld) recordOrder(order boxplan.Order) {
	record := order.Record(w.now)
	wave := w.planner.WaveRecord(w.platform.wave.Number)
	w.afterUnlessLost(w.between(10*time.Millisecond, 50*time.Millisecond), func() {
		w.records[order.Box] = record
		w.waveRecord = wave
		if !w.planner.HandleRecorded(order) {
			return
		}
		w.after(w.between(2*time.Millisecond, 20*time.Millisecond), func() { w.receiveOrder(order) })
	})
}

// receiveOrder has the platform receive an order and the planner its answer.
func (w *simWorld) receiveOrder(order boxplan.Order) {
	answer := func(delay time.Duration, err error) {
		w.afterUnlessLost(delay, func() {
			if w.planner.HandleOrderResult(w.now, order, err) {
				record := order.Record(w.now)
				record.Accepted = true
				w.records[order.Box] = record
			}
		})
	}
	switch {
	case w.faults.chance(w, w.faults.refusedOrders) || !w.platform.take():
		answer(w.between(2*time.Millisecond, 20*time.Millisecond), damsonwinch.ErrRefused)
	case w.faults.chance(w, w.faults.lateOrders):
		w.after(w.between(simMinLateOrder, simMaxLateOrder), func() {
			w.faults.last = w.now
			w.carryOut(order, true)
		})
		answer(simCallTimeout, errNoAnswer)
	case w.faults.chance(w, w.faults.lostOrders):
		if w.random.IntN(2) == 0 {
			w.carryOut(order, false)
		}
		answer(simCallTimeout, errNoAnswer)
	default:
		answer(w.between(2*time.Millisecond, 20*time.Millisecond), w.carryOut(order, false))
	}
}

// carryOut has the platform carry out an order, late or not.
func (w *simWorld) carryOut(order boxplan.Order, late bool) error {
	ended, err := w.platform.carryOut(w.now, order)
	w.logf("order on %s to %q wave %d late %t: %v (%s)", order.Box, order.Pool, order.Wave, late, err, order.Cause)
	if errors.Is(err, damsonwinch.ErrNotInWave) || late {
		return err
	}
	w.rules.checkEndedLife(w, order, ended)
	return err
}

// sync calls the owner of a cell.
func (w *simWorld) sync(name string) {
	c := w.cells[name]
	w.syncInFlight[name] = true
	directives := w.planner.Directives(name)
	if w.now.Before(c.unreachableUntil) || w.faults.chance(w, w.faults.lostSyncs) {
		w.afterUnlessLost(simCallTimeout, func() { w.syncInFlight[name] = false })
		return
	}
	arrival := w.between(2*time.Millisecond, 20*time.Millisecond)
	w.after(arrival, func() {
		c.apply(directives)
		report := c.report(w.now, w.now.Sub(w.start))
		w.afterUnlessLost(w.between(2*time.Millisecond, 20*time.Millisecond), func() {
			w.syncInFlight[name] = false
			w.planner.SetReport(w.now, name, report)
		})
	})
}
