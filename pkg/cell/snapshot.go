package cell

import (
	"maps"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/cellrecord"
)

// CommitAge returns how long the append in flight has been waiting, or 0 if there is none.
func (c *Cell) CommitAge(now time.Time) time.Duration {
	if c.commits.inFlight == nil {
		return 0
	}
	return now.Sub(c.commits.inFlight.sentAt)
}

// Snapshot returns records that hold the present state of the cell, for another stream, so that the
// cell can continue there while the store refuses calls for its own stream. After that, Committed
// must not be called, because its effects are not in the snapshot.
//
// Jobs that were never sent to the store are left out. They may still be refused, and a refused job
// must not run.
func (c *Cell) Snapshot() []damsonwinch.Record {
	var records []damsonwinch.Record
	for _, e := range c.sortedEndpoints {
		if e.withdrawn {
			records = append(records, cellrecord.EncodeWithdrawal(e.info.Life, c.now))
		}
	}
	if c.quota.HasAny() {
		records = append(records, c.allowancesRecord(&sentCommit{}))
	}
	c.workloadRecordedAt = time.Time{}
	records = append(records, c.workloadRecords()...)
	records = append(records, c.encodeAddresses(c.addresses.book.Addresses())...)
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if j := c.jobs[id]; c.mayBeStored(j) {
			records = append(records, c.copyJob(j)...)
		}
	}
	return records
}

// copyJob returns the records that hold the present state of a job, for a stream that does not hold its specification yet.
// What the present stream holds remains noted, in case the move fails.
func (c *Cell) copyJob(j *job) []damsonwinch.Record {
	recorded := j.specRecorded
	j.specRecorded = false
	records := c.jobRecords(j)
	j.specRecorded = recorded
	return records
}

// mayBeStored reports whether the store may hold the job: an append with its record is in the
// stream or in flight.
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
