package standin

import (
	"context"
	"net"
	"sync"

	"damsonwinch"
)

// Network joins halls by real sockets and cuts them on a script. A cut drops
// the connections that stand and leaves new ones without an answer.
type Network struct {
	mutex sync.Mutex
	halls map[string]string
	cuts  map[[2]string]bool
	conns map[*cuttable]bool
}

type cuttable struct {
	net.Conn
	network *Network
	way     [2]string
}

// NewNetwork returns a network without cuts.
func NewNetwork() *Network {
	return &Network{halls: map[string]string{}, cuts: map[[2]string]bool{}, conns: map[*cuttable]bool{}}
}

// SetZone says in which hall an address is.
func (n *Network) SetZone(address, hall string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.halls[address] = hall
}

// Dialer returns the dial function of a process in a hall.
func (n *Network) Dialer(hall string) damsonwinch.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		way, cut := n.way(hall, address)
		if cut {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return n.keep(conn, way), nil
	}
}

func (n *Network) way(from, address string) ([2]string, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	way := [2]string{from, n.halls[address]}
	return way, n.cuts[way]
}

func (n *Network) keep(conn net.Conn, way [2]string) net.Conn {
	kept := &cuttable{Conn: conn, network: n, way: way}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.conns[kept] = true
	if n.cuts[way] {
		_ = conn.Close()
	}
	return kept
}

// Close closes the connection and forgets it.
func (c *cuttable) Close() error {
	c.network.mutex.Lock()
	delete(c.network.conns, c)
	c.network.mutex.Unlock()
	return c.Conn.Close()
}

// Cut parts two halls in the direction of new connections.
func (n *Network) Cut(from, to string) {
	n.mutex.Lock()
	n.cuts[[2]string{from, to}] = true
	var dropped []net.Conn
	for conn := range n.conns {
		if conn.way == [2]string{from, to} {
			dropped = append(dropped, conn.Conn)
		}
	}
	n.mutex.Unlock()
	for _, conn := range dropped {
		_ = conn.Close()
	}
}

// CutBoth parts two halls in both directions.
func (n *Network) CutBoth(one, other string) {
	n.Cut(one, other)
	n.Cut(other, one)
}

// Heal ends every cut.
func (n *Network) Heal() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cuts = map[[2]string]bool{}
}
