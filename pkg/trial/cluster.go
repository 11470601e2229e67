package trial

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"damsonwinch"
	"damsonwinch/pkg/fakes"
	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/plan"
	"damsonwinch/pkg/process"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/wire"
)

// Intervals and timeouts of a trial's processes. They are much shorter than the
// defaults, so that many events fit into a run of some seconds. The names of the
// first six are those of the settings.
const (
	leaseMs            = 1500
	driftMs            = 100
	renewMs            = 300
	listMs             = 200
	stopMs             = 300
	snapshotEvery      = 50
	rebootTime         = 300 * time.Millisecond
	downTimeout        = 3 * time.Second
	maintenanceTimeout = 4 * time.Second
	// platformZone and clientZone are the zones of the platform, and of the clients
	// and operators, in the stand-in network.
	platformZone = "platform"
	clientZone   = "callers"
	// addressesPerNode is the number of ports on which a keeper and an entry listen.
	addressesPerNode = 5
	anyLoopbackPort  = "127.0.0.1:0"
)

// Node is a box that runs a keeper and an entry.
type Node struct {
	Name   string
	Zone   string
	keeper settings.Keeper
	entry  settings.Entry

	mutex         sync.Mutex
	keeperProcess *process.Keeper
	entryProcess  *process.Entry
	// stopped means that the entry has been stopped or killed and not started again.
	stopped bool
}

// Cluster is the whole fleet of a user in this process: the stand-in platform, the
// stand-in endpoints and the keepers and entries, which talk to each other over
// loopback sockets.
type Cluster struct {
	User     User
	Seed     uint64
	Platform *fakes.Platform
	Network  *fakes.Network
	// Endpoints are the stand-in endpoints by the names of their boxes.
	Endpoints map[string]*fakes.Endpoint
	// Observations holds the runs and the violations that the endpoints have counted.
	Observations *fakes.Observations
	Nodes        []*Node
	clock        clockwork.Clock
	logger       logrus.FieldLogger
	violations   *violationLog
	// nextPort is the next port that freeAddresses tries, 0 before its first call.
	nextPort int
	// reboot is the function by which the platform reboots a box for its maintenance.
	reboot atomic.Pointer[func(ctx context.Context, box string) error]
}

// NewestSnapshotOffset returns the offset from which a process has to read the log
// after it has restored the newest snapshot, or 0 if there is no snapshot.
func (c *Cluster) NewestSnapshotOffset() int {
	newest := 0
	for _, record := range c.Platform.Log.Peek(damsonwinch.StreamSnapshots, 0, maxSnapshots) {
		var snapshot fleetstate.Snapshot
		if json.Unmarshal([]byte(record.Data), &snapshot) == nil {
			newest = max(newest, snapshot.Offset)
		}
	}
	return newest
}

// maxSnapshots is the maximum number of snapshots that NewestSnapshotOffset reads.
const maxSnapshots = 1000

// SetReboot replaces the function by which the platform reboots a box for its
// maintenance.
func (c *Cluster) SetReboot(reboot func(ctx context.Context, box string) error) {
	c.reboot.Store(&reboot)
}

// violationLog collects the violations of invariants that the processes report.
type violationLog struct {
	mutex   sync.Mutex
	counts  map[string]int // By the name of the invariant.
	details []string
}

// add adds a violation of the named invariant. It is process.Env.OnViolation.
func (l *violationLog) add(name, detail string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.counts[name]++
	l.details = append(l.details, name+": "+detail)
}

// NewCluster starts the stand-ins, and a keeper and an entry on each node. The table
// is still empty then; see StartReady.
func NewCluster(user User, seed uint64, logger logrus.FieldLogger) (*Cluster, error) {
	c := &Cluster{
		User: user, Seed: seed, Network: fakes.NewNetwork(), Endpoints: map[string]*fakes.Endpoint{}, Observations: fakes.NewObservations(),
		clock: clockwork.NewRealClock(), logger: logger, violations: &violationLog{counts: map[string]int{}},
	}
	if err := c.startPlatform(); err != nil {
		return nil, err
	}
	if err := c.startEndpoints(); err != nil {
		return nil, err
	}
	if err := c.configureNodes(); err != nil {
		return nil, err
	}
	for _, node := range c.Nodes {
		if err := c.StartNode(node); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// startPlatform starts the stand-in platform on a free port and sets its address in
// the user's fleet.
func (c *Cluster) startPlatform() error {
	log := fakes.NewLog(c.clock, c.Seed, 0)
	c.SetReboot(func(ctx context.Context, box string) error { return c.Endpoints[box].Reboot(ctx, rebootTime) })
	c.Platform = fakes.NewPlatform(c.clock, log, func(ctx context.Context, box string) error {
		return (*c.reboot.Load())(ctx, box)
	})
	listener, err := net.Listen("tcp", anyLoopbackPort)
	if err != nil {
		return fmt.Errorf("listen for the platform: %w", err)
	}
	c.User.Fleet.Platform = listener.Addr().String()
	c.Network.SetZone(listener.Addr().String(), platformZone)
	c.Platform.Serve(listener)
	return nil
}

// startEndpoints starts a stand-in endpoint for each box of the user's fleet and adds
// the boxes to the platform's list.
func (c *Cluster) startEndpoints() error {
	for _, zone := range c.User.Fleet.Halls {
		for number := range zone.Boxes {
			listener, err := net.Listen("tcp", anyLoopbackPort)
			if err != nil {
				return fmt.Errorf("listen for an endpoint: %w", err)
			}
			info := NewBoxInfo(zone.Name, number, c.User.Fleet, listener.Addr().String())
			c.Network.SetZone(info.Address, zone.Name)
			c.Endpoints[info.Name] = fakes.NewEndpoint(info.Name, c.clock, listener, c.Observations, c.poolOf)
			c.Platform.PutBox(wire.ListedBox{Info: info})
		}
	}
	return nil
}

// NewBoxInfo returns the description of an endpoint box for the platform's list. The
// number is the index of the box in its zone, from 0. The address is the IP address
// and port of its endpoint.
func NewBoxInfo(zone string, number int, fleet settings.Fleet, address string) wire.BoxInfo {
	return wire.BoxInfo{
		Name: fmt.Sprintf("%s-box-%02d", zone, number+1), Hall: zone, Rack: fmt.Sprintf("rack-%02d", number/fleet.RackBoxes+1),
		Address: address, Slots: fleet.BoxSlots,
	}
}

// poolOf returns the pool of a service in the user's first table, or the service's
// own name if it isn't in the table.
func (c *Cluster) poolOf(service string) string {
	for _, row := range c.User.Table.Services {
		if row.Service == service {
			return row.Row.Pool
		}
	}
	return service
}

// configureNodes chooses the addresses of all nodes before any node starts, because
// the settings of each node name the others.
func (c *Cluster) configureNodes() error {
	for _, zone := range c.User.Fleet.Halls {
		for number := range zone.Entries {
			node := &Node{Name: entryName(zone.Name, number), Zone: zone.Name}
			addresses, err := c.freeAddresses(addressesPerNode)
			if err != nil {
				return err
			}
			for _, address := range addresses {
				c.Network.SetZone(address, zone.Name)
			}
			node.keeper = settings.Keeper{
				Node: node.Name, Hall: zone.Name, Halls: c.zoneNames(), Address: addresses[0], DebugAddress: addresses[1],
				Platform: c.User.Fleet.Platform, LeaseMs: leaseMs, DriftMs: driftMs, RenewMs: renewMs, ListMs: listMs, SnapshotEvery: snapshotEvery,
			}
			node.entry = settings.Entry{
				Node: node.Name, Hall: zone.Name, Halls: c.zoneNames(), Address: addresses[2], HttpAddress: addresses[3], DebugAddress: addresses[4],
				Platform: c.User.Fleet.Platform, LeaseMs: leaseMs, RenewMs: renewMs, StopMs: stopMs,
			}
			c.Nodes = append(c.Nodes, node)
		}
	}
	for _, node := range c.Nodes {
		c.addPeers(node)
	}
	return nil
}

func (c *Cluster) zoneNames() []string {
	var names []string
	for _, zone := range c.User.Fleet.Halls {
		names = append(names, zone.Name)
	}
	return names
}

// addPeers adds the other nodes to a node's settings. Its keeper gets all other
// keepers as peers, those of its own zone first. Its entry gets the keepers of its
// zone, the one on its own node first.
func (c *Cluster) addPeers(node *Node) {
	ownKeeper := settings.Peer{Node: node.Name, Hall: node.Zone, Address: node.keeper.Address}
	node.entry.Keepers = []settings.Peer{ownKeeper}
	for _, sameZone := range []bool{true, false} {
		for _, other := range c.Nodes {
			if other == node || (other.Zone == node.Zone) != sameZone {
				continue
			}
			peer := settings.Peer{Node: other.Name, Hall: other.Zone, Address: other.keeper.Address}
			node.keeper.Peers = append(node.keeper.Peers, peer)
			if sameZone {
				node.entry.Keepers = append(node.entry.Keepers, peer)
			}
		}
	}
}

// The ports of the nodes are below those that the operating system assigns to
// outgoing connections. Such a connection could otherwise take a port after it was
// chosen and before it is used, or while a process is replaced. Trials that run at
// the same time start at different ports: each operating system process has one of
// portRanges ranges, by its process ID.
const (
	firstPort       = 15_000
	portsPerProcess = 100
	portRanges      = 150
)

// freeAddresses returns the given number of loopback addresses on whose ports nobody
// listens now.
func (c *Cluster) freeAddresses(count int) ([]string, error) {
	var addresses []string
	for len(addresses) < count {
		if c.nextPort == 0 {
			c.nextPort = firstPort + os.Getpid()%portRanges*portsPerProcess
		}
		address := fmt.Sprintf("127.0.0.1:%d", c.nextPort)
		c.nextPort++
		listener, err := net.Listen("tcp", address)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		_ = listener.Close()
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// processEnv returns the environment of the processes on a node.
func (c *Cluster) processEnv(node *Node) process.Env {
	return process.Env{Clock: c.clock, Dial: c.Network.Dialer(node.Zone), Logger: c.logger, OnViolation: c.violations.add, Seed: c.Seed}
}

// StartNode adds a node to the platform's list and starts its keeper and its entry.
func (c *Cluster) StartNode(node *Node) error {
	c.Platform.PutBox(wire.ListedBox{
		Info:     wire.BoxInfo{Name: node.Name, Hall: node.Zone, Rack: "entry", Address: node.entry.Address, Slots: 1},
		EntryBox: true,
	})
	if err := c.StartKeeper(node); err != nil {
		return err
	}
	return c.StartEntry(node)
}

// StartKeeper starts a new process of a node's keeper.
func (c *Cluster) StartKeeper(node *Node) error {
	started, err := process.NewKeeper(node.keeper, plan.Options{DownTimeout: downTimeout, MaintenanceTimeout: maintenanceTimeout}, c.processEnv(node))
	if err != nil {
		return err
	}
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.keeperProcess = started
	return nil
}

// StartEntry starts a new process of a node's entry.
func (c *Cluster) StartEntry(node *Node) error {
	started, err := process.NewEntry(node.entry, c.processEnv(node))
	if err != nil {
		return err
	}
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.entryProcess, node.stopped = started, false
	return nil
}

// StopEntry makes a planned stop of a node's entry: requests in flight are answered.
// ReadyAddresses leaves the entry out from the beginning of the stop.
func (c *Cluster) StopEntry(ctx context.Context, node *Node) error {
	node.mutex.Lock()
	node.stopped = true
	entry := node.entryProcess
	node.mutex.Unlock()
	return entry.Stop(ctx)
}

// StopKeeper stops a node's keeper at once.
func (c *Cluster) StopKeeper(node *Node) error {
	return node.keeperProcess.Close()
}

// KillEntry ends a node's entry at once, as a crash would.
func (c *Cluster) KillEntry(node *Node) error {
	node.mutex.Lock()
	node.stopped = true
	entry := node.entryProcess
	node.mutex.Unlock()
	return entry.Close()
}

// ReadyAddresses returns the HTTP addresses to which a load balancer sends the
// clients' requests: those of the entries that run and have a table.
func (c *Cluster) ReadyAddresses() []string {
	var addresses []string
	for _, node := range c.Nodes {
		node.mutex.Lock()
		if !node.stopped && node.entryProcess.Metrics.Count("table_version") > 0 {
			addresses = append(addresses, node.entry.HttpAddress)
		}
		node.mutex.Unlock()
	}
	return addresses
}

// Close ends all processes and stand-ins and returns the first error.
func (c *Cluster) Close() error {
	var first error
	keepFirst := func(err error) {
		if first == nil {
			first = err
		}
	}
	for _, node := range c.Nodes {
		if !node.stopped {
			keepFirst(node.entryProcess.Close())
		}
	}
	for _, node := range c.Nodes {
		keepFirst(node.keeperProcess.Close())
	}
	for _, endpoint := range c.Endpoints {
		endpoint.Close()
	}
	c.Platform.Close()
	return first
}
