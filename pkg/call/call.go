// Package call makes and serves calls between the processes of the system. To net/rpc it adds deadlines, the
// detection of dead connections, and errors that name the method and the peer.
package call

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"syscall"
	"time"

	"damsonwinch"
)

// dialTimeout bounds the time to connect. If a peer can't be reached, there is then time left to call
// another one.
const dialTimeout = 500 * time.Millisecond

// Error is the error of a failed call.
type Error struct {
	// Method is the name of the service and the method, separated by a dot.
	Method string
	// Peer is the address of the called process.
	Peer string
	// MayHaveExecuted is false if the call was certainly not carried out.
	MayHaveExecuted bool
	// Err is the cause.
	Err error
}

// Error returns the method, the peer and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s at %s: %v", e.Method, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// ConnectionRefused reports whether the peer's address refused the connection, which shows that the
// peer's process has ended.
func ConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// MayHaveExecuted reports whether the peer may have carried out a call that failed with err. It returns
// true for an error that isn't an *Error.
func MayHaveExecuted(err error) bool {
	var failed *Error
	return !errors.As(err, &failed) || failed.MayHaveExecuted
}

// Client calls one peer over one connection. After a failure it opens another one.
type Client struct {
	peer  string
	dial  damsonwinch.Dial
	clock damsonwinch.Clock
	// mutex guards conn only. The connection itself needs no lock, since many goroutines may use a
	// net/rpc client at once. Sending all calls through one goroutine would only delay them.
	mutex sync.Mutex
	conn  *connection
}

// New returns a client of the process at the address peer. It connects upon the first call.
func New(peer string, dial damsonwinch.Dial, clock damsonwinch.Clock) *Client {
	return &Client{peer: peer, dial: dial, clock: clock}
}

// Peer returns the peer's address.
func (c *Client) Peer() string {
	return c.peer
}

// Do makes one call of a net/rpc method. It waits for the reply until ctx ends or the peer has answered
// neither calls nor pings for deadAfter. reply is a pointer, to which Do writes only if it returns nil. All
// errors are of type *Error. The error of a call that was given up says that the call may have been carried
// out, since net/rpc can't cancel a call.
func (c *Client) Do(ctx context.Context, method string, args, reply any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return &Error{Method: method, Peer: c.peer, Err: err}
	}
	// The decoded is decoded into a separate value. Otherwise an decoded that comes after Do has
	// returned would be written into the caller's reply, which may hold the decoded of another peer by
	// then.
	decoded := reflect.New(reflect.TypeOf(reply).Elem())
	call := conn.client.Go(method, args, decoded.Interface(), make(chan *rpc.Call, 1))
	defer c.release(conn)
	watch := c.clock.NewTicker(checkInterval)
	defer watch.Stop()
	for {
		select {
		case <-call.Done:
			if call.Error == nil {
				reflect.ValueOf(reply).Elem().Set(decoded.Elem())
			}
			conn.recordReply(c.clock.Now())
			return c.result(conn, method, call.Error)
		case <-ctx.Done():
			return &Error{Method: method, Peer: c.peer, MayHaveExecuted: true, Err: ctx.Err()}
		case <-watch.Chan():
			if !conn.checkAlive(c.clock.Now()) {
				c.discard(conn)
				return &Error{Method: method, Peer: c.peer, MayHaveExecuted: true, Err: errSilent}
			}
		}
	}
}

// errSilent means that the peer has answered neither calls nor pings for deadAfter.
var errSilent = errors.New("the peer is silent")

// result returns the error of Do for a call that net/rpc has finished. It discards the connection
// unless the error came from the called method.
func (c *Client) result(conn *connection, method string, err error) error {
	if err == nil {
		return nil
	}
	var serverErr rpc.ServerError
	if !errors.As(err, &serverErr) {
		c.discard(conn)
	}
	return &Error{Method: method, Peer: c.peer, MayHaveExecuted: true, Err: err}
}

// connect returns a connection on which a call has been begun. The caller ends the call with release.
func (c *Client) connect(ctx context.Context) (*connection, error) {
	if conn := c.usableConnection(); conn != nil {
		return conn, nil
	}
	limited, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	netConn, err := c.dial(limited, "tcp", c.peer)
	if err != nil {
		return nil, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.conn != nil && c.conn.beginCall(c.clock.Now()) {
		closeIgnoringError(netConn)
		return c.conn, nil
	}
	c.conn = &connection{client: rpc.NewClient(netConn)}
	c.conn.beginCall(c.clock.Now())
	return c.conn, nil
}

// usableConnection begins a call on the current connection and returns the connection. It returns nil if
// there is none, or if the peer leaves calls on it unanswered. On a connection that a network failure
// has killed, it would be unknown whether this call was carried out; if a new connection can't be opened,
// it certainly wasn't.
func (c *Client) usableConnection() *connection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.conn == nil {
		return nil
	}
	if !c.conn.beginCall(c.clock.Now()) {
		// The calls on the connection go on. The last of them closes it.
		c.conn = nil
		return nil
	}
	return c.conn
}

// release ends a call on a connection. After the last call it closes the connection if that is no longer
// the current one.
func (c *Client) release(conn *connection) {
	c.mutex.Lock()
	current := c.conn == conn
	c.mutex.Unlock()
	if last := conn.endCall(); last && !current {
		// Close fails if the connection is closed already, which does no harm.
		_ = conn.client.Close()
	}
}

// discard closes a connection. Its pending calls fail.
func (c *Client) discard(conn *connection) {
	c.mutex.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mutex.Unlock()
	// Close fails if the connection is closed already, which does no harm.
	_ = conn.client.Close()
}

// Close closes the current connection, so that calls on it fail. A later call opens another one.
func (c *Client) Close() {
	c.mutex.Lock()
	conn := c.conn
	c.mutex.Unlock()
	if conn != nil {
		c.discard(conn)
	}
}

// closeIgnoringError closes a connection that isn't needed any more. An error would change nothing.
func closeIgnoringError(conn net.Conn) {
	_ = conn.Close()
}
