// Package call makes and serves calls between the system's processes: net/rpc
// with deadlines, and errors that carry step and peer.
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

// dialTimeout bounds the making of a connection, so that a peer that is cut off
// leaves time to ask another.
const dialTimeout = 500 * time.Millisecond

// Error is a call that failed.
type Error struct {
	// Method is the call's name.
	Method string
	// Peer is the address of the called process.
	Peer string
	// MayHaveExecuted says that the call may have been carried out.
	MayHaveExecuted bool
	// Err is the cause.
	Err error
}

// Error returns the step, the peer and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s at %s: %v", e.Method, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// ConnectionRefused says whether the peer's address refused the connection, which shows
// that its process has ended.
func ConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// MayHaveExecuted says whether the failed call may have been carried out.
func MayHaveExecuted(err error) bool {
	var failed *Error
	return !errors.As(err, &failed) || failed.MayHaveExecuted
}

// Client calls one peer over one connection, made anew after a failure.
type Client struct {
	peer  string
	dial  damsonwinch.Dial
	clock damsonwinch.Clock
	// The lock guards only which connection is the present one: net/rpc's
	// client may be used by many goroutines, and a task of its own would stand
	// between each call and its connection.
	mutex sync.Mutex
	conn  *connection
}

// New returns a client that connects upon its first call.
func New(peer string, dial damsonwinch.Dial, clock damsonwinch.Clock) *Client {
	return &Client{peer: peer, dial: dial, clock: clock}
}

// Peer returns the peer's address.
func (c *Client) Peer() string {
	return c.peer
}

// Do makes one call and waits for it until the context ends or the peer is silent: it
// doesn't even answer that it is there. The reply, a pointer, is written only if there
// is no error. A call that is given up is reported as one that may have been carried
// out, since net/rpc can't take a call back.
func (c *Client) Do(ctx context.Context, method string, args, reply any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return &Error{Method: method, Peer: c.peer, Err: err}
	}
	// The answer is decoded into a value of its own: one that comes after the
	// deadline would otherwise be written into what the caller has moved on with,
	// perhaps the reply of another peer.
	answer := reflect.New(reflect.TypeOf(reply).Elem())
	call := conn.client.Go(method, args, answer.Interface(), make(chan *rpc.Call, 1))
	defer c.done(conn)
	watch := c.clock.NewTicker(watchTime)
	defer watch.Stop()
	for {
		select {
		case <-call.Done:
			if call.Error == nil {
				reflect.ValueOf(reply).Elem().Set(answer.Elem())
			}
			conn.heard(c.clock.Now())
			return c.finish(conn, method, call.Error)
		case <-ctx.Done():
			return &Error{Method: method, Peer: c.peer, MayHaveExecuted: true, Err: ctx.Err()}
		case <-watch.Chan():
			if !conn.lives(c.clock.Now()) {
				c.drop(conn)
				return &Error{Method: method, Peer: c.peer, MayHaveExecuted: true, Err: errSilent}
			}
		}
	}
}

// errSilent says that a peer has answered nothing for a while.
var errSilent = errors.New("the peer is silent")

func (c *Client) finish(conn *connection, method string, err error) error {
	if err == nil {
		return nil
	}
	var answered rpc.ServerError
	if !errors.As(err, &answered) {
		c.drop(conn)
	}
	return &Error{Method: method, Peer: c.peer, MayHaveExecuted: true, Err: err}
}

// connect returns a connection on which the caller may make one call.
func (c *Client) connect(ctx context.Context) (*connection, error) {
	if conn := c.present(); conn != nil {
		return conn, nil
	}
	limited, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	made, err := c.dial(limited, "tcp", c.peer)
	if err != nil {
		return nil, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.conn != nil && c.conn.begin(c.clock.Now()) {
		closeQuietly(made)
		return c.conn, nil
	}
	c.conn = &connection{client: rpc.NewClient(made)}
	c.conn.begin(c.clock.Now())
	return c.conn, nil
}

// present returns the present connection, unless it leaves calls unanswered. One
// that a cut has killed would take this call, too, and nobody could tell any more
// whether it has been carried out; a connection that can't be made tells that.
func (c *Client) present() *connection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.conn == nil {
		return nil
	}
	if !c.conn.begin(c.clock.Now()) {
		// Its calls go on; the last of them closes it.
		c.conn = nil
		return nil
	}
	return c.conn
}

// done ends a call on a connection, which is closed with the last one if another
// has taken its place.
func (c *Client) done(conn *connection) {
	c.mutex.Lock()
	current := c.conn == conn
	c.mutex.Unlock()
	if last := conn.end(); last && !current {
		// It may be closed already; there is nothing to do then.
		_ = conn.client.Close()
	}
}

func (c *Client) drop(conn *connection) {
	c.mutex.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mutex.Unlock()
	// The connection may be closed already; there is nothing to do then.
	_ = conn.client.Close()
}

// Close closes the connection.
func (c *Client) Close() {
	c.mutex.Lock()
	conn := c.conn
	c.mutex.Unlock()
	if conn != nil {
		c.drop(conn)
	}
}

func closeQuietly(conn net.Conn) {
	_ = conn.Close()
}
