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

// gateService is a net/rpc service whose calls block until the test closes the channel open.
type gateService struct {
	entered chan struct{}
	open    chan struct{}
	left    chan struct{}
}

// Ask blocks if number is above 0, and replies with number.
func (g *gateService) Ask(number int, reply *int) error {
	if number > 0 {
		g.entered <- struct{}{}
		<-g.open
		defer close(g.left)
	}
	*reply = number
	return nil
}

// serveGate returns a gateService, a client of it and the server that serves it.
func serveGate(t *testing.T) (*gateService, *Client, *Server) {
	g := &gateService{entered: make(chan struct{}), open: make(chan struct{}), left: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server, err := Serve(listener, "Gate", g)
	assert.NilError(t, err)
	client := New(listener.Addr().String(), (&net.Dialer{}).DialContext, clockwork.NewRealClock())
	return g, client, server
}

// TestLateReplyIsDiscarded checks that a reply isn't written into the caller's reply if it comes after Do
// has returned.
func TestLateReplyIsDiscarded(t *testing.T) {
	g, client, server := serveGate(t)
	ctx, cancel := context.WithCancel(context.Background())
	reply := -1
	var calls errgroup.Group
	calls.Go(func() error { return client.Do(ctx, "Gate.Ask", 7, &reply) })
	<-g.entered
	cancel()

	err := calls.Wait()

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

// TestRefusedConnectionExecutesNothing checks that the error of a call to a process that has ended differs
// from that of a call to a silent peer.
func TestRefusedConnectionExecutesNothing(t *testing.T) {
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

// silentPeer returns a listener that accepts connections and answers neither calls nor pings.
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

// TestSilentConnectionGetsNoNewCalls checks that new calls don't use a silent connection, and that the calls
// on it fail. If no other connection can be opened, the new calls certainly have not been carried out.
func TestSilentConnectionGetsNoNewCalls(t *testing.T) {
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
	var calls errgroup.Group
	var pendingErr error
	calls.Go(func() error {
		pendingErr = client.Do(context.Background(), "Gate.Ask", 7, &reply)
		return nil
	})
	assert.NilError(t, clock.BlockUntilContext(context.Background(), 1))
	clock.Advance(suspectAfter + 1)
	otherReply := -1

	err := client.Do(context.Background(), "Gate.Ask", 0, &otherReply)

	assert.ErrorContains(t, err, "cut off")
	assert.Assert(t, !MayHaveExecuted(err))
	clock.Advance(deadAfter)
	assert.NilError(t, calls.Wait())
	assert.Assert(t, errors.Is(pendingErr, errSilent))
	assert.Assert(t, MayHaveExecuted(pendingErr))
	assert.Equal(t, reply, -1)
	client.Close()
}

// TestSlowCallKeepsItsConnection checks that a slow call is waited for as long as the peer answers pings.
// Without pings, calls that wait for a slow store are given up, and each new call opens a connection.
func TestSlowCallKeepsItsConnection(t *testing.T) {
	g := &gateService{entered: make(chan struct{}), open: make(chan struct{}), left: make(chan struct{})}
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
	var calls errgroup.Group
	calls.Go(func() error { return client.Do(context.Background(), "Gate.Ask", 7, &reply) })
	<-g.entered
	clock.Sleep(2 * deadAfter)
	otherReply := -1
	assert.NilError(t, client.Do(context.Background(), "Gate.Ask", 0, &otherReply))
	close(g.open)
	assert.NilError(t, calls.Wait())
	assert.Equal(t, reply, 7)
	assert.Equal(t, dials, 1)
	client.Close()
	server.Close()
}
