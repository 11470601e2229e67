// Package capacity measures what each part costs at several sizes and works out
// what it costs at the size of two years from now.
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
	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/planbench"
	"damsonwinch/pkg/wire"
)

// Slope is a measure at several sizes and the line through it.
type Slope struct {
	Name string `json:"name"`
	Unit string `json:"unit"`
	// Per is what the size counts.
	Per       string    `json:"per"`
	Sizes     []float64 `json:"sizes"`
	Values    []float64 `json:"values"`
	Intercept float64   `json:"intercept"`
	Slope     float64   `json:"slope"`
	// Scatter is the largest distance of a value from the line, as a part of the
	// largest value.
	Scatter float64 `json:"scatter"`
}

// At returns the line's value at a size. Below the smallest measured size the
// line says nothing and the smallest value is taken.
func (s Slope) At(size float64) float64 {
	if size <= s.Sizes[0] {
		return s.Values[0]
	}
	return s.Intercept + s.Slope*size
}

func fit(name, unit, per string, sizes, values []float64) Slope {
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
	mega    = 1 << 20
	smallBy = 10
)

// Slopes measures everything that grows with the fleet.
func Slopes(ctx context.Context, clock damsonwinch.Clock, sizes planbench.Sizes) ([]Slope, error) {
	boxes := []float64{float64(sizes.Boxes) / (smallBy * smallBy), float64(sizes.Boxes) / smallBy, float64(sizes.Boxes)}
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
	for _, known := range fleetMeasures() {
		slopes = append(slopes, fit(known[0], known[1], "box", boxes, measured[known[0]]))
	}
	return append(slopes, renewalSlopes(clock)...), nil
}

// Names of the slopes.
const (
	slopeMemory     = "state memory"
	slopeSnapshot   = "snapshot size"
	slopeRestore    = "restore from a snapshot"
	slopeFold       = "fold of one box record"
	slopePlan       = "plan upon a settled fleet"
	slopeFull       = "plan of an empty fleet"
	slopeScan       = "one pass over all boxes"
	slopeList       = "one reading of the list"
	slopeRenewBytes = "renewal record"
	slopeRenewFold  = "fold of one renewal record"
	slopeClaimBytes = "claim and outcome records"
)

func fleetMeasures() [][2]string {
	return [][2]string{
		{slopeMemory, "MB"}, {slopeSnapshot, "KB"}, {slopeRestore, "ms"}, {slopeFold, "us"}, {slopePlan, "ms"}, {slopeFull, "ms"},
		{slopeScan, "ms"}, {slopeList, "KB"},
	}
}

func measureFleet(clock damsonwinch.Clock, sizes planbench.Sizes, boxes int, into map[string][]float64) error {
	sizes.Pools = max(1, sizes.Pools*boxes/sizes.Boxes)
	sizes.Boxes = boxes
	before := heap()
	fleet, err := planbench.NewFleet(sizes)
	if err != nil {
		return err
	}
	note := func(name string, value float64) { into[name] = append(into[name], value) }
	note(slopeFull, planbench.MedianMs(clock, fleet.MakePlan))
	fleet.PlanUntilStable()
	note(slopeMemory, (heap()-before)/mega)
	snapshot, err := fleet.State().Snapshot()
	if err != nil {
		return err
	}
	note(slopeSnapshot, kilobytes(snapshot))
	empty, err := planbench.InitialState()
	if err != nil {
		return err
	}
	note(slopeRestore, planbench.MedianMs(clock, func() { _, err = empty.Restore(snapshot) }))
	if err != nil {
		return err
	}
	note(slopePlan, planbench.MedianMs(clock, fleet.MakePlan))
	note(slopeScan, planbench.MedianMs(clock, func() { fleet.State().Boxes() }))
	note(slopeFold, foldTime(clock, fleet.State(), boxRecord(fleet.State())))
	note(slopeList, kilobytes(listOf(fleet.State())))
	runtime.KeepAlive(fleet)
	return nil
}

func heap() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func kilobytes(value any) float64 {
	text, err := json.Marshal(value)
	if err != nil {
		return 0
	}
	return float64(len(text)) / 1024
}

func listOf(state fold.State) []wire.ListedBox {
	var listed []wire.ListedBox
	for _, box := range state.Boxes() {
		listed = append(listed, wire.ListedBox{Info: box.Info})
	}
	return listed
}

// boxRecord is a record that changes one box.
func boxRecord(state fold.State) wire.Batch {
	box := state.Boxes()[len(state.Boxes())/2]
	change := &wire.BoxChange{Box: box.Info.Name, Epoch: box.Epoch, Health: wire.HealthDown}
	return wire.Batch{Id: "x", Node: "node", Proposals: []wire.Proposal{{Kind: wire.KindHealth, Cause: "measured", Change: change}}}
}

// foldTime returns the median time of folding a record, in microseconds.
func foldTime(clock damsonwinch.Clock, state fold.State, batch wire.Batch) float64 {
	data, err := json.Marshal(batch)
	if err != nil {
		return 0
	}
	const together = 200
	record := wire.Entry{Offset: state.Offset(), At: state.LogTimeMs(), Data: string(data)}
	took := planbench.MedianMs(clock, func() {
		for range together {
			state.Apply(record)
		}
	})
	return took * float64(time.Millisecond/time.Microsecond) / together
}

// renewalSlopes measures records by the number of members and of claims in them.
func renewalSlopes(clock damsonwinch.Clock) []Slope {
	counts := []float64{1, 4, 12}
	var bytes, folds, claims []float64
	for _, count := range counts {
		batch := renewal(int(count), false)
		text, _ := json.Marshal(batch)
		bytes = append(bytes, float64(len(text)))
		empty, err := planbench.InitialState()
		if err != nil {
			return nil
		}
		known, _ := json.Marshal(renewal(int(count), true))
		state, _ := empty.Apply(wire.Entry{Data: string(known)})
		folds = append(folds, foldTime(clock, state, batch))
		claims = append(claims, claimBytes(int(count)))
	}
	return []Slope{
		fit(slopeRenewBytes, "B", "member", counts, bytes),
		fit(slopeRenewFold, "us", "member", counts, folds),
		fit(slopeClaimBytes, "B", "key", counts, claims),
	}
}

// renewal is a hall's record as its writer makes it; the first one says more.
func renewal(members int, first bool) wire.Batch {
	const moment = 1796213881457816681
	batch := wire.Batch{Id: "hall-1-entry-01/1796213881457816681/100000", Node: "hall-1-entry-01", Incarnation: moment, Number: 100_000}
	proposal := wire.Proposal{Kind: wire.KindRenew}
	for number := range members {
		member := wire.Member{Node: fmt.Sprintf("hall-1-entry-%02d", number+1), Keeper: moment + number, Entry: moment - number, Seq: 100_000 + number, Folded: 1_000_000}
		if first {
			member.Hall, member.KeeperAddress, member.EntryAddress, member.Seq = "hall-1", "10.1.100.1:7101", "10.1.100.1:7103", 1
			batch.Number = 1
		}
		proposal.Members = append(proposal.Members, member)
	}
	batch.Proposals = []wire.Proposal{proposal}
	return batch
}

func claimBytes(keys int) float64 {
	var claims wire.ClaimBatch
	for number := range keys {
		claim := wire.Claim{Key: fmt.Sprintf("bank-files/2027-01-15-run-%06d", number), Owner: "hall-1-entry-01/1796213881457816681/100000", Until: 1_800_000_000_000, Digest: "a1b2c3d4e5f60718"}
		claims.Claims = append(claims.Claims, claim, wire.Claim{Key: claim.Key, Owner: claim.Owner, Outcome: wire.OutcomeAnswered, Status: 200})
	}
	text, _ := json.Marshal(claims)
	return float64(len(text))
}
