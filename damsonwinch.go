// Package damsonwinch defines the interfaces behind which implementations vary: the platform's
// services, the clock and the policies that make decisions. The implementations are in pkg/ and
// platform/.
package damsonwinch

import (
	"context"
	"net"
	"time"

	"github.com/jonboulle/clockwork"

	"damsonwinch/pkg/wire"
)

// Clock is the source of time for everything that measures time or waits, so that tests can replace
// it.
type Clock = clockwork.Clock

// SuspendedTime returns the total time for which the machine has been suspended since the
// process started. A Clock doesn't count that time. A nil SuspendedTime means that the machine
// is never suspended.
type SuspendedTime func() time.Duration

// Total returns the suspended time, and 0 if s is nil.
func (s SuspendedTime) Total() time.Duration {
	if s == nil {
		return 0
	}
	return s()
}

// NegligibleSuspension is the longest time for which a machine may be suspended without any
// consequence: the safety margins of leases and ownership proofs are longer.
const NegligibleSuspension = 100 * time.Millisecond

// Names of the log streams that the system writes.
const (
	// StreamFleet carries every proposed change to the fleet's state.
	StreamFleet = "fleet"
	// StreamSnapshots carries snapshots of the state that results from applying StreamFleet.
	StreamSnapshots = "snapshots"
	// StreamClaims carries idempotency keys and the outcomes of their requests.
	StreamClaims = "claims"
)

// Log is the platform's append-only log service.
type Log interface {
	// Append adds one record and returns its offset. After an error the record
	// may be in the log all the same, or may still appear there later.
	Append(ctx context.Context, stream, data string) (int, error)
	// Read returns at most maximum records, oldest first, starting at offset from.
	// If there is none yet it waits up to waitMs milliseconds for the first one.
	// If LogPage.First is above from, the records in between have expired.
	Read(ctx context.Context, stream string, from, maximum, waitMs int) (wire.LogPage, error)
}

// BoxLister is the platform's list of boxes. The list lags behind their actual state.
type BoxLister interface {
	// Boxes returns all boxes that the list shows in an availability zone.
	Boxes(ctx context.Context, zone string) ([]wire.ListedBox, error)
}

// BoxControl runs the platform's maintenance on a drained box.
type BoxControl interface {
	// Maintain reboots the box and returns once it serves again.
	Maintain(ctx context.Context, box string) error
}

// Dial opens a connection to an address, which is an IP address and a port.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// RecordSource supplies a follower with the records of StreamFleet.
type RecordSource interface {
	// Name identifies the source in errors and counters.
	Name() string
	// Read returns at most maximum records starting at offset from, or a snapshot if
	// those records have expired. If there is none yet it waits up to waitMs
	// milliseconds for the first one.
	Read(ctx context.Context, from, maximum, waitMs int) (wire.ReadReply, error)
}
