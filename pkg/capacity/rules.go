package capacity

import "math"

const (
	bytesPerKB = 1024
	usPerMs    = 1000
	// cpuPercentPerMs is the percentage of a core that one millisecond of processor time
	// per second amounts to.
	cpuPercentPerMs = 0.1
)

// stateRules returns the rules for memory and for sizes that grow with the fleet's state.
func stateRules(slopes slopesByName) []rule {
	return []rule{
		{Row: Row{Role: "keeper", Cause: "state of the fleet", Formula: "memory(boxes)", Unit: "MB", Limit: stateMemoryLimitMB, Mechanism: "persistent maps, pkg/fleetstate/state.go"},
			value: func(d Demand) float64 { return slopes.valueAt(slopeMemory, float64(d.Sizes.Boxes)) }},
		{Row: Row{Role: "entry", Cause: "state of the fleet, beside its queues", Formula: "memory(boxes)", Unit: "MB", Limit: stateMemoryLimitMB, Mechanism: "the same fold, pkg/follow/follow.go"},
			value: func(d Demand) float64 { return slopes.valueAt(slopeMemory, float64(d.Sizes.Boxes)) }},
		{Row: Row{Role: "node", Cause: "keeper and entry together, with a snapshot in the making in each", Formula: "2 (memory + 3 snapshots)", Unit: "MB", Limit: nodeMemoryLimitMB, Mechanism: "pkg/fleetstate/snapshot.go"},
			value: func(d Demand) float64 {
				size := float64(d.Sizes.Boxes)
				return 2 * (slopes.valueAt(slopeMemory, size) + 3*slopes.valueAt(slopeSnapshot, size)/bytesPerKB)
			}},
		{Row: Row{Role: "log streams", Cause: "one snapshot record", Formula: "snapshot(boxes)", Unit: "KB", Mechanism: "one append in pkg/keeper/maintenance.go"},
			value:        func(d Demand) float64 { return slopes.valueAt(slopeSnapshot, float64(d.Sizes.Boxes)) },
			fixedVerdict: "the platform names no largest record; if it has one, snapshots must be cut in parts: NOT BUILT"},
		{Row: Row{Role: "entry", Cause: "200 teams' quotas", Formula: "overshoot of a quota at most entries - 1", Unit: "requests", Mechanism: "shares by slots, pkg/apportion/apportion.go, pkg/entry/admission.go"},
			value:        func(d Demand) float64 { return float64(d.Sizes.Entries - 1) },
			fixedVerdict: "worked out: each sender's share is at least 1"},
	}
}

// readRule returns the rule for the reads of one cause's records by a keeper. Every
// keeper reads them all. recordRate returns the number of records per second.
func readRule(cause, formula, mechanism string, recordRate func(Demand) float64) rule {
	return rule{
		Row:   Row{Role: "keeper", Cause: cause, Formula: formula, Unit: "KB/s", Limit: trafficLimitKBPerSecond, Mechanism: mechanism},
		value: func(d Demand) float64 { return recordRate(d) * boxRecordBytes / bytesPerKB },
	}
}

// editRate returns the number of records of table edits per second.
func (d Demand) editRate() float64 { return d.EditsPerDay / secondsPerDay }

// failureRate returns the number of records of failures per second. Each failure causes
// two moves: the failed box leaves its pool, and another box takes its place.
func (d Demand) failureRate() float64 { return d.FailuresPerDay * 2 * recordsPerMove / secondsPerDay }

// restartRate returns the number of records of restarts per second.
func (d Demand) restartRate() float64 { return d.RestartsPerDay * recordsPerRestart / secondsPerDay }

// moveRate returns the number of records of moves and of maintenance per second.
func (d Demand) moveRate() float64 {
	return (d.MovesPerDay*recordsPerMove + float64(d.Sizes.Boxes)/d.MaintainDays*recordsPerMaintenance) / secondsPerDay
}

// recordRate returns the number of records per second without renewals and claims.
func (d Demand) recordRate() float64 {
	return d.editRate() + d.failureRate() + d.restartRate() + d.moveRate()
}

// renewalRate returns the number of records of renewals per second. In each zone, one
// record renews all members once in each RenewIntervalS.
func (d Demand) renewalRate() float64 {
	return float64(d.Sizes.Halls) / d.RenewIntervalS
}

// membersPerZone returns the number of keepers in a zone, one for each entry.
func (d Demand) membersPerZone() float64 {
	return float64(d.Sizes.Entries) / float64(d.Sizes.Halls)
}

// messageRules returns the rules for the data that processes read and write. Most rows
// are in KB per second.
func messageRules(slopes slopesByName) []rule {
	renewalKB := func(d Demand) float64 {
		return d.renewalRate() * slopes.valueAt(slopeRenewalSize, d.membersPerZone()) / bytesPerKB
	}
	otherRecordKB := func(d Demand) float64 { return d.recordRate() * boxRecordBytes / bytesPerKB }
	claimKB := func(d Demand) float64 { return d.KeysPerSecond * slopes.valueAt(slopeClaimSize, 1) / bytesPerKB }
	return []rule{
		{Row: Row{Role: "keeper", Cause: "renewals read", Formula: "halls / renew x renewal(members a hall)", Unit: "KB/s", Limit: trafficLimitKBPerSecond, Mechanism: "one writer a hall, pkg/keeper/renewals.go"}, value: renewalKB},
		readRule("table edits read", "edits x 330 B", "cells, not tables, pkg/table/edit.go", Demand.editRate),
		readRule("health and failures read", "failures x 2 records x 330 B", "pkg/entry/health.go, pkg/keeper/list.go", Demand.failureRate),
		readRule("moves and waves read", "(moves x 2 + boxes / days x 4) x 330 B", "pkg/fleetstate/box_change.go", Demand.moveRate),
		readRule("restarts read", "restarts x 6 records x 330 B", "hand-overs in batches, pkg/entry/handover.go", Demand.restartRate),
		{Row: Row{Role: "entry", Cause: "claims read", Formula: "keys x claim", Unit: "KB/s", Limit: trafficLimitKBPerSecond, Mechanism: "every entry follows the claims stream, pkg/claim/claim.go"}, value: claimKB},
		{Row: Row{Role: "entry", Cause: "relay from its keeper, on the same box", Formula: "the log without claims", Unit: "KB/s", Limit: trafficLimitKBPerSecond, Mechanism: "long polls, pkg/keeper/relay.go"},
			value: func(d Demand) float64 { return renewalKB(d) + otherRecordKB(d) }},
		{Row: Row{Role: "keeper", Cause: "relay to one hall that is cut from the platform", Formula: "the log without claims, a keeper there", Unit: "KB/s", Limit: trafficLimitKBPerSecond, Mechanism: "pkg/keeper/relay.go, pkg/follow/follow.go"},
			value:        func(d Demand) float64 { return d.membersPerZone() * (renewalKB(d) + otherRecordKB(d)) },
			fixedVerdict: "MISSED while a hall is cut: all of it may read from one keeper; spreading them is NOT BUILT"},
		{Row: Row{Role: "command line", Cause: "one dwctl status", Formula: "snapshot(boxes)", Unit: "KB", Mechanism: "pkg/operator/operator.go"},
			value: func(d Demand) float64 { return slopes.valueAt(slopeSnapshot, float64(d.Sizes.Boxes)) }},
		{Row: Row{Role: "node", Cause: "the log in all", Formula: "renewals, the four causes and claims", Unit: "KB/s", Limit: trafficLimitKBPerSecond, Mechanism: "every keeper reads the whole log"},
			value: func(d Demand) float64 { return renewalKB(d) + otherRecordKB(d) + claimKB(d) }},
		{Row: Row{Role: "keeper", Cause: "readings of the platform's list", Formula: "unchanged 0.2 KB / interval + changes x list(boxes / halls)", Unit: "KB/s", Limit: trafficLimitKBPerSecond, Mechanism: "a hall's list with its tag, sent only when changed, pkg/platform/platform.go"},
			value: func(d Demand) float64 {
				const unchangedKB, changesPerEvent = 0.2, 2
				changes := changesPerEvent * (d.RestartsPerDay + d.FailuresPerDay) / secondsPerDay / float64(d.Sizes.Halls)
				return unchangedKB/d.ListIntervalS + changes*slopes.valueAt(slopeList, float64(d.Sizes.Boxes)/float64(d.Sizes.Halls))
			}},
		{Row: Row{Role: "node", Cause: "start-up from a peer's snapshot, averaged over all nodes", Formula: "restarts x 2 snapshots / nodes", Unit: "KB/s", Limit: trafficLimitKBPerSecond, Mechanism: "pkg/keeper/relay.go"},
			value: func(d Demand) float64 {
				return d.RestartsPerDay * 2 * slopes.valueAt(slopeSnapshot, float64(d.Sizes.Boxes)) / secondsPerDay / float64(d.Sizes.Entries)
			}},
		{Row: Row{Role: "log streams", Cause: "appends for everybody", Formula: "renewals + records + claims' batches", Unit: "1/s", Limit: appendLimitPerSecond, Mechanism: "one append carries all, pkg/keeper/outbox.go; claims are spaced by the number of entries, pkg/claim/claim.go"},
			value: func(d Demand) float64 {
				return d.renewalRate() + d.recordRate() + math.Min(2*d.KeysPerSecond, 50)
			}},
	}
}

// workRules returns the rules for processor time and for the duration of single
// operations.
func workRules(slopes slopesByName) []rule {
	const passesPerPlan = 6 // Passes over all boxes, for the zone's and the fleet's work.
	planRate := func(d Demand) float64 { return d.recordRate() + 1/(2*d.RenewIntervalS) }
	applyLoad := func(d Demand) float64 {
		us := d.recordRate()*slopes.valueAt(slopeApply, float64(d.Sizes.Boxes)) + d.renewalRate()*slopes.valueAt(slopeRenewalApply, d.membersPerZone())
		return us / usPerMs * cpuPercentPerMs
	}
	passLoad := func(d Demand) float64 {
		return planRate(d) * passesPerPlan * slopes.valueAt(slopePass, float64(d.Sizes.Boxes)) * cpuPercentPerMs
	}
	planLoad := func(d Demand) float64 {
		return planRate(d) * slopes.valueAt(slopePlan, float64(d.Sizes.Boxes)) * cpuPercentPerMs
	}
	boxes := func(d Demand) float64 { return float64(d.Sizes.Boxes) }
	return []rule{
		{Row: Row{Role: "keeper", Cause: "folding", Formula: "records x fold + renewals x fold(members)", Unit: "% of a core", Limit: cpuLimitPercent, Mechanism: "pkg/fleetstate/apply.go"}, value: applyLoad},
		{Row: Row{Role: "keeper", Cause: "looking at its hall's boxes", Formula: "plans x 6 passes", Unit: "% of a core", Limit: cpuLimitPercent, Mechanism: "only upon changes, pkg/keeper/loop.go"}, value: passLoad},
		{Row: Row{Role: "keeper", Cause: "planning the fleet, on one node at a time", Formula: "plans x plan(boxes)", Unit: "% of a core", Limit: cpuLimitPercent, Mechanism: "the eldest keeper, pkg/keeper/maintenance.go"}, value: planLoad},
		{Row: Row{Role: "node", Cause: "control in all, on the node that plans", Formula: "keeper's three rows, and folding and one pass a change in the entry", Unit: "% of a core", Limit: cpuLimitPercent, Mechanism: "ticks follow the work, pkg/ticker/ticker.go"},
			value: func(d Demand) float64 {
				return 2*applyLoad(d) + passLoad(d) + planLoad(d) + d.recordRate()*slopes.valueAt(slopePass, boxes(d))*cpuPercentPerMs
			}},
		{Row: Row{Role: "keeper", Cause: "a full plan, of an empty fleet", Formula: "plan(boxes)", Unit: "ms", Limit: 250, Mechanism: "pkg/plan/grow.go, pkg/plan/free_boxes.go"}, value: func(d Demand) float64 { return slopes.valueAt(slopeFirstPlan, boxes(d)) }},
		{Row: Row{Role: "keeper", Cause: "a plan after one change", Formula: "plan(boxes)", Unit: "ms", Limit: 10, Mechanism: "pkg/plan/plan.go"}, value: func(d Demand) float64 { return slopes.valueAt(slopePlan, boxes(d)) }},
		{Row: Row{Role: "keeper, entry", Cause: "start-up from a snapshot", Formula: "restore(boxes)", Unit: "ms", Mechanism: "pkg/fleetstate/snapshot.go"}, value: func(d Demand) float64 { return slopes.valueAt(slopeRestore, boxes(d)) }},
		{Row: Row{Role: "keeper", Cause: "a zone lost: its boxes' records folded", Formula: "boxes / halls x fold", Unit: "ms", Mechanism: "batches of 500, pkg/keeper/outbox.go"},
			value: func(d Demand) float64 {
				return boxes(d) / float64(d.Sizes.Halls) * slopes.valueAt(slopeApply, boxes(d)) / usPerMs
			}},
		{Row: Row{Role: "keeper", Cause: "regions apart for an hour: records to catch up", Formula: "3600 (renewals + records)", Unit: "records", Mechanism: "pages of 500, pkg/follow/follow.go"},
			value:        func(d Demand) float64 { return 3600 * (d.renewalRate() + d.recordRate()) },
			fixedVerdict: "worked out; the read comes as a burst over the 5 KB/s, and a jump to a snapshot is NOT BUILT"},
	}
}
