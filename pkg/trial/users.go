// Package trial runs a whole fleet in one process: keepers, entries, a stand-in
// platform and stand-in endpoints, which talk to each other over real loopback
// sockets. It takes the fleet through a scenario of edits, moves, maintenance and
// faults under load, and counts the violations of the system's guarantees.
package trial

import (
	"fmt"
	"net/netip"

	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/wire"
)

// User is an organisation that uses damsonwinch, with its fleet and its table.
type User struct {
	Name  string
	Fleet settings.Fleet
	// Table is the first table that the user's operators publish.
	Table settings.Table
}

// Names of the users.
const (
	Lisbon      = "lisbon"
	Podkarpacie = "podkarpacie"
)

// UserNames returns the names that NewUser accepts.
func UserNames() []string {
	return []string{Lisbon, Podkarpacie}
}

// NewUser returns the user with the given name. The sizes of its fleet and its table
// are those that the user stated in its requirements.
func NewUser(name string) (User, error) {
	switch name {
	case Lisbon:
		return User{Name: name, Fleet: newFleet(newZone("alfama", 13, 2), newZone("belem", 13, 2), newZone("chiado", 12, 1), newZone("graca", 12, 1)), Table: lisbonTable()}, nil
	case Podkarpacie:
		return User{Name: name, Fleet: newFleet(newZone("debica", 17, 2), newZone("krosno", 17, 2), newZone("rzeszow", 16, 2)), Table: podkarpacieTable()}, nil
	}
	return User{}, fmt.Errorf("unknown user %q; allowed: %v", name, UserNames())
}

const (
	rackBoxes = 4
	boxSlots  = 8
)

func newFleet(zones ...settings.Hall) settings.Fleet {
	return settings.Fleet{Halls: zones, RackBoxes: rackBoxes, BoxSlots: boxSlots}
}

// newZone returns a zone with the given numbers of endpoint boxes and entry boxes.
func newZone(name string, boxes, entries int) settings.Hall {
	return settings.Hall{Name: name, Boxes: boxes, Entries: entries}
}

// serviceSpec has the settings in which the services of the trial's tables differ.
// settings.Row describes them.
type serviceSpec struct {
	service    string
	pool       string
	weight     int
	floor      int // In slots, as spare.
	spare      int
	deadlineMs int
	repeatable bool
}

// namedRow returns the row of the service. All other settings are the same for all
// services.
func (s serviceSpec) namedRow() settings.NamedRow {
	const maxSlots, queueLimit, maxDown, runMs = 200, 600, 2, 1500
	return settings.NamedRow{Service: s.service, Row: settings.Row{
		Pool: s.pool, Weight: s.weight, Floor: s.floor, Spare: s.spare, Most: maxSlots, Down: maxDown, Queue: queueLimit,
		DeadlineMs: s.deadlineMs, RunMs: runMs, Repeatable: s.repeatable, AnswerKb: 256, RequestKb: 256,
	}}
}

func newTable(deployment settings.Deployment, specs ...serviceSpec) settings.Table {
	table := settings.Table{Deployment: deployment}
	for _, spec := range specs {
		table.Services = append(table.Services, spec.namedRow())
	}
	return table
}

const (
	shortDeadlineMs = 5_000
	longDeadlineMs  = 30_000
)

func lisbonTable() settings.Table {
	deployment := settings.Deployment{Pools: []string{"payroll", "returns", "banking"}, Moves: 10, Rollout: 2, Buffer: 1, MaintainDays: 42}
	return newTable(deployment,
		serviceSpec{"payslips", "payroll", 4, 64, 8, longDeadlineMs, true},
		serviceSpec{"portal", "payroll", 2, 24, 8, shortDeadlineMs, true},
		serviceSpec{"tax-returns", "returns", 2, 40, 8, longDeadlineMs, true},
		serviceSpec{"social-security", "returns", 2, 24, 8, longDeadlineMs, true},
		serviceSpec{"bank-files", "banking", 4, 32, 8, shortDeadlineMs, false},
	)
}

func podkarpacieTable() settings.Table {
	deployment := settings.Deployment{Pools: []string{"quoting", "urgent-quoting", "office"}, Moves: 2, Rollout: 5, Buffer: 5, MaintainDays: 42}
	return newTable(deployment,
		serviceSpec{"flange-quotes", "quoting", 2, 40, 8, longDeadlineMs, false},
		serviceSpec{"valve-quotes", "quoting", 2, 40, 8, longDeadlineMs, false},
		serviceSpec{"hydrant-quotes", "urgent-quoting", 4, 32, 8, shortDeadlineMs, false},
		serviceSpec{"pump-quotes", "urgent-quoting", 4, 24, 8, shortDeadlineMs, false},
		serviceSpec{"office", "office", 1, 32, 8, longDeadlineMs, true},
	)
}

// EndpointBoxes returns the descriptions of a fleet's endpoint boxes for the platform's
// list. The first box has the address fleet.Endpoints, and the others the ports that
// follow.
func EndpointBoxes(fleet settings.Fleet) ([]wire.BoxInfo, error) {
	firstAddress, err := netip.ParseAddrPort(fleet.Endpoints)
	if err != nil {
		return nil, fmt.Errorf("parse the address of the first endpoint: %w", err)
	}
	var boxes []wire.BoxInfo
	for _, zone := range fleet.Halls {
		for number := range zone.Boxes {
			address := netip.AddrPortFrom(firstAddress.Addr(), firstAddress.Port()+uint16(len(boxes)))
			boxes = append(boxes, NewBoxInfo(zone.Name, number, fleet, address.String()))
		}
	}
	return boxes, nil
}

// EntryBoxes returns the descriptions of a fleet's entry boxes for the platform's list,
// without addresses.
func EntryBoxes(fleet settings.Fleet) []wire.BoxInfo {
	var boxes []wire.BoxInfo
	for _, zone := range fleet.Halls {
		for number := range zone.Entries {
			boxes = append(boxes, wire.BoxInfo{Name: entryName(zone.Name, number), Hall: zone.Name, Rack: "entry", Slots: 1})
		}
	}
	return boxes
}

// entryName returns the name of the entry box with an index, from 0, in a zone.
func entryName(zone string, number int) string {
	return fmt.Sprintf("%s-entry-%d", zone, number+1)
}
