package fakes

import (
	"context"
	"net"
	"sync"

	"damsonwinch"
)

// Network connects processes in different availability zones over real sockets, and can cut the links
// between zones. A cut closes the existing connections from one zone to another. While the cut lasts,
// no new connection is established: dialing blocks until its context ends.
type Network struct {
	mutex sync.Mutex
	// zones holds the zone of each address.
	zones map[string]string
	// cuts holds the links that are cut. A link is a pair: the zone that dials, and the zone of the
	// address dialed.
	cuts map[[2]string]bool
	// conns holds the open connections.
	conns map[*trackedConn]bool
}

// trackedConn is a connection that a cut of its link closes.
type trackedConn struct {
	net.Conn
	network *Network
	link    [2]string
}

// NewNetwork returns a network without cuts.
func NewNetwork() *Network {
	return &Network{zones: map[string]string{}, cuts: map[[2]string]bool{}, conns: map[*trackedConn]bool{}}
}

// SetZone sets the zone of an address. An address whose zone was never set is in the zone "".
func (n *Network) SetZone(address, zone string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.zones[address] = zone
}

// Dialer returns the function with which the processes of a zone open connections.
func (n *Network) Dialer(zone string) damsonwinch.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		link, cut := n.link(zone, address)
		if cut {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return n.track(conn, link), nil
	}
}

// link returns the link from a zone to an address, and whether it is cut.
func (n *Network) link(from, address string) ([2]string, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	link := [2]string{from, n.zones[address]}
	return link, n.cuts[link]
}

// track returns the connection as one that a cut of its link closes. It closes the connection at once if
// the link was cut while the connection was being established.
func (n *Network) track(conn net.Conn, link [2]string) net.Conn {
	tracked := &trackedConn{Conn: conn, network: n, link: link}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.conns[tracked] = true
	if n.cuts[link] {
		_ = conn.Close()
	}
	return tracked
}

// Close closes the connection and removes it from those that the network tracks.
func (c *trackedConn) Close() error {
	c.network.mutex.Lock()
	delete(c.network.conns, c)
	c.network.mutex.Unlock()
	return c.Conn.Close()
}

// Cut cuts the link on which processes in one zone open connections to another zone, until Heal. It
// closes the existing connections of the link.
func (n *Network) Cut(from, to string) {
	n.mutex.Lock()
	n.cuts[[2]string{from, to}] = true
	var cut []net.Conn
	for conn := range n.conns {
		if conn.link == [2]string{from, to} {
			cut = append(cut, conn.Conn)
		}
	}
	n.mutex.Unlock()
	for _, conn := range cut {
		_ = conn.Close()
	}
}

// CutBoth cuts the links between two zones in both directions.
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
