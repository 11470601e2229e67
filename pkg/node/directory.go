package node

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"damsonwinch"
	"damsonwinch/pkg/cellclaim"
	"damsonwinch/pkg/directory"
	"damsonwinch/pkg/owner"
)

const (
	// listUpstreamCount is the number of nodes of a large fleet that read all registrations, for the others
	// too. One of them can be lost while another one starts.
	listUpstreamCount = 3
	// readDirectlyPeriod is how long a node reads the registrations itself after no other node had them.
	readDirectlyPeriod = 5 * time.Second
)

// endpointAccess tells from where a node learns the endpoints of its cells. It is immutable.
type endpointAccess struct {
	// fromStore reports whether the node reads all registrations from the store, and serves whether it does
	// so for other nodes.
	fromStore, serves bool
	// period counts the periods in which the node reads the registrations. It is 0 if fromStore is false.
	period int
	// upstreams holds the addresses of the nodes that it asks otherwise, in order. It is empty if the node
	// doesn't need endpoints.
	upstreams []string
	// cells are the node's cells of pools, in order.
	cells []string
}

// equal reports whether two values are the same, apart from the period.
func (a endpointAccess) equal(other endpointAccess) bool {
	return a.fromStore == other.fromStore && a.serves == other.serves && slices.Equal(a.upstreams, other.upstreams) && slices.Equal(a.cells, other.cells)
}

// readsRegistrations reports whether this node reads all registrations from the store.
func (n *Node) readsRegistrations() bool {
	return n.endpointAccess.Load().fromStore
}

// registrationPeriod returns the number of the period in which this node reads all registrations from the store, or
// 0 if it doesn't read them now.
func (n *Node) registrationPeriod() int {
	return n.endpointAccess.Load().period
}

// chooseEndpointAccess returns from where this node should learn the endpoints of its cells: from the store in a
// small fleet, and in a large one from the owners of a few cells, which read the registrations for all.
func (n *Node) chooseEndpointAccess() endpointAccess {
	var access endpointAccess
	overloadAccepted := false
	for cell, runner := range *n.runners.Load() {
		if _, isOwner := runner.(*owner.Owner); isOwner {
			access.cells = append(access.cells, cell)
			// Lists of other nodes don't tell how old a report of an endpoint's capacity is.
			overloadAccepted = overloadAccepted || !n.rejectsOverload(cell)
		}
	}
	slices.Sort(access.cells)
	upstreams := cellclaim.Upstreams(n.View().Claims, listUpstreamCount, func(cell string) bool { return cell != fleetCell })
	access.serves = slices.ContainsFunc(upstreams, func(claim cellclaim.Claim) bool { return claim.Node == n.options.Self.Node })
	switch {
	case access.serves:
		access.fromStore = true
	case len(access.cells) == 0:
	case len(upstreams) == 0 || overloadAccepted || n.deps.Clock.Now().Before(n.state.readDirectlyUntil):
		access.fromStore = true
	default:
		access.upstreams = n.rotate(upstreams)
	}
	return access
}

// rotate returns the addresses of claims, starting with one that depends on this node, so that each is the first
// choice of about equally many nodes.
func (n *Node) rotate(claims []cellclaim.Claim) []string {
	first := int(xxhash.Sum64String(n.options.Self.Node) % uint64(len(claims)))
	addresses := make([]string, 0, len(claims))
	for index := range claims {
		addresses = append(addresses, claims[(first+index)%len(claims)].Address)
	}
	return addresses
}

// updateEndpointAccess makes this node learn the endpoints of its cells from the right place. It drops what it has
// learned from another place and doesn't follow any more; the owners keep their lists until they get newer ones.
func (n *Node) updateEndpointAccess() {
	before, access := n.endpointAccess.Load(), n.chooseEndpointAccess()
	if !before.equal(access) {
		switch {
		case !access.fromStore:
			n.state.registry.reset()
		case before.fromStore:
			access.period = before.period
		default:
			n.state.registrationPeriods++
			access.period = n.state.registrationPeriods
		}
		n.endpointAccess.Store(&access)
		if !access.serves {
			n.lists.Withdraw()
		}
		n.dropLists(access)
		n.refreshEndpoints()
	}
	if n.assignShards() {
		n.publishLists(true)
		n.sendEndpoints(func(string) bool { return true })
	}
}

// dropLists drops the lists of cells whose endpoints this node doesn't learn from other nodes.
func (n *Node) dropLists(access endpointAccess) {
	for cell := range n.state.listed {
		if len(access.upstreams) == 0 || !slices.Contains(access.cells, cell) {
			delete(n.state.listed, cell)
		}
	}
}

// followDirectory asks other nodes for the endpoints of this node's cells until the node is closed, while they are
// to be learned from there.
func (n *Node) followDirectory() error {
	directory.NewFollower(directory.Deps{
		Clock: n.deps.Clock, Logger: n.deps.Logger, Metrics: n.deps.Metrics, Fetch: n.router.Directory,
	}, directory.Options{
		Upstreams: func() []string { return n.endpointAccess.Load().upstreams },
		Cells:     func() []string { return n.endpointAccess.Load().cells },
		Pause:     n.endpointReadInterval, Wake: n.wakeFollower,
		OnList: func(cell string, endpoints []damsonwinch.Endpoint) {
			n.send(endpointsListed{cell: cell, endpoints: endpoints})
		},
		OnUnreachable: func() { n.send(directoryUnreachable{}) },
	}).Run(n.ctx)
	return nil
}

// applyList passes the list of a cell's endpoints that another node has sent to the owner.
func (n *Node) applyList(m endpointsListed) {
	access := n.endpointAccess.Load()
	if len(access.upstreams) == 0 || !slices.Contains(access.cells, m.cell) {
		return
	}
	n.state.listed[m.cell] = m.endpoints
	if cellOwner, isOwner := (*n.runners.Load())[m.cell].(*owner.Owner); isOwner {
		cellOwner.SetEndpoints(m.endpoints)
	}
}

// readDirectly makes this node read the registrations itself for a while.
func (n *Node) readDirectly() {
	n.state.readDirectlyUntil = n.deps.Clock.Now().Add(readDirectlyPeriod)
	n.updateEndpointAccess()
}

// publishLists makes the lists of all cells' endpoints known to the other nodes, if this node reads the
// registrations for them. changed reports whether the lists may differ from those published before. They are published
// all the same if this node has just begun to serve them.
func (n *Node) publishLists(changed bool) {
	registry := &n.state.registry
	switch {
	case !n.endpointAccess.Load().serves || !n.registryReady():
	case changed, !n.lists.Known():
		n.lists.Publish(registry.allEndpoints(requiredCells(n.state.configuration, n.state.layout), n.state.layout), registry.assignedOffset, registry.requestedAt)
	default:
		n.lists.Confirm(registry.assignedOffset, registry.requestedAt)
	}
}
