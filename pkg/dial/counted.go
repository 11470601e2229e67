package dial

import (
	"context"
	"net"

	"damsonwinch"
)

// Counted returns a dial function whose connections report the bytes that they have sent and received. Any
// goroutine may call count.
func Counted(dial damsonwinch.Dial, count func(sent, received int)) damsonwinch.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, count: count}, nil
	}
}

// countedConn is a connection that reports the bytes that it has sent and received.
type countedConn struct {
	net.Conn
	count func(sent, received int)
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(0, n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(n, 0)
	return n, err
}
