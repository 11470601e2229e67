package table

// poolTotals sums up the rows of the services of one pool.
type poolTotals struct {
	floorSlots int // Sum of the slots that the services must have at any time.
	spareSlots int // Sum of the slots that they must have in addition.
	maxDown    int // The smallest of the services' limits on boxes that are down.
}

// computeTotals sets the totals of each pool, so that they need not be summed up for
// each drain that is checked.
func (t *Table) computeTotals() {
	t.totals = map[string]poolTotals{}
	for _, row := range t.rows {
		sum := t.totals[row.Pool]
		sum.floorSlots += row.Floor
		sum.spareSlots += row.Spare
		if sum.maxDown == 0 || row.Down < sum.maxDown {
			sum.maxDown = row.Down
		}
		t.totals[row.Pool] = sum
	}
}

// NeededSlots returns how many slots a pool must have at any time: the sum of the
// floors and the spare slots of its services.
func (t Table) NeededSlots(pool string) int {
	return t.totals[pool].floorSlots + t.totals[pool].spareSlots
}

// FloorSlots returns the sum of the floors of a pool's services, without their spare
// slots.
func (t Table) FloorSlots(pool string) int {
	return t.totals[pool].floorSlots
}

// MaxDown returns how many boxes of a pool may be down at once: the smallest limit
// of its services, or 0 if the pool has no services.
func (t Table) MaxDown(pool string) int {
	return t.totals[pool].maxDown
}
