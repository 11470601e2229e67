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

// learnedPrefix starts the keys of records of what was learned of queues.
const learnedPrefix = "learned/"

// learnedEvery is the time between two records of what was learned: it is worth
// little beyond a new owner's first seconds.
const learnedEvery = 3 * time.Second

// learnedRecords returns what was learned of all queues, when it is time.
func (c *Cell) learnedRecords() []damsonwinch.Record {
	if !c.queueStatsDirty || c.now.Sub(c.queueStatsRecordedAt) < learnedEvery {
		return nil
	}
	c.queueStatsDirty, c.queueStatsRecordedAt = false, c.now
	var records []damsonwinch.Record
	for _, queue := range slices.Sorted(maps.Keys(c.statsByQueue)) {
		known := c.statsByQueue[queue]
		records = append(records, damsonwinch.Record{Key: learnedPrefix + queue, Value: encode(wire.QueueRecord{
			Queue: queue, Actual: known.times.actual.record(), Error: known.times.error.record(), MeanMs: known.times.mean,
			Jobs: known.jobs, Work: known.work.record(), SlackMs: known.slack, ChainMs: known.chain,
		})})
	}
	return records
}

func (c *Cell) loadLearned(record damsonwinch.Record) error {
	var saved wire.QueueRecord
	if err := json.Unmarshal(record.Value, &saved); err != nil {
		return fmt.Errorf("read record of queue %s: %w", strings.TrimPrefix(record.Key, learnedPrefix), err)
	}
	known := c.statsOf(saved.Queue)
	known.times = runTimes{actual: spreadFrom(saved.Actual), error: spreadFrom(saved.Error), mean: saved.MeanMs}
	known.jobs, known.work = saved.Jobs, spreadFrom(saved.Work)
	known.slack, known.chain = saved.SlackMs, saved.ChainMs
	return nil
}

func (s spreadOf) record() wire.Spread {
	return wire.Spread{Count: s.count, Mean: s.mean, Variance: s.variance}
}

func spreadFrom(record wire.Spread) spreadOf {
	return spreadOf{count: record.Count, mean: record.Mean, variance: record.Variance}
}
