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

// queueStatsPrefix starts the keys of records of what was learned of queues.
const queueStatsPrefix = "learned/"

// queueStatsInterval is the time between two records of what was learned: it is worth
// little beyond a new owner's first seconds.
const queueStatsInterval = 3 * time.Second

// queueStatsRecords returns what was learned of all queues, when it is time.
func (c *Cell) queueStatsRecords() []damsonwinch.Record {
	if !c.queueStatsDirty || c.now.Sub(c.queueStatsRecordedAt) < queueStatsInterval {
		return nil
	}
	c.queueStatsDirty, c.queueStatsRecordedAt = false, c.now
	var records []damsonwinch.Record
	for _, queue := range slices.Sorted(maps.Keys(c.statsByQueue)) {
		known := c.statsByQueue[queue]
		records = append(records, damsonwinch.Record{Key: queueStatsPrefix + queue, Value: encode(wire.QueueRecord{
			Queue: queue, Actual: known.times.logTime.toWire(), Error: known.times.logError.toWire(), MeanMs: known.times.meanMs,
			Jobs: known.jobCount, Work: known.logWork.toWire(), SlackMs: known.meanSlackMs, ChainMs: known.meanPathMs,
		})})
	}
	return records
}

func (c *Cell) loadQueueStats(record damsonwinch.Record) error {
	var saved wire.QueueRecord
	if err := json.Unmarshal(record.Value, &saved); err != nil {
		return fmt.Errorf("read record of queue %s: %w", strings.TrimPrefix(record.Key, queueStatsPrefix), err)
	}
	known := c.statsOf(saved.Queue)
	known.times = runTimes{logTime: runningStatsFromWire(saved.Actual), logError: runningStatsFromWire(saved.Error), meanMs: saved.MeanMs}
	known.jobCount, known.logWork = saved.Jobs, runningStatsFromWire(saved.Work)
	known.meanSlackMs, known.meanPathMs = saved.SlackMs, saved.ChainMs
	return nil
}

func (s runningStats) toWire() wire.Spread {
	return wire.Spread{Count: s.count, Mean: s.mean, Variance: s.variance}
}

func runningStatsFromWire(record wire.Spread) runningStats {
	return runningStats{count: record.Count, mean: record.Mean, variance: record.Variance}
}
