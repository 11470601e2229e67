package cell

import (
	"maps"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/cellrecord"
	"damsonwinch/pkg/wire"
)

// workloadRecordInterval is the time between two records of the statistics. A new owner needs them only
// for its first seconds, so older values do little harm.
const workloadRecordInterval = 3 * time.Second

// workloadRecords returns records with the statistics of all queues and notes that they are
// recorded. It returns nil if the statistics have not changed or were recorded less than
// workloadRecordInterval ago.
func (c *Cell) workloadRecords() []damsonwinch.Record {
	if !c.workloadDirty || c.now.Sub(c.workloadRecordedAt) < workloadRecordInterval {
		return nil
	}
	c.workloadDirty, c.workloadRecordedAt = false, c.now
	var records []damsonwinch.Record
	for _, queue := range slices.Sorted(maps.Keys(c.workload)) {
		records = append(records, cellrecord.EncodeWorkload(queue, c.workload[queue].Record(queue)))
	}
	return records
}

// loadWorkload restores the statistics of a queue from their record.
func (c *Cell) loadWorkload(record damsonwinch.Record) error {
	var saved wire.QueueRecord
	if err := cellrecord.Decode(record, &saved); err != nil {
		return err
	}
	c.workload.Of(saved.Queue).Load(saved)
	return nil
}
