package dial

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lossyNetwork loses the first packet of the first connections.
type lossyNetwork struct {
	// lost is how many attempts get no response.
	lost int
	// attempts counts the attempts so far.
	attempts int
	// err is the result of all further attempts, or nil if they succeed.
	err error
}

// dial is a damsonwinch.Dial.
func (n *lossyNetwork) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	n.attempts++
	if n.attempts <= n.lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if n.err != nil {
		return nil, n.err
	}
	local, remote := net.Pipe()
	return local, errors.Join(remote.Close())
}

// TestLostPacketIsRetriedAtOnce checks that a retry doesn't wait for the kernel's retransmission,
// which comes after a second.
func TestLostPacketIsRetriedAtOnce(t *testing.T) {
	network := &lossyNetwork{lost: 1}
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	conn, err := New(network.dial)(ctx, "tcp", "peer")
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	assert.Equal(t, network.attempts, 2)
}

// TestRefusalIsNotRetried checks that a refusal is final, since it means that the peer's process has
// ended.
func TestRefusalIsNotRetried(t *testing.T) {
	refusal := errors.New("connection refused")
	network := &lossyNetwork{err: refusal}
	_, err := New(network.dial)(context.Background(), "tcp", "peer")
	assert.Assert(t, errors.Is(err, refusal))
	assert.Equal(t, network.attempts, 1)
}

// TestSilentPeerFailsAfterAllAttempts also checks that no further attempt follows once the caller's
// context has ended.
func TestSilentPeerFailsAfterAllAttempts(t *testing.T) {
	network := &lossyNetwork{lost: len(attemptTimeouts)}
	_, err := New(network.dial)(context.Background(), "tcp", "peer")
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded))
	assert.Equal(t, network.attempts, len(attemptTimeouts))

	network = &lossyNetwork{lost: len(attemptTimeouts)}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	_, err = New(network.dial)(ctx, "tcp", "peer")
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded))
	assert.Equal(t, network.attempts, 1)
}
