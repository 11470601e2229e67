package capacity

import "math"

const (
	bytesAKilobyte = 1024
	usAMillisecond = 1000
	// perCent turns milliseconds a second into per cent of a core.
	perCent = 0.1
)

func stateRows(b book) []rule {
	return []rule{
		{Row: Row{Role: "keeper", Cause: "state of the fleet", Formula: "memory(boxes)", Unit: "MB", Limit: limitState, Mechanism: "persistent maps, pkg/fold/state.go"},
			value: func(d Demand) float64 { return b.at(slopeMemory, float64(d.Sizes.Boxes)) }},
		{Row: Row{Role: "entry", Cause: "state of the fleet, beside its queues", Formula: "memory(boxes)", Unit: "MB", Limit: limitState, Mechanism: "the same fold, pkg/follow/follow.go"},
			value: func(d Demand) float64 { return b.at(slopeMemory, float64(d.Sizes.Boxes)) }},
		{Row: Row{Role: "node", Cause: "keeper and entry together, with a snapshot in the making in each", Formula: "2 (memory + 3 snapshots)", Unit: "MB", Limit: limitMemory, Mechanism: "pkg/fold/snapshot.go"},
			value: func(d Demand) float64 {
				size := float64(d.Sizes.Boxes)
				return 2 * (b.at(slopeMemory, size) + 3*b.at(slopeSnapshot, size)/bytesAKilobyte)
			}},
		{Row: Row{Role: "log streams", Cause: "one snapshot record", Formula: "snapshot(boxes)", Unit: "KB", Mechanism: "one append in pkg/keeper/carry.go"},
			value: func(d Demand) float64 { return b.at(slopeSnapshot, float64(d.Sizes.Boxes)) },
			note:  "the platform names no largest record; if it has one, snapshots must be cut in parts: NOT BUILT"},
		{Row: Row{Role: "entry", Cause: "200 teams' quotas", Formula: "overshoot of a quota at most entries - 1", Unit: "requests", Mechanism: "shares by slots, pkg/limit/limit.go, pkg/front/admit.go"},
			value: func(d Demand) float64 { return float64(d.Sizes.Entries - 1) },
			note:  "worked out: each sender's share is at least 1"},
	}
}

// causeRow is the row of one cause of records, which every keeper reads.
func causeRow(cause, formula, mechanism string, records func(Demand) float64) rule {
	return rule{
		Row:   Row{Role: "keeper", Cause: cause, Formula: formula, Unit: "KB/s", Limit: limitBytes, Mechanism: mechanism},
		value: func(d Demand) float64 { return records(d) * boxRecordBytes / bytesAKilobyte },
	}
}

// Records a second of each cause.
func (d Demand) editRecords() float64 { return d.EditsPerDay / secondsADay }

func (d Demand) failureRecords() float64 { return d.FailuresPerDay * 2 * recordsAMove / secondsADay }

func (d Demand) restartRecords() float64 { return d.RestartsPerDay * recordsARestart / secondsADay }

func (d Demand) moveRecords() float64 {
	return (d.MovesPerDay*recordsAMove + float64(d.Sizes.Boxes)/d.MaintainDays*recordsAMaintenance) / secondsADay
}

// records are the records a second other than renewals and claims.
func (d Demand) records() float64 {
	return d.editRecords() + d.failureRecords() + d.restartRecords() + d.moveRecords()
}

// renewals are the renewal records a second, one a hall and interval.
func (d Demand) renewals() float64 {
	return float64(d.Sizes.Halls) / d.RenewIntervalS
}

func (d Demand) membersAHall() float64 {
	return float64(d.Sizes.Entries) / float64(d.Sizes.Halls)
}

func messageRows(b book) []rule {
	renewBytes := func(d Demand) float64 {
		return d.renewals() * b.at(slopeRenewBytes, d.membersAHall()) / bytesAKilobyte
	}
	otherBytes := func(d Demand) float64 { return d.records() * boxRecordBytes / bytesAKilobyte }
	claimBytes := func(d Demand) float64 { return d.KeysPerSecond * b.at(slopeClaimBytes, 1) / bytesAKilobyte }
	return []rule{
		{Row: Row{Role: "keeper", Cause: "renewals read", Formula: "halls / renew x renewal(members a hall)", Unit: "KB/s", Limit: limitBytes, Mechanism: "one writer a hall, pkg/keeper/members.go"}, value: renewBytes},
		causeRow("table edits read", "edits x 330 B", "cells, not tables, pkg/table/edit.go", Demand.editRecords),
		causeRow("health and failures read", "failures x 2 records x 330 B", "pkg/front/health.go, pkg/keeper/watch.go", Demand.failureRecords),
		causeRow("moves and waves read", "(moves x 2 + boxes / days x 4) x 330 B", "pkg/fold/life.go", Demand.moveRecords),
		causeRow("restarts read", "restarts x 6 records x 330 B", "hand-overs in batches, pkg/front/handover.go", Demand.restartRecords),
		{Row: Row{Role: "entry", Cause: "claims read", Formula: "keys x claim", Unit: "KB/s", Limit: limitBytes, Mechanism: "every entry follows the claims stream, pkg/claim/claim.go"}, value: claimBytes},
		{Row: Row{Role: "entry", Cause: "relay from its keeper, on the same box", Formula: "the log without claims", Unit: "KB/s", Limit: limitBytes, Mechanism: "long polls, pkg/keeper/relay.go"},
			value: func(d Demand) float64 { return renewBytes(d) + otherBytes(d) }},
		{Row: Row{Role: "keeper", Cause: "relay to one hall that is cut from the platform", Formula: "the log without claims, a keeper there", Unit: "KB/s", Limit: limitBytes, Mechanism: "pkg/keeper/relay.go, pkg/follow/follow.go"},
			value: func(d Demand) float64 { return d.membersAHall() * (renewBytes(d) + otherBytes(d)) },
			note:  "MISSED while a hall is cut: all of it may read from one keeper; spreading them is NOT BUILT"},
		{Row: Row{Role: "command line", Cause: "one dwctl status", Formula: "snapshot(boxes)", Unit: "KB", Mechanism: "pkg/operator/operator.go"},
			value: func(d Demand) float64 { return b.at(slopeSnapshot, float64(d.Sizes.Boxes)) }},
		{Row: Row{Role: "node", Cause: "the log in all", Formula: "renewals, the four causes and claims", Unit: "KB/s", Limit: limitBytes, Mechanism: "every keeper reads the whole log"},
			value: func(d Demand) float64 { return renewBytes(d) + otherBytes(d) + claimBytes(d) }},
		{Row: Row{Role: "keeper", Cause: "readings of the platform's list", Formula: "unchanged 0.2 KB / interval + changes x list(boxes / halls)", Unit: "KB/s", Limit: limitBytes, Mechanism: "a hall's list with its tag, sent only when changed, pkg/platform/platform.go"},
			value: func(d Demand) float64 {
				const unchangedKB, changesEach = 0.2, 2
				changes := changesEach * (d.RestartsPerDay + d.FailuresPerDay) / secondsADay / float64(d.Sizes.Halls)
				return unchangedKB/d.ListIntervalS + changes*b.at(slopeList, float64(d.Sizes.Boxes)/float64(d.Sizes.Halls))
			}},
		{Row: Row{Role: "node", Cause: "start-up from a peer's snapshot, averaged over all nodes", Formula: "restarts x 2 snapshots / nodes", Unit: "KB/s", Limit: limitBytes, Mechanism: "pkg/keeper/relay.go"},
			value: func(d Demand) float64 {
				return d.RestartsPerDay * 2 * b.at(slopeSnapshot, float64(d.Sizes.Boxes)) / secondsADay / float64(d.Sizes.Entries)
			}},
		{Row: Row{Role: "log streams", Cause: "appends for everybody", Formula: "renewals + records + claims' batches", Unit: "1/s", Limit: limitAppends, Mechanism: "one append carries all, pkg/keeper/outbox.go; claims are spaced by the number of entries, pkg/claim/claim.go"},
			value: func(d Demand) float64 {
				return d.renewals() + d.records() + math.Min(2*d.KeysPerSecond, 50)
			}},
	}
}

func workRows(b book) []rule {
	const scansAPlan = 6 // Passes over all boxes by hall and fleet work.
	plans := func(d Demand) float64 { return d.records() + 1/(2*d.RenewIntervalS) }
	folds := func(d Demand) float64 {
		us := d.records()*b.at(slopeFold, float64(d.Sizes.Boxes)) + d.renewals()*b.at(slopeRenewFold, d.membersAHall())
		return us / usAMillisecond * perCent
	}
	scans := func(d Demand) float64 {
		return plans(d) * scansAPlan * b.at(slopeScan, float64(d.Sizes.Boxes)) * perCent
	}
	planning := func(d Demand) float64 { return plans(d) * b.at(slopePlan, float64(d.Sizes.Boxes)) * perCent }
	size := func(d Demand) float64 { return float64(d.Sizes.Boxes) }
	return []rule{
		{Row: Row{Role: "keeper", Cause: "folding", Formula: "records x fold + renewals x fold(members)", Unit: "% of a core", Limit: limitCPU, Mechanism: "pkg/fold/fold.go"}, value: folds},
		{Row: Row{Role: "keeper", Cause: "looking at its hall's boxes", Formula: "plans x 6 passes", Unit: "% of a core", Limit: limitCPU, Mechanism: "only upon changes, pkg/keeper/loop.go"}, value: scans},
		{Row: Row{Role: "keeper", Cause: "planning the fleet, on one node at a time", Formula: "plans x plan(boxes)", Unit: "% of a core", Limit: limitCPU, Mechanism: "the eldest keeper, pkg/keeper/carry.go"}, value: planning},
		{Row: Row{Role: "node", Cause: "control in all, on the node that plans", Formula: "keeper's three rows, and folding and one pass a change in the entry", Unit: "% of a core", Limit: limitCPU, Mechanism: "ticks follow the work, pkg/pace/pace.go"},
			value: func(d Demand) float64 {
				return 2*folds(d) + scans(d) + planning(d) + d.records()*b.at(slopeScan, size(d))*perCent
			}},
		{Row: Row{Role: "keeper", Cause: "a full plan, of an empty fleet", Formula: "plan(boxes)", Unit: "ms", Limit: 250, Mechanism: "pkg/plan/grow.go, pkg/plan/shelf.go"}, value: func(d Demand) float64 { return b.at(slopeFull, size(d)) }},
		{Row: Row{Role: "keeper", Cause: "a plan after one change", Formula: "plan(boxes)", Unit: "ms", Limit: 10, Mechanism: "pkg/plan/plan.go"}, value: func(d Demand) float64 { return b.at(slopePlan, size(d)) }},
		{Row: Row{Role: "keeper, entry", Cause: "start-up from a snapshot", Formula: "restore(boxes)", Unit: "ms", Mechanism: "pkg/fold/snapshot.go"}, value: func(d Demand) float64 { return b.at(slopeRestore, size(d)) }},
		{Row: Row{Role: "keeper", Cause: "a zone lost: its boxes' records folded", Formula: "boxes / halls x fold", Unit: "ms", Mechanism: "batches of 500, pkg/keeper/outbox.go"},
			value: func(d Demand) float64 {
				return size(d) / float64(d.Sizes.Halls) * b.at(slopeFold, size(d)) / usAMillisecond
			}},
		{Row: Row{Role: "keeper", Cause: "regions apart for an hour: records to catch up", Formula: "3600 (renewals + records)", Unit: "records", Mechanism: "pages of 500, pkg/follow/follow.go"},
			value: func(d Demand) float64 { return 3600 * (d.renewals() + d.records()) },
			note:  "worked out; the read comes as a burst over the 5 KB/s, and a jump to a snapshot is NOT BUILT"},
	}
}
