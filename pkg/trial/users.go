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
		return User{Name: name, Fleet: fleet(hall("alfama", 13, 2), hall("belem", 13, 2), hall("chiado", 12, 1), hall("graca", 12, 1)), Table: lisbonTable()}, nil
	case Podkarpacie:
		return User{Name: name, Fleet: fleet(hall("debica", 17, 2), hall("krosno", 17, 2), hall("rzeszow", 16, 2)), Table: podkarpacieTable()}, nil
	}
	return User{}, fmt.Errorf("unknown users %q; allowed: %v", name, UserNames())
}

const (
	rackBoxes = 4
	boxSlots  = 8
)

func fleet(halls ...settings.Hall) settings.Fleet {
	return settings.Fleet{Halls: halls, RackBoxes: rackBoxes, BoxSlots: boxSlots}
}

func hall(name string, boxes, entries int) settings.Hall {
	return settings.Hall{Name: name, Boxes: boxes, Entries: entries}
}

// line is what differs between the services of the trial's tables.
type line struct {
	service    string
	pool       string
	weight     int
	floor      int
	spare      int
	deadlineMs int
	repeatable bool
}

func (l line) row() settings.NamedRow {
	const most, queue, down, runMs = 200, 600, 2, 1500
	return settings.NamedRow{Service: l.service, Row: settings.Row{
		Pool: l.pool, Weight: l.weight, Floor: l.floor, Spare: l.spare, Most: most, Down: down, Queue: queue,
		DeadlineMs: l.deadlineMs, RunMs: runMs, Repeatable: l.repeatable, AnswerKb: 256, RequestKb: 256,
	}}
}

func tableOf(deployment settings.Deployment, lines ...line) settings.Table {
	table := settings.Table{Deployment: deployment}
	for _, line := range lines {
		table.Services = append(table.Services, line.row())
	}
	return table
}

const (
	shortDeadlineMs = 5_000
	dayDeadlineMs   = 30_000
)

func lisbonTable() settings.Table {
	deployment := settings.Deployment{Pools: []string{"payroll", "returns", "banking"}, Moves: 10, Rollout: 2, Buffer: 1, MaintainDays: 42}
	return tableOf(deployment,
		line{"payslips", "payroll", 4, 64, 8, dayDeadlineMs, true},
		line{"portal", "payroll", 2, 24, 8, shortDeadlineMs, true},
		line{"tax-returns", "returns", 2, 40, 8, dayDeadlineMs, true},
		line{"social-security", "returns", 2, 24, 8, dayDeadlineMs, true},
		line{"bank-files", "banking", 4, 32, 8, shortDeadlineMs, false},
	)
}

func podkarpacieTable() settings.Table {
	deployment := settings.Deployment{Pools: []string{"quoting", "urgent-quoting", "office"}, Moves: 2, Rollout: 5, Buffer: 5, MaintainDays: 42}
	return tableOf(deployment,
		line{"flange-quotes", "quoting", 2, 40, 8, dayDeadlineMs, false},
		line{"valve-quotes", "quoting", 2, 40, 8, dayDeadlineMs, false},
		line{"hydrant-quotes", "urgent-quoting", 4, 32, 8, shortDeadlineMs, false},
		line{"pump-quotes", "urgent-quoting", 4, 24, 8, shortDeadlineMs, false},
		line{"office", "office", 1, 32, 8, dayDeadlineMs, true},
	)
}

// EndpointBoxes describes the endpoint boxes of a fleet, on consecutive ports.
func EndpointBoxes(fleet settings.Fleet) ([]wire.BoxInfo, error) {
	first, err := netip.ParseAddrPort(fleet.Endpoints)
	if err != nil {
		return nil, fmt.Errorf("address of the first endpoint: %w", err)
	}
	var boxes []wire.BoxInfo
	for _, hall := range fleet.Halls {
		for number := range hall.Boxes {
			address := netip.AddrPortFrom(first.Addr(), first.Port()+uint16(len(boxes)))
			boxes = append(boxes, NewBoxInfo(hall.Name, number, fleet, address.String()))
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

func entryName(hall string, number int) string {
	return fmt.Sprintf("%s-entry-%d", hall, number+1)
}
