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
	"sync/atomic"
	"syscall"
	"time"

	"damsonwinch"
)

// dialTimeout bounds the making of a connection, so that a peer that is cut off
// leaves time to ask another.
const dialTimeout = 500 * time.Millisecond

// Error is a call that failed.
type Error struct {
	// Step is the call's name.
	Step string
	// Peer is the address of the called process.
	Peer string
	// Sent says that the call may have been carried out.
	Sent bool
	// Err is the cause.
	Err error
}

// Error returns the step, the peer and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s at %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Refused says whether the peer's address refused the connection, which shows
// that its process has ended.
func Refused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// MaySent says whether the failed call may have been carried out.
func MaySent(err error) bool {
	var failed *Error
	return !errors.As(err, &failed) || failed.Sent
}

// Client calls one peer over one connection, made anew after a failure.
type Client struct {
	peer string
	dial damsonwinch.Dial
	// The lock guards only which connection is the present one: net/rpc's
	// client may be used by many goroutines, and a task of its own would stand
	// between each call and its connection.
	mutex  sync.Mutex
	client *rpc.Client
	// answered counts answers, to tell a dead connection from a slow call.
	answered atomic.Int64
}

// New returns a client that connects upon its first call.
func New(peer string, dial damsonwinch.Dial) *Client {
	return &Client{peer: peer, dial: dial}
}

// Peer returns the peer's address.
func (c *Client) Peer() string {
	return c.peer
}

// Do makes one call and waits for it until the context ends. The reply, a
// pointer, is written only if there is no error. A call past its deadline is
// reported as one that may have been carried out, since net/rpc can't take a call
// back; it closes the connection unless other calls were answered meanwhile.
func (c *Client) Do(ctx context.Context, method string, args, reply any) error {
	client, err := c.connect(ctx)
	if err != nil {
		return &Error{Step: method, Peer: c.peer, Err: err}
	}
	// The answer is decoded into a value of its own: one that comes after the
	// deadline would otherwise be written into what the caller has moved on with,
	// perhaps the reply of another peer.
	answer := reflect.New(reflect.TypeOf(reply).Elem())
	before := c.answered.Load()
	call := client.Go(method, args, answer.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(answer.Elem())
		}
		c.answered.Add(1)
		return c.finish(client, method, call.Error)
	case <-ctx.Done():
		if c.answered.Load() == before {
			c.drop(client)
		}
		return &Error{Step: method, Peer: c.peer, Sent: true, Err: ctx.Err()}
	}
}

func (c *Client) finish(client *rpc.Client, method string, err error) error {
	if err == nil {
		return nil
	}
	var answered rpc.ServerError
	if !errors.As(err, &answered) {
		c.drop(client)
	}
	return &Error{Step: method, Peer: c.peer, Sent: true, Err: err}
}

func (c *Client) connect(ctx context.Context) (*rpc.Client, error) {
	if client := c.present(); client != nil {
		return client, nil
	}
	limited, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dial(limited, "tcp", c.peer)
	if err != nil {
		return nil, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.client != nil {
		closeQuietly(conn)
		return c.client, nil
	}
	c.client = rpc.NewClient(conn)
	return c.client, nil
}

func (c *Client) present() *rpc.Client {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.client
}

func (c *Client) drop(client *rpc.Client) {
	c.mutex.Lock()
	if c.client == client {
		c.client = nil
	}
	c.mutex.Unlock()
	// The connection may be closed already; there is nothing to do then.
	_ = client.Close()
}

// Close closes the connection.
func (c *Client) Close() {
	if client := c.present(); client != nil {
		c.drop(client)
	}
}

func closeQuietly(conn net.Conn) {
	_ = conn.Close()
}
