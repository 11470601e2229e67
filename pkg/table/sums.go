package table

// sums is what the services of one pool ask for together.
type sums struct {
	floor     int
	spare     int
	downLimit int
}

// sumPools adds up the rows of each pool, so that a check of one drain need not.
func (t *Table) sumPools() {
	t.sums = map[string]sums{}
	for _, row := range t.rows {
		sum := t.sums[row.Pool]
		sum.floor += row.Floor
		sum.spare += row.Spare
		if sum.downLimit == 0 || row.Down < sum.downLimit {
			sum.downLimit = row.Down
		}
		t.sums[row.Pool] = sum
	}
}

// NeededSlots returns the slots that a pool must keep at every moment: the floors
// and spare of its services.
func (t Table) NeededSlots(pool string) int {
	return t.sums[pool].floor + t.sums[pool].spare
}

// FloorSlots returns the slots that the services of a pool keep, without spare.
func (t Table) FloorSlots(pool string) int {
	return t.sums[pool].floor
}

// MaxDown returns how many boxes of a pool may be down at once: the least of
// its services' limits, or 0 if no service uses it.
func (t Table) MaxDown(pool string) int {
	return t.sums[pool].downLimit
}
