package cell

import (
	"maps"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// CommitAge returns for how long the append on its way has not been done, 0 for none.
func (c *Cell) CommitAge(now time.Time) time.Duration {
	if c.commits.inFlight == nil {
		return 0
	}
	return now.Sub(c.commits.inFlight.sentAt)
}

// Snapshot returns the records by which another stream would hold the cell as it is now, so
// that the cell can go on there while the store turns its own stream's calls away. From then
// on Committed must not be called: what it would set off isn't in the snapshot.
//
// Jobs that were never given to the store are left out. They may be refused still, and what
// is refused must not run.
func (c *Cell) Snapshot() []damsonwinch.Record {
	var records []damsonwinch.Record
	for _, e := range c.sortedEndpoints {
		if e.withdrawn {
			records = append(records, e.withdrawalRecord(c.now))
		}
	}
	if c.quota.HasAny() {
		records = append(records, c.allowancesRecord(&sentCommit{}))
	}
	c.queueStatsRecordedAt = time.Time{}
	records = append(records, c.queueStatsRecords()...)
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if j := c.jobs[id]; c.mayBeStored(j) {
			// The text isn't in the new stream.
			j.specRecorded = false
			records = append(records, c.jobRecords(j)...)
		}
	}
	return records
}

// mayBeStored says whether the store may hold a job.
func (c *Cell) mayBeStored(j *job) bool {
	if j.recorded {
		return true
	}
	if c.commits.inFlight == nil {
		return false
	}
	_, sent := c.commits.inFlight.states[j]
	return sent
}

// withdrawalRecord returns the record of an endpoint that is withdrawn.
func (e *endpoint) withdrawalRecord(now time.Time) damsonwinch.Record {
	return damsonwinch.Record{Key: endpointKeyPrefix + e.info.Life.String(), Value: encode(wire.EndpointRecord{Withdrawn: true, AtMs: int(now.UnixMilli())})}
}
