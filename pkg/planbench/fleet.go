// Package planbench measures the planner: a month of a fleet, played at the fold
// alone, against a plain baseline and computed lower bounds.
package planbench

import (
	"encoding/json"
	"fmt"

	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/plan"
	"damsonwinch/pkg/process"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/trial"
	"damsonwinch/pkg/wire"
)

// Sizes describes a fleet of any size.
type Sizes struct {
	Boxes     int
	Pools     int
	Halls     int
	RackBoxes int
	BoxSlots  int
	// Entries is the number of entry boxes in all halls.
	Entries int
	// Teams is the number of teams with quotas in each service.
	Teams int
}

// SizesInTwoYears is the size that the users' first letter names. It doesn't give the
// number of entry boxes: twelve a hall is our assumption.
func SizesInTwoYears() Sizes {
	return Sizes{Boxes: 5800, Pools: 45, Halls: 8, RackBoxes: 4, BoxSlots: 8, Entries: 96, Teams: 4}
}

// Planner makes plans.
type Planner func(state fold.State, options plan.Options) plan.Plan

// bench is a fleet whose records this package writes itself.
type bench struct {
	planner Planner
	state   fold.State
	at      int
	number  int
	moves   int
	evicted int
}

const (
	benchNode  = "bench"
	startAt    = 1_800_000_000_000 // Milliseconds since 1970: 2027-01-15.
	dayMs      = 24 * 60 * 60 * 1000
	stepMs     = 60 * 1000
	neededPart = 70 // Per cent of the slots that services need in a large fleet.
	percent    = 100
)

func newBench(planner Planner) (*bench, error) {
	empty, err := process.InitialState()
	if err != nil {
		return nil, err
	}
	return &bench{planner: planner, state: empty, at: startAt}, nil
}

// append folds one record and returns its verdicts.
func (b *bench) append(proposals ...wire.Proposal) []fold.Result {
	b.number++
	data, err := json.Marshal(wire.Batch{Id: fmt.Sprint(b.number), Node: benchNode, Incarnation: 1, Number: b.number, Proposals: proposals})
	if err != nil {
		return nil
	}
	next, verdicts := b.state.Apply(wire.Entry{Offset: b.state.Offset(), At: b.at, Data: string(data)})
	b.state = next
	return verdicts
}

// start enrolls a fleet, one sender a hall, and its table.
func (b *bench) start(boxes []wire.BoxInfo, table settings.Table) error {
	halls := map[string]bool{}
	for _, box := range boxes {
		halls[box.Hall] = true
	}
	for hall := range halls {
		b.append(wire.Proposal{Kind: wire.KindRenew, Members: []wire.Member{b.member(hall)}})
	}
	b.append(wire.Proposal{Kind: wire.KindEnroll, Boxes: boxes})
	return b.edit(func(wanted *settings.Table) { *wanted = table })
}

func (b *bench) member(hall string) wire.Member {
	return wire.Member{Node: benchNode + "-" + hall, Hall: hall, Keeper: 1, Entry: 1, Seq: b.number + 1, Folded: b.state.Offset()}
}

// edit publishes a changed table.
func (b *bench) edit(change func(*settings.Table)) error {
	wanted := b.state.Table().File()
	change(&wanted)
	edit, err := b.state.Table().Diff(wanted)
	if err != nil {
		return err
	}
	for _, verdict := range b.append(wire.Proposal{Kind: wire.KindEdit, Author: benchNode, Edit: &edit}) {
		if !verdict.Accepted {
			return fmt.Errorf("edit of the benchmark's table: %s", verdict.Reason)
		}
	}
	return nil
}

// UserFleet returns the boxes and the table of one of the users.
func UserFleet(name string) ([]wire.BoxInfo, settings.Table, error) {
	user, err := trial.NewUser(name)
	if err != nil {
		return nil, settings.Table{}, err
	}
	var boxes []wire.BoxInfo
	for _, hall := range user.Fleet.Halls {
		for number := range hall.Boxes {
			boxes = append(boxes, trial.NewBoxInfo(hall.Name, number, user.Fleet, ""))
		}
	}
	return boxes, user.Table, nil
}

// LargeFleet returns boxes and a table of any size, with two services a pool.
func LargeFleet(sizes Sizes) ([]wire.BoxInfo, settings.Table) {
	var boxes []wire.BoxInfo
	fleet := settings.Fleet{RackBoxes: sizes.RackBoxes, BoxSlots: sizes.BoxSlots}
	for number := range sizes.Boxes {
		hall := number % sizes.Halls
		boxes = append(boxes, trial.NewBoxInfo(fmt.Sprintf("hall-%d", hall+1), number/sizes.Halls, fleet, ""))
	}
	table := settings.Table{Deployment: settings.Deployment{Moves: 5, Rollout: 2, Buffer: 2, MaintainDays: 42}}
	slots := sizes.Boxes * sizes.BoxSlots * neededPart / percent / sizes.Pools
	for number := range sizes.Pools {
		pool := fmt.Sprintf("pool-%02d", number+1)
		table.Deployment.Pools = append(table.Deployment.Pools, pool)
		for _, part := range []string{"a", "b"} {
			table.Services = append(table.Services, settings.NamedRow{Service: pool + "-" + part, Row: largeRow(pool, slots/2, sizes)})
		}
	}
	return boxes, table
}

func largeRow(pool string, slots int, sizes Sizes) settings.Row {
	const spareParts, downParts = 10, 20
	row := settings.Row{
		Pool: pool, Weight: 1, Floor: slots - slots/spareParts, Spare: slots / spareParts, Most: slots * 2,
		Down: max(1, 2*slots/sizes.BoxSlots/downParts), Queue: 600, DeadlineMs: 30_000, RunMs: 5000, Repeatable: true,
	}
	for team := range sizes.Teams {
		row.Quotas = append(row.Quotas, settings.Quota{Team: fmt.Sprintf("team-%03d", team+1), Weight: 1, Most: slots})
	}
	return row
}

// Fleet is a fleet for measurements of single parts.
type Fleet struct {
	bench *bench
}

// NewFleet returns an enrolled fleet whose boxes are all free yet.
func NewFleet(sizes Sizes) (*Fleet, error) {
	b, err := newBench(plan.New)
	if err != nil {
		return nil, err
	}
	boxes, table := LargeFleet(sizes)
	return &Fleet{bench: b}, b.start(boxes, table)
}

// InitialState returns the state before the first record.
func InitialState() (fold.State, error) {
	return process.InitialState()
}

// State returns the fleet's state.
func (f *Fleet) State() fold.State {
	return f.bench.state
}

// MakePlan makes a plan and drops it.
func (f *Fleet) MakePlan() {
	plan.New(f.bench.state, plan.Options{})
}

// PlanUntilStable carries plans out until there is nothing left to do.
func (f *Fleet) PlanUntilStable() {
	f.bench.settle(mostRounds)
}
