package cell

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// workloadPrefix is the prefix of the keys of the records with queue statistics.
const workloadPrefix = "learned/"

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
		records = append(records, damsonwinch.Record{Key: workloadPrefix + queue, Value: encode(c.workload[queue].Record(queue))})
	}
	return records
}

// loadWorkload restores the statistics of a queue from their record.
func (c *Cell) loadWorkload(record damsonwinch.Record) error {
	var saved wire.QueueRecord
	if err := json.Unmarshal(record.Value, &saved); err != nil {
		return fmt.Errorf("read record of queue %s: %w", strings.TrimPrefix(record.Key, workloadPrefix), err)
	}
	c.workload.Of(saved.Queue).Load(saved)
	return nil
}
