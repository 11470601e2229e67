package fleetstate

import (
	"slices"
	"time"

	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/wire"
)

// checkDrain returns an error if a box may not be drained. The budget of its pool
// must hold without the box. No more boxes may be down than the table allows, and
// every service must have its floor and its spare slots even if the rack with the
// most slots failed as well. Boxes in the free pool have no budget.
func (s State) checkDrain(box Box, target string, maintain bool, logTimeMs int) error {
	if box.Phase != Serving {
		return refuse("box %s is %s already", box.Info.Name, box.Phase)
	}
	if target == box.Pool && !maintain {
		return refuse("box %s is in pool %s already", box.Info.Name, target)
	}
	if target != FreePool && !slices.Contains(s.table.Deployment().Pools, target) {
		return refuse("pool %s is not in the table", target)
	}
	if box.Pool == FreePool {
		return nil
	}
	if err := s.checkFreezeAndWindow(box, target, maintain, logTimeMs); err != nil {
		return err
	}
	return s.checkBudgetWithout(box)
}

// checkFreezeAndWindow refuses a move while a service of the old or the new pool
// is in a freeze, and a maintenance outside the pool's maintenance windows.
func (s State) checkFreezeAndWindow(box Box, target string, maintain bool, logTimeMs int) error {
	if target != box.Pool {
		for _, pool := range []string{box.Pool, target} {
			if service := s.FrozenService(pool, logTimeMs); service != "" {
				return refuse("pool %s allows no moves now: service %s is in a freeze", pool, service)
			}
		}
	}
	if maintain && !s.InMaintenanceWindow(box.Pool, logTimeMs) {
		return refuse("pool %s is not in its maintenance window", box.Pool)
	}
	return nil
}

// checkBudgetWithout returns an error if the budget of the box's pool would not
// hold without the box.
func (s State) checkBudgetWithout(box Box) error {
	if !box.Usable() {
		// The pool's services can't use the box now, so they lose nothing by its drain.
		return nil
	}
	pool := s.Pool(box.Pool)
	maxDown := s.table.MaxDown(box.Pool)
	if maxDown > 0 && pool.Down+1 > maxDown {
		return refuse("pool %s would have %d boxes down, its limit is %d", box.Pool, pool.Down+1, maxDown)
	}
	needed := s.table.NeededSlots(box.Pool)
	slots, rackSlots := pool.Slots-box.Info.Slots, pool.maxRackSlotsWithout(box)
	if slots-rackSlots < needed {
		return refuse("pool %s would keep %d slots with its worst rack lost, its services need %d", box.Pool, slots-rackSlots, needed)
	}
	return nil
}

// Headroom returns how many slots a pool would have beyond its services' floors and
// spare slots if its rack with the most slots failed. It is negative if that
// failure would leave the services too few slots.
func (s State) Headroom(pool string) int {
	summary := s.Pool(pool)
	return summary.Slots - summary.MaxRackSlots() - s.table.NeededSlots(pool)
}

// FrozenService returns a service of the pool that is in a freeze at a log time,
// in milliseconds since 1970, or "" if there is none.
func (s State) FrozenService(pool string, logTimeMs int) string {
	day := time.UnixMilli(int64(logTimeMs)).UTC().Day()
	for _, service := range s.table.ServicesInPool(pool) {
		row, _ := s.table.Row(service)
		for _, freeze := range row.Freeze {
			if inDayRange(day, freeze.FirstDay, freeze.LastDay) {
				return service
			}
		}
	}
	return ""
}

// InMaintenanceWindow reports whether all services of the pool allow maintenance at
// a log time, in milliseconds since 1970. A service without windows always does.
func (s State) InMaintenanceWindow(pool string, logTimeMs int) bool {
	timeOfDay := time.UnixMilli(int64(logTimeMs)).UTC().Format("15:04")
	for _, service := range s.table.ServicesInPool(pool) {
		row, _ := s.table.Row(service)
		if len(row.Windows) > 0 && !slices.ContainsFunc(row.Windows, func(w settings.Window) bool { return inTimeRange(timeOfDay, w) }) {
			return false
		}
	}
	return true
}

// inDayRange reports whether a day of the month is in a range that includes both of
// its ends. A range whose last day is before its first runs on into the next
// month.
func inDayRange(day, first, last int) bool {
	if first <= last {
		return first <= day && day <= last
	}
	return day >= first || day <= last
}

// inTimeRange reports whether a time of day is in a window, which may run past
// midnight. It compares the times as text: texts such as "15:04" sort in order of
// time.
func inTimeRange(timeOfDay string, window settings.Window) bool {
	if window.From <= window.To {
		return window.From <= timeOfDay && timeOfDay < window.To
	}
	return timeOfDay >= window.From || timeOfDay < window.To
}

// WithDrain returns the state that would result if a drain of a box were the next
// proposal to be applied, or the error with which the drain would be refused. The
// planner tries out drains with it.
func (s State) WithDrain(name, target string, maintain bool) (State, error) {
	box, known := s.Box(name)
	if !known {
		return s, refuse("box %s is not enrolled", name)
	}
	change := wire.BoxChange{Box: name, Epoch: box.Epoch, Pool: target, Maintain: maintain}
	next, _, err := s.applyDrain(box, change, origin{offset: s.offset, logTimeMs: s.logTimeMs})
	return next, err
}
