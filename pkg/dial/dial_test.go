package dial

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lossy is a network that loses the first packet of some connections.
type lossy struct {
	lost  int
	tries int
	err   error
}

func (l *lossy) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	l.tries++
	if l.tries <= l.lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l.err != nil {
		return nil, l.err
	}
	here, there := net.Pipe()
	return here, errors.Join(there.Close())
}

// TestALostPacketIsSentAgain without the kernel's wait of a second.
func TestALostPacketIsSentAgain(t *testing.T) {
	network := &lossy{lost: 1}
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	conn, err := WithRetry(network.dial)(ctx, "tcp", "peer")
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	assert.Equal(t, network.tries, 2)
}

// TestARefusalIsFinal since it tells that the process has ended.
func TestARefusalIsFinal(t *testing.T) {
	refusal := errors.New("connection refused")
	network := &lossy{err: refusal}
	_, err := WithRetry(network.dial)(context.Background(), "tcp", "peer")
	assert.Assert(t, errors.Is(err, refusal))
	assert.Equal(t, network.tries, 1)
}

// TestASilentPeerIsGivenUp after all tries, or with the caller's time.
func TestASilentPeerIsGivenUp(t *testing.T) {
	network := &lossy{lost: len(attempts)}
	_, err := WithRetry(network.dial)(context.Background(), "tcp", "peer")
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded))
	assert.Equal(t, network.tries, len(attempts))

	network = &lossy{lost: len(attempts)}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	_, err = WithRetry(network.dial)(ctx, "tcp", "peer")
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded))
	assert.Equal(t, network.tries, 1)
}
