package fold

import (
	"slices"
	"time"

	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/wire"
)

// mayDrain checks a drain against the budgets of the box's pool: after it, with
// the worst single rack lost on top, every service still has its floor and its
// spare, and no more boxes are down than allowed.
func (s State) mayDrain(box Box, target string, maintain bool, at int) error {
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
	if err := s.mayMoveNow(box, target, maintain, at); err != nil {
		return err
	}
	return s.budgetWithout(box)
}

// mayMoveNow checks the table's freezes and maintenance windows.
func (s State) mayMoveNow(box Box, target string, maintain bool, at int) error {
	if target != box.Pool {
		for _, pool := range []string{box.Pool, target} {
			if service := s.FrozenService(pool, at); service != "" {
				return refuse("pool %s sees no moves now: service %s is in a freeze", pool, service)
			}
		}
	}
	if maintain && !s.InMaintenanceWindow(box.Pool, at) {
		return refuse("pool %s is not in its maintenance window", box.Pool)
	}
	return nil
}

// budgetWithout checks a pool's budget after the loss of one of its boxes.
func (s State) budgetWithout(box Box) error {
	if !box.Usable() {
		// It gives its services nothing now, so that draining it takes nothing.
		return nil
	}
	pool := s.Pool(box.Pool)
	limit := s.table.MaxDown(box.Pool)
	if limit > 0 && pool.Down+1 > limit {
		return refuse("pool %s would have %d boxes down, its limit is %d", box.Pool, pool.Down+1, limit)
	}
	needed := s.table.NeededSlots(box.Pool)
	slots, worst := pool.Slots-box.Info.Slots, pool.worstWithout(box)
	if slots-worst < needed {
		return refuse("pool %s would keep %d slots with its worst rack lost, its services need %d", box.Pool, slots-worst, needed)
	}
	return nil
}

// Headroom returns the slots that a pool has above its services' floors and
// spare with its worst rack lost. It is negative when the budget is broken.
func (s State) Headroom(pool string) int {
	summary := s.Pool(pool)
	return summary.Slots - summary.MaxRackSlots() - s.table.NeededSlots(pool)
}

// FrozenService returns a service of the pool that is in a freeze at the log's time,
// in milliseconds since 1970, or "".
func (s State) FrozenService(pool string, at int) string {
	day := time.UnixMilli(int64(at)).UTC().Day()
	for _, service := range s.table.ServicesInPool(pool) {
		row, _ := s.table.Row(service)
		for _, freeze := range row.Freeze {
			if inSpan(day, freeze.FirstDay, freeze.LastDay) {
				return service
			}
		}
	}
	return ""
}

// InMaintenanceWindow says whether all services of the pool allow maintenance at the
// log's time, in milliseconds since 1970.
func (s State) InMaintenanceWindow(pool string, at int) bool {
	clock := time.UnixMilli(int64(at)).UTC().Format("15:04")
	for _, service := range s.table.ServicesInPool(pool) {
		row, _ := s.table.Row(service)
		if len(row.Windows) > 0 && !slices.ContainsFunc(row.Windows, func(w settings.Window) bool { return inWindow(clock, w) }) {
			return false
		}
	}
	return true
}

func inSpan(day, first, last int) bool {
	if first <= last {
		return first <= day && day <= last
	}
	return day >= first || day <= last
}

// inWindow compares times of day as text, which order alike.
func inWindow(clock string, window settings.Window) bool {
	if window.From <= window.To {
		return window.From <= clock && clock < window.To
	}
	return clock >= window.From || clock < window.To
}

// WithDrain returns the state as it would be after a drain, for plans.
func (s State) WithDrain(name, target string, maintain bool) (State, error) {
	box, known := s.Box(name)
	if !known {
		return s, refuse("box %s is not enrolled", name)
	}
	change := wire.BoxChange{Box: name, Epoch: box.Epoch, Pool: target, Maintain: maintain}
	next, _, err := s.drain(box, change, step{offset: s.offset, at: s.at})
	return next, err
}
