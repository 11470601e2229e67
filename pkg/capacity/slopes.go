// Package capacity measures memory, sizes and times of the system for fleets of several
// sizes, fits lines through them, and computes from these what each part costs in the
// users' fleets today and in two years. The result is a capacity page.
package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"damsonwinch"
	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/planbench"
	"damsonwinch/pkg/wire"
)

// Slope is a quantity measured at several sizes, and the line fitted through its values
// by linear regression.
type Slope struct {
	Name string `json:"name"`
	// Unit is the unit of Values and Intercept. The unit of Slope is Unit per Per.
	Unit string `json:"unit"`
	// Per is the thing that Sizes count, such as "box".
	Per       string    `json:"per"`
	Sizes     []float64 `json:"sizes"`
	Values    []float64 `json:"values"` // One for each element of Sizes.
	Intercept float64   `json:"intercept"`
	Slope     float64   `json:"slope"`
	// Scatter is the largest distance of a value from the line, as a fraction of the
	// largest value.
	Scatter float64 `json:"scatter"`
}

// At returns the value of the line at a size. At the smallest measured size and below
// it returns the value that was measured there, since the line doesn't hold for smaller
// sizes.
func (s Slope) At(size float64) float64 {
	if size <= s.Sizes[0] {
		return s.Values[0]
	}
	return s.Intercept + s.Slope*size
}

// fitLine returns the slope with a line fitted through the values, one for each size.
// The first size must be the smallest.
func fitLine(name, unit, per string, sizes, values []float64) Slope {
	intercept, slope := stat.LinearRegression(sizes, values, nil, false)
	fitted := Slope{Name: name, Unit: unit, Per: per, Sizes: sizes, Values: values, Intercept: intercept, Slope: slope}
	largest := slices.Max(values)
	for i, size := range sizes {
		distance := values[i] - fitted.At(size)
		fitted.Scatter = max(fitted.Scatter, distance/largest, -distance/largest)
	}
	return fitted
}

const (
	bytesPerMB = 1 << 20
	// sizeFactor is the factor between two sizes at which fleets are measured.
	sizeFactor = 10
)

// Slopes measures the quantities that grow with the fleet: at the given sizes, and at a
// tenth and a hundredth of their boxes and pools. It also measures those that grow with
// the members of a zone and with the keys in a batch of claims.
func Slopes(ctx context.Context, clock damsonwinch.Clock, sizes planbench.Sizes) ([]Slope, error) {
	boxes := []float64{float64(sizes.Boxes) / (sizeFactor * sizeFactor), float64(sizes.Boxes) / sizeFactor, float64(sizes.Boxes)}
	measured := map[string][]float64{}
	for _, count := range boxes {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if err := measureFleet(clock, sizes, int(count), measured); err != nil {
			return nil, err
		}
	}
	var slopes []Slope
	for _, measure := range fleetSlopes() {
		slopes = append(slopes, fitLine(measure[0], measure[1], "box", boxes, measured[measure[0]]))
	}
	return append(slopes, recordSlopes(clock)...), nil
}

// Names of the slopes.
const (
	slopeMemory       = "state memory"
	slopeSnapshot     = "snapshot size"
	slopeRestore      = "restore from a snapshot"
	slopeApply        = "fold of one box record"
	slopePlan         = "plan upon a settled fleet"
	slopeFirstPlan    = "plan of an empty fleet"
	slopePass         = "one pass over all boxes"
	slopeList         = "one reading of the list"
	slopeRenewalSize  = "renewal record"
	slopeRenewalApply = "fold of one renewal record"
	slopeClaimSize    = "claim and outcome records"
)

// fleetSlopes returns the name and the unit of each slope that measureFleet measures.
func fleetSlopes() [][2]string {
	return [][2]string{
		{slopeMemory, "MB"}, {slopeSnapshot, "KB"}, {slopeRestore, "ms"}, {slopeApply, "us"}, {slopePlan, "ms"}, {slopeFirstPlan, "ms"},
		{slopePass, "ms"}, {slopeList, "KB"},
	}
}

// measureFleet measures a fleet with the given number of boxes and a number of pools in
// proportion to it. For each slope of fleetSlopes it appends a value to values, under
// the name of the slope.
func measureFleet(clock damsonwinch.Clock, sizes planbench.Sizes, boxes int, values map[string][]float64) error {
	sizes.Pools = max(1, sizes.Pools*boxes/sizes.Boxes)
	sizes.Boxes = boxes
	before := heapBytes()
	fleet, err := planbench.NewFleet(sizes)
	if err != nil {
		return err
	}
	addValue := func(name string, value float64) { values[name] = append(values[name], value) }
	addValue(slopeFirstPlan, planbench.MedianMs(clock, fleet.MakePlan))
	fleet.PlanUntilStable()
	addValue(slopeMemory, (heapBytes()-before)/bytesPerMB)
	snapshot, err := fleet.State().Snapshot()
	if err != nil {
		return err
	}
	addValue(slopeSnapshot, jsonKB(snapshot))
	initialState, err := planbench.InitialState()
	if err != nil {
		return err
	}
	addValue(slopeRestore, planbench.MedianMs(clock, func() { _, err = initialState.Restore(snapshot) }))
	if err != nil {
		return err
	}
	addValue(slopePlan, planbench.MedianMs(clock, fleet.MakePlan))
	addValue(slopePass, planbench.MedianMs(clock, func() { fleet.State().Boxes() }))
	addValue(slopeApply, applyTimeUs(clock, fleet.State(), healthBatch(fleet.State())))
	addValue(slopeList, jsonKB(platformList(fleet.State())))
	runtime.KeepAlive(fleet)
	return nil
}

// heapBytes returns the size of the allocated objects on the heap after two garbage
// collections.
func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// jsonKB returns the size of a value as JSON, in units of 1024 bytes.
func jsonKB(value any) float64 {
	text, err := json.Marshal(value)
	if err != nil {
		return 0
	}
	return float64(len(text)) / 1024
}

// platformList returns a list, like the platform's, of all boxes in a state.
func platformList(state fleetstate.State) []wire.ListedBox {
	var listed []wire.ListedBox
	for _, box := range state.Boxes() {
		listed = append(listed, wire.ListedBox{Info: box.Info})
	}
	return listed
}

// healthBatch returns a batch that changes the health of one box in a state.
func healthBatch(state fleetstate.State) wire.Batch {
	box := state.Boxes()[len(state.Boxes())/2]
	change := &wire.BoxChange{Box: box.Info.Name, Epoch: box.Epoch, Health: wire.HealthDown}
	return wire.Batch{Id: "x", Node: "node", Proposals: []wire.Proposal{{Kind: wire.KindHealth, Cause: "measured", Change: change}}}
}

// applyTimeUs returns the median time of applying a batch to a state, in microseconds.
func applyTimeUs(clock damsonwinch.Clock, state fleetstate.State, batch wire.Batch) float64 {
	data, err := json.Marshal(batch)
	if err != nil {
		return 0
	}
	const timesPerRun = 200
	record := wire.Entry{Offset: state.Offset(), At: state.LogTimeMs(), Data: string(data)}
	medianMs := planbench.MedianMs(clock, func() {
		for range timesPerRun {
			state.Apply(record)
		}
	})
	return medianMs * float64(time.Millisecond/time.Microsecond) / timesPerRun
}

// recordSlopes measures renewals by the number of their members, and batches of claims
// by the number of their keys.
func recordSlopes(clock damsonwinch.Clock) []Slope {
	counts := []float64{1, 4, 12}
	var renewalSizes, applyTimes, claimSizes []float64
	for _, count := range counts {
		batch := renewalBatch(int(count), false)
		text, _ := json.Marshal(batch)
		renewalSizes = append(renewalSizes, float64(len(text)))
		initialState, err := planbench.InitialState()
		if err != nil {
			return nil
		}
		firstRenewal, _ := json.Marshal(renewalBatch(int(count), true))
		state, _ := initialState.Apply(wire.Entry{Data: string(firstRenewal)})
		applyTimes = append(applyTimes, applyTimeUs(clock, state, batch))
		claimSizes = append(claimSizes, claimBatchBytes(int(count)))
	}
	return []Slope{
		fitLine(slopeRenewalSize, "B", "member", counts, renewalSizes),
		fitLine(slopeRenewalApply, "us", "member", counts, applyTimes),
		fitLine(slopeClaimSize, "B", "key", counts, claimSizes),
	}
}

// renewalBatch returns a batch that renews the given number of members of a zone. Only
// the first renewal of a member contains its addresses and its zone.
func renewalBatch(members int, isFirst bool) wire.Batch {
	const incarnation = 1796213881457816681
	batch := wire.Batch{Id: "hall-1-entry-01/1796213881457816681/100000", Node: "hall-1-entry-01", Incarnation: incarnation, Number: 100_000}
	proposal := wire.Proposal{Kind: wire.KindRenew}
	for number := range members {
		member := wire.Member{Node: fmt.Sprintf("hall-1-entry-%02d", number+1), Keeper: incarnation + number, Entry: incarnation - number, Seq: 100_000 + number, Folded: 1_000_000}
		if isFirst {
			member.Hall, member.KeeperAddress, member.EntryAddress, member.Seq = "hall-1", "10.1.100.1:7101", "10.1.100.1:7103", 1
			batch.Number = 1
		}
		proposal.Members = append(proposal.Members, member)
	}
	batch.Proposals = []wire.Proposal{proposal}
	return batch
}

// claimBatchBytes returns the size, in bytes, of a batch with a claim and an outcome for
// each of the given number of keys.
func claimBatchBytes(keys int) float64 {
	var claims wire.ClaimBatch
	for number := range keys {
		claim := wire.Claim{Key: fmt.Sprintf("bank-files/2027-01-15-run-%06d", number), Owner: "hall-1-entry-01/1796213881457816681/100000", Until: 1_800_000_000_000, Digest: "a1b2c3d4e5f60718"}
		claims.Claims = append(claims.Claims, claim, wire.Claim{Key: claim.Key, Owner: claim.Owner, Outcome: wire.OutcomeAnswered, Status: 200})
	}
	text, _ := json.Marshal(claims)
	return float64(len(text))
}
