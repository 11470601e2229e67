// Package trial is the embedded default: stand-in platform, stand-in endpoints
// and the programs' own packages in one process over real loopback sockets.
package trial

import (
	"fmt"
	"net/netip"

	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/wire"
)

// User is one of the organisations that the trial plays.
type User struct {
	Name  string
	Fleet settings.Fleet
	Table settings.Table
}

// Names of the users.
const (
	Lisbon      = "lisbon"
	Podkarpacie = "podkarpacie"
)

// UserNames returns the names that NewUser knows.
func UserNames() []string {
	return []string{Lisbon, Podkarpacie}
}

// NewUser returns a user's fleet and table, sized as in the users' brief.
func NewUser(name string) (User, error) {
	switch name {
	case Lisbon:
		return User{Name: name, Fleet: newFleet(newZone("alfama", 13, 2), newZone("belem", 13, 2), newZone("chiado", 12, 1), newZone("graca", 12, 1)), Table: lisbonTable()}, nil
	case Podkarpacie:
		return User{Name: name, Fleet: newFleet(newZone("debica", 17, 2), newZone("krosno", 17, 2), newZone("rzeszow", 16, 2)), Table: podkarpacieTable()}, nil
	}
	return User{}, fmt.Errorf("unknown users %q; allowed: %v", name, UserNames())
}

const (
	rackBoxes = 4
	boxSlots  = 8
)

func newFleet(halls ...settings.Hall) settings.Fleet {
	return settings.Fleet{Halls: halls, RackBoxes: rackBoxes, BoxSlots: boxSlots}
}

func newZone(name string, boxes, entries int) settings.Hall {
	return settings.Hall{Name: name, Boxes: boxes, Entries: entries}
}

// serviceSpec is what differs between the services of the trial's tables.
type serviceSpec struct {
	service    string
	pool       string
	weight     int
	floor      int
	spare      int
	deadlineMs int
	repeatable bool
}

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

// EndpointBoxes describes the endpoint boxes of a fleet, on consecutive ports.
func EndpointBoxes(fleet settings.Fleet) ([]wire.BoxInfo, error) {
	firstAddress, err := netip.ParseAddrPort(fleet.Endpoints)
	if err != nil {
		return nil, fmt.Errorf("address of the first endpoint: %w", err)
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

// EntryBoxes describes the entry boxes of a fleet as the platform's list does.
func EntryBoxes(fleet settings.Fleet) []wire.BoxInfo {
	var boxes []wire.BoxInfo
	for _, hall := range fleet.Halls {
		for number := range hall.Entries {
			boxes = append(boxes, wire.BoxInfo{Name: entryName(hall.Name, number), Hall: hall.Name, Rack: "entry", Slots: 1})
		}
	}
	return boxes
}

func entryName(zone string, number int) string {
	return fmt.Sprintf("%s-entry-%d", zone, number+1)
}
