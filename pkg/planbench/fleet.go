// Package planbench measures the planner of package plan. It simulates a month of a
// fleet by applying log records to the fleet's state, without any process, and compares
// the result with that of a simple planner and with computed lower bounds.
package planbench

import (
	"encoding/json"
	"fmt"

	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/plan"
	"damsonwinch/pkg/process"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/trial"
	"damsonwinch/pkg/wire"
)

// Sizes describes how large a fleet is. Package capacity writes it as JSON under the
// names of its fields.
type Sizes struct {
	// Boxes is the number of endpoint boxes, Pools the number of pools and Halls the
	// number of availability zones.
	Boxes int
	Pools int
	Halls int
	// RackBoxes is the number of boxes in a rack, and BoxSlots the number of requests
	// that a box can run at once.
	RackBoxes int
	BoxSlots  int
	// Entries is the number of entry boxes in all zones.
	Entries int
	// Teams is the number of customers with a quota in each service.
	Teams int
}

// SizesInTwoYears returns the sizes of the fleet that the users expect to have in two
// years. They don't state the number of entry boxes; twelve in each zone is an
// assumption.
func SizesInTwoYears() Sizes {
	return Sizes{Boxes: 5800, Pools: 45, Halls: 8, RackBoxes: 4, BoxSlots: 8, Entries: 96, Teams: 4}
}

// Planner is a function that makes a plan for the fleet's state, as plan.New does.
type Planner func(state fleetstate.State, options plan.Options) plan.Plan

// simulation is a fleet without processes: this package creates the log records and
// applies them to the fleet's state.
type simulation struct {
	planner     Planner
	state       fleetstate.State
	nowMs       int // The log time, in milliseconds since 1970.
	batchNumber int // The number of the newest batch, or 0 if there is none.
	// moves counts the boxes that left a pool, and evicted those of them that were not
	// up.
	moves   int
	evicted int
}

const (
	nodeName      = "bench"
	startMs       = 1_800_000_000_000 // Milliseconds since 1970: 2027-01-15.
	dayMs         = 24 * 60 * 60 * 1000
	stepMs        = 60 * 1000 // Log time between two rounds.
	neededPercent = 70        // Percentage of the slots that the services of a large fleet need.
	percent       = 100
)

// newSimulation returns a simulation without boxes and without a table.
func newSimulation(planner Planner) (*simulation, error) {
	initialState, err := process.InitialState()
	if err != nil {
		return nil, err
	}
	return &simulation{planner: planner, state: initialState, nowMs: startMs}, nil
}

// appendBatch applies a log record with the proposals to the state. It returns their
// results in the same order.
func (s *simulation) appendBatch(proposals ...wire.Proposal) []fleetstate.Result {
	s.batchNumber++
	data, err := json.Marshal(wire.Batch{Id: fmt.Sprint(s.batchNumber), Node: nodeName, Incarnation: 1, Number: s.batchNumber, Proposals: proposals})
	if err != nil {
		return nil
	}
	next, results := s.state.Apply(wire.Entry{Offset: s.state.Offset(), At: s.nowMs, Data: string(data)})
	s.state = next
	return results
}

// enroll adds one sender in each zone of the boxes, enrolls the boxes and publishes the
// table.
func (s *simulation) enroll(boxes []wire.BoxInfo, table settings.Table) error {
	zones := map[string]bool{}
	for _, box := range boxes {
		zones[box.Hall] = true
	}
	for zone := range zones {
		s.appendBatch(wire.Proposal{Kind: wire.KindRenew, Members: []wire.Member{s.member(zone)}})
	}
	s.appendBatch(wire.Proposal{Kind: wire.KindEnroll, Boxes: boxes})
	return s.editTable(func(wanted *settings.Table) { *wanted = table })
}

// member returns the next renewal of a zone's node. Each zone has a single node, which
// runs a keeper and an entry.
func (s *simulation) member(zone string) wire.Member {
	return wire.Member{Node: nodeName + "-" + zone, Hall: zone, Keeper: 1, Entry: 1, Seq: s.batchNumber + 1, Folded: s.state.Offset()}
}

// editTable publishes the table with a change. It returns an error if the edit is
// refused.
func (s *simulation) editTable(change func(*settings.Table)) error {
	wanted := s.state.Table().File()
	change(&wanted)
	edit, err := s.state.Table().Diff(wanted)
	if err != nil {
		return err
	}
	for _, result := range s.appendBatch(wire.Proposal{Kind: wire.KindEdit, Author: nodeName, Edit: &edit}) {
		if !result.Accepted {
			return fmt.Errorf("edit of the simulated fleet's table refused: %s", result.Reason)
		}
	}
	return nil
}

// UserFleet returns the endpoint boxes, without addresses, and the table of the named
// user of package trial.
func UserFleet(name string) ([]wire.BoxInfo, settings.Table, error) {
	user, err := trial.NewUser(name)
	if err != nil {
		return nil, settings.Table{}, err
	}
	var boxes []wire.BoxInfo
	for _, zone := range user.Fleet.Halls {
		for number := range zone.Boxes {
			boxes = append(boxes, trial.NewBoxInfo(zone.Name, number, user.Fleet, ""))
		}
	}
	return boxes, user.Table, nil
}

// LargeFleet returns the endpoint boxes, without addresses, and the table of a fleet
// with the given sizes. Each pool has two services.
func LargeFleet(sizes Sizes) ([]wire.BoxInfo, settings.Table) {
	var boxes []wire.BoxInfo
	fleet := settings.Fleet{RackBoxes: sizes.RackBoxes, BoxSlots: sizes.BoxSlots}
	for number := range sizes.Boxes {
		zone := number % sizes.Halls
		boxes = append(boxes, trial.NewBoxInfo(fmt.Sprintf("hall-%d", zone+1), number/sizes.Halls, fleet, ""))
	}
	table := settings.Table{Deployment: settings.Deployment{Moves: 5, Rollout: 2, Buffer: 2, MaintainDays: 42}}
	slots := sizes.Boxes * sizes.BoxSlots * neededPercent / percent / sizes.Pools
	for number := range sizes.Pools {
		pool := fmt.Sprintf("pool-%02d", number+1)
		table.Deployment.Pools = append(table.Deployment.Pools, pool)
		for _, suffix := range []string{"a", "b"} {
			table.Services = append(table.Services, settings.NamedRow{Service: pool + "-" + suffix, Row: largeRow(pool, slots/2, sizes)})
		}
	}
	return boxes, table
}

// largeRow returns the row of a service that needs the given number of slots, a tenth of
// them as spare slots. A twentieth of the boxes of its pool, but at least one, may be
// down at once.
func largeRow(pool string, slots int, sizes Sizes) settings.Row {
	const spareDivisor, downDivisor = 10, 20
	row := settings.Row{
		Pool: pool, Weight: 1, Floor: slots - slots/spareDivisor, Spare: slots / spareDivisor, Most: slots * 2,
		Down: max(1, 2*slots/sizes.BoxSlots/downDivisor), Queue: 600, DeadlineMs: 30_000, RunMs: 5000, Repeatable: true,
	}
	for customer := range sizes.Teams {
		row.Quotas = append(row.Quotas, settings.Quota{Team: fmt.Sprintf("team-%03d", customer+1), Weight: 1, Most: slots})
	}
	return row
}

// Fleet is a simulated fleet on which single functions are measured.
type Fleet struct {
	simulation *simulation
}

// NewFleet returns a LargeFleet with its table in force and its boxes enrolled. All
// boxes are in the free pool.
func NewFleet(sizes Sizes) (*Fleet, error) {
	s, err := newSimulation(plan.New)
	if err != nil {
		return nil, err
	}
	boxes, table := LargeFleet(sizes)
	return &Fleet{simulation: s}, s.enroll(boxes, table)
}

// InitialState returns the state of the fleet before the first record of the log is
// applied.
func InitialState() (fleetstate.State, error) {
	return process.InitialState()
}

// State returns the fleet's state after the records applied so far.
func (f *Fleet) State() fleetstate.State {
	return f.simulation.state
}

// MakePlan makes a plan for the fleet and discards it.
func (f *Fleet) MakePlan() {
	plan.New(f.simulation.state, plan.Options{})
}

// PlanUntilStable makes and carries out plans until a plan proposes nothing, but no more
// than 400 plans.
func (f *Fleet) PlanUntilStable() {
	f.simulation.planUntilStable(maxRounds)
}
