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

// queueStatsPrefix is the prefix of the keys of the records with queue statistics.
const queueStatsPrefix = "learned/"

// queueStatsInterval is the time between two records of the statistics. A new owner needs them only
// for its first seconds, so older values do little harm.
const queueStatsInterval = 3 * time.Second

// queueStatsRecords returns records with the statistics of all queues and notes that they are
// recorded. It returns nil if the statistics have not changed or were recorded less than
// queueStatsInterval ago.
func (c *Cell) queueStatsRecords() []damsonwinch.Record {
	if !c.queueStatsDirty || c.now.Sub(c.queueStatsRecordedAt) < queueStatsInterval {
		return nil
	}
	c.queueStatsDirty, c.queueStatsRecordedAt = false, c.now
	var records []damsonwinch.Record
	for _, queue := range slices.Sorted(maps.Keys(c.statsByQueue)) {
		stats := c.statsByQueue[queue]
		records = append(records, damsonwinch.Record{Key: queueStatsPrefix + queue, Value: encode(wire.QueueRecord{
			Queue: queue, Actual: stats.times.logTime.toWire(), Error: stats.times.logError.toWire(), MeanMs: stats.times.meanMs,
			Jobs: stats.jobCount, Work: stats.logWork.toWire(), SlackMs: stats.meanSlackMs, ChainMs: stats.meanPathMs,
		})})
	}
	return records
}

// loadQueueStats restores the statistics of a queue from their record.
func (c *Cell) loadQueueStats(record damsonwinch.Record) error {
	var saved wire.QueueRecord
	if err := json.Unmarshal(record.Value, &saved); err != nil {
		return fmt.Errorf("read record of queue %s: %w", strings.TrimPrefix(record.Key, queueStatsPrefix), err)
	}
	stats := c.statsOf(saved.Queue)
	stats.times = runTimes{logTime: runningStatsFromWire(saved.Actual), logError: runningStatsFromWire(saved.Error), meanMs: saved.MeanMs}
	stats.jobCount, stats.logWork = saved.Jobs, runningStatsFromWire(saved.Work)
	stats.meanSlackMs, stats.meanPathMs = saved.SlackMs, saved.ChainMs
	return nil
}

// toWire returns the statistics as records hold them.
func (s runningStats) toWire() wire.Spread {
	return wire.Spread{Count: s.count, Mean: s.mean, Variance: s.variance}
}

// runningStatsFromWire returns the statistics that toWire has written.
func runningStatsFromWire(record wire.Spread) runningStats {
	return runningStats{count: record.Count, mean: record.Mean, variance: record.Variance}
}
