// Package dial retries connection attempts, for networks that lose the first packet of some
// connections.
package dial

import (
	"context"
	"net"
	"time"

	"damsonwinch"
)

// attemptTimeouts holds the timeout of each attempt, in order. A peer in the same region answers
// within some milliseconds. A peer whose queue of new connections is full drops the first packet. The
// kernel retransmits the packet only after a second, whereas a new attempt sends another one at once.
// The sum of the timeouts bounds how long a call hangs that starts during a network partition.
var attemptTimeouts = []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond}

// New returns a Dial that calls dial, and calls it again if no connection is made within the timeout of
// an attempt. It doesn't retry after a refusal or any other error.
func New(dial damsonwinch.Dial) damsonwinch.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		var lastErr error
		for _, timeout := range attemptTimeouts {
			conn, err, retry := try(ctx, dial, timeout, network, address)
			if !retry {
				return conn, err
			}
			lastErr = err
		}
		return nil, lastErr
	}
}

// try makes one attempt. The last result reports whether the attempt failed by its timeout, so that
// another one may succeed.
func try(ctx context.Context, dial damsonwinch.Dial, timeout time.Duration, network, address string) (net.Conn, error, bool) {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := dial(limited, network, address)
	return conn, err, err != nil && limited.Err() != nil && ctx.Err() == nil
}
