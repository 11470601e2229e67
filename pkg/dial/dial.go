// Package dial makes connections on networks that lose the first packet of some.
package dial

import (
	"context"
	"net"
	"time"

	"damsonwinch"
)

// attempts are the times given to one try after the other, from the first on. A peer
// in the same region answers within some milliseconds, and one whose queue of new
// connections is full drops the packet; the kernel sends it again only after a second,
// a new try at once. All together they bound how long a call hangs that was begun
// during a cut.
var attempts = []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond}

// WithRetry returns a dial that tries again where a connection isn't made in time. Refusals
// and other errors are final.
func WithRetry(dial damsonwinch.Dial) damsonwinch.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		var last error
		for _, limit := range attempts {
			conn, err, again := try(ctx, dial, limit, network, address)
			if !again {
				return conn, err
			}
			last = err
		}
		return nil, last
	}
}

// try makes one try, and says whether another one may do better.
func try(ctx context.Context, dial damsonwinch.Dial, limit time.Duration, network, address string) (net.Conn, error, bool) {
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	conn, err := dial(limited, network, address)
	return conn, err, err != nil && limited.Err() != nil && ctx.Err() == nil
}
