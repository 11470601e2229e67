// Package damsonwinch holds the interfaces of behaviour that varies: what the
// platform offers, how time passes and how decisions are made. Implementations
// stand below pkg/.
package damsonwinch

import (
	"context"
	"net"
	"time"

	"github.com/jonboulle/clockwork"

	"damsonwinch/pkg/wire"
)

// Clock is the source of time for everything that decides by it.
type Clock = clockwork.Clock

// SuspendedTime returns for how long the machine has been suspended since the process began, which a
// Clock doesn't count. A nil one says that it never was.
type SuspendedTime func() time.Duration

// Total is the same, also for nil.
func (s SuspendedTime) Total() time.Duration {
	if s == nil {
		return 0
	}
	return s()
}

// NegligibleSuspension is for how long a machine may be suspended without any consequence: the
// margins of leases and proofs are longer.
const NegligibleSuspension = 100 * time.Millisecond

// Names of the log streams that the system keeps.
const (
	// StreamFleet carries every proposal on the fleet.
	StreamFleet = "fleet"
	// StreamSnapshots carries snapshots of the folded state.
	StreamSnapshots = "snapshots"
	// StreamClaims carries idempotency keys and their outcomes.
	StreamClaims = "claims"
)

// Log is the platform's append-only log service.
type Log interface {
	// Append adds one record and returns its offset. After an error the record
	// may still be in the log, now or later.
	Append(ctx context.Context, stream, data string) (int, error)
	// Read returns records from offset from on, oldest first. It waits up to
	// waitMs milliseconds for a first one. Page.First above from says that
	// records have expired.
	Read(ctx context.Context, stream string, from, maximum, waitMs int) (wire.LogPage, error)
}

// BoxLister is the platform's lagging list of boxes.
type BoxLister interface {
	// Boxes returns every box that the list shows of a hall.
	Boxes(ctx context.Context, hall string) ([]wire.ListedBox, error)
}

// BoxControl is the platform's maintenance of a drained box.
type BoxControl interface {
	// Maintain reboots the box and returns once it serves again.
	Maintain(ctx context.Context, box string) error
}

// Dial opens a connection to an address, an IP number and a port.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// RecordSource gives a follower the records of the fleet stream.
type RecordSource interface {
	// Name says who the source is, for errors and counters.
	Name() string
	// Read returns records from offset from on, or a snapshot when those have
	// expired. It waits up to waitMs milliseconds for a first one.
	Read(ctx context.Context, from, maximum, waitMs int) (wire.ReadReply, error)
}
