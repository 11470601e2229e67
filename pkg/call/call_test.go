package call

import (
	"context"
	"errors"
	"net"
	"testing"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// gate answers a call when it is opened.
type gate struct {
	entered chan struct{}
	open    chan struct{}
	left    chan struct{}
}

// Ask waits for the gate if its argument is above 0, and returns the argument.
func (g *gate) Ask(number int, reply *int) error {
	if number > 0 {
		g.entered <- struct{}{}
		<-g.open
		defer close(g.left)
	}
	*reply = number
	return nil
}

func serveGate(t *testing.T) (*gate, *Client, *Server) {
	g := &gate{entered: make(chan struct{}), open: make(chan struct{}), left: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server, err := Serve(listener, "Gate", g)
	assert.NilError(t, err)
	client := New(listener.Addr().String(), (&net.Dialer{}).DialContext, clockwork.NewRealClock())
	return g, client, server
}

// TestALateAnswerIsNotWritten into what the caller goes on with.
func TestALateAnswerIsNotWritten(t *testing.T) {
	g, client, server := serveGate(t)
	ctx, cancel := context.WithCancel(context.Background())
	reply := -1
	var asking errgroup.Group
	asking.Go(func() error { return client.Do(ctx, "Gate.Ask", 7, &reply) })
	<-g.entered
	cancel()

	err := asking.Wait()

	assert.Assert(t, errors.Is(err, context.Canceled))
	assert.Assert(t, MayHaveExecuted(err))
	close(g.open)
	<-g.left
	assert.Equal(t, reply, -1)
	assert.NilError(t, client.Do(context.Background(), "Gate.Ask", 0, &reply))
	assert.Equal(t, reply, 0)
	client.Close()
	server.Close()
}

// TestARefusedConnectionWasNotSent tells an ended peer from a silent one.
func TestARefusedConnectionWasNotSent(t *testing.T) {
	_, client, server := serveGate(t)
	server.Close()
	reply := 0
	err := client.Do(context.Background(), "Gate.Ask", 1, &reply)
	assert.Assert(t, ConnectionRefused(err), "%v", err)
	assert.Assert(t, !MayHaveExecuted(err))
	var failed *Error
	assert.Assert(t, errors.As(err, &failed))
	assert.Equal(t, failed.Method, "Gate.Ask")
	assert.Equal(t, failed.Peer, client.Peer())
}

// silentPeer takes connections and answers nothing, not even that it is there.
func silentPeer(t *testing.T) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var group errgroup.Group
	group.Go(func() error {
		var conns []net.Conn
		for {
			conn, err := listener.Accept()
			if err != nil {
				break
			}
			conns = append(conns, conn)
		}
		for _, conn := range conns {
			assert.Check(t, conn.Close())
		}
		return nil
	})
	t.Cleanup(func() {
		assert.Check(t, listener.Close())
		assert.Check(t, group.Wait())
	})
	return listener
}

// TestASilentConnectionTakesNoNewCalls so that those are known not to be sent, and
// those on it are given up.
func TestASilentConnectionTakesNoNewCalls(t *testing.T) {
	listener := silentPeer(t)
	clock := clockwork.NewFakeClock()
	dials := 0
	client := New(listener.Addr().String(), func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		if dials > 1 {
			return nil, errors.New("cut off")
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}, clock)
	reply := -1
	var asking errgroup.Group
	var silent error
	asking.Go(func() error {
		silent = client.Do(context.Background(), "Gate.Ask", 7, &reply)
		return nil
	})
	assert.NilError(t, clock.BlockUntilContext(context.Background(), 1))
	clock.Advance(doubtTime + 1)
	other := -1

	err := client.Do(context.Background(), "Gate.Ask", 0, &other)

	assert.ErrorContains(t, err, "cut off")
	assert.Assert(t, !MayHaveExecuted(err))
	clock.Advance(deadTime)
	assert.NilError(t, asking.Wait())
	assert.Assert(t, errors.Is(silent, errSilent))
	assert.Assert(t, MayHaveExecuted(silent))
	assert.Equal(t, reply, -1)
	client.Close()
}

// TestASlowCallIsWaitedFor on the connection that it has: the peer answers that it is
// there. Calls that waited for a slow store were given up, and each new one had a
// connection made.
func TestASlowCallIsWaitedFor(t *testing.T) {
	g := &gate{entered: make(chan struct{}), open: make(chan struct{}), left: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server, err := Serve(listener, "Gate", g)
	assert.NilError(t, err)
	clock := clockwork.NewRealClock()
	dials := 0
	client := New(listener.Addr().String(), func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}, clock)
	reply := -1
	var asking errgroup.Group
	asking.Go(func() error { return client.Do(context.Background(), "Gate.Ask", 7, &reply) })
	<-g.entered
	clock.Sleep(2 * deadTime)
	other := -1
	assert.NilError(t, client.Do(context.Background(), "Gate.Ask", 0, &other))
	close(g.open)
	assert.NilError(t, asking.Wait())
	assert.Equal(t, reply, 7)
	assert.Equal(t, dials, 1)
	client.Close()
	server.Close()
}
