// Package relay lets the nodes of a large fleet read a stream of large records from each other.
// A store that serves 80 MB/s in all needs 2.1 s to send a record of 1.15 MB to 147 nodes, and
// serves nothing else meanwhile. With this package a few nodes, the upstream nodes, read the stream
// from the store. Each of the others, a follower, reads it from one upstream node, compressed to
// about a tenth.
package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"damsonwinch"
	"damsonwinch/pkg/call"
	"damsonwinch/pkg/membership"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/wire"
)

// ServiceName is the name under which net/rpc serves the calls of followers.
const ServiceName = "Relay"

const (
	// minMembers is the size of the smallest fleet, in nodes, whose nodes read from each other. The
	// store sends a record of one megabyte to fewer nodes within 0.8 s.
	minMembers = 64
	// maxPeerWait bounds how long an upstream node waits for new records before it replies, so
	// that a follower detects within this time that its upstream node is cut off.
	maxPeerWait = 500 * time.Millisecond
	// maxReplyAge is how recently the store must have confirmed the data of a reply for a follower to
	// use it. An upstream node asks the store once a second.
	maxReplyAge = 1500 * time.Millisecond
	// maxConsecutiveFailures is the number of consecutive failures after which a follower reads from the
	// store, for directPeriod.
	maxConsecutiveFailures = 2
	directPeriod           = 5 * time.Second
)

// Deps holds the dependencies of a relay.
type Deps struct {
	// Store is read by upstream nodes, by all nodes of a small fleet, and by followers whose upstream
	// nodes have failed.
	Store   damsonwinch.Store
	Clock   damsonwinch.Clock
	Logger  logrus.FieldLogger
	Metrics *metrics.Set
	// Members returns the nodes that this node knows, including itself. It returns the same slice as long
	// as they haven't changed.
	Members func() []membership.Member
	// Follow calls the method Follow of the node at an address.
	Follow func(ctx context.Context, address string, args wire.FollowArgs) (wire.FollowReply, error)
}

// Relay is a damsonwinch.Store whose Read and Newest get one stream from another node where
// possible. It passes all other calls on to the store.
type Relay struct {
	damsonwinch.Store
	deps   Deps
	self   membership.Member
	stream damsonwinch.Stream
	tail   *tail

	mutex sync.Mutex
	// consecutiveFailures counts the last failed calls in a row, and totalFailures counts all failed calls:
	// each of them makes this node choose the next upstream node. Until directUntil this node reads from
	// the store.
	consecutiveFailures int
	totalFailures       int
	directUntil         time.Time
	// upstreams are the upstream nodes among seenMembers, the newest result of Deps.Members.
	seenMembers []membership.Member
	upstreams   []membership.Member
}

// New returns the relay of the node self for a stream.
func New(deps Deps, self membership.Member, stream damsonwinch.Stream) *Relay {
	return &Relay{Store: deps.Store, deps: deps, self: self, stream: stream, tail: newTail()}
}

// Read implements damsonwinch.Store. It reads the relay's stream from the upstream node, if this node
// has one, and waits there for at most maxPeerWait.
func (r *Relay) Read(ctx context.Context, stream damsonwinch.Stream, from int, wait time.Duration) (damsonwinch.Page, error) {
	if stream != r.stream {
		return r.deps.Store.Read(ctx, stream, from, wait)
	}
	address, relayed := r.upstream()
	if !relayed {
		page, err := r.deps.Store.Read(ctx, stream, from, wait)
		if err == nil {
			r.tail.add(from, page.Records, page.End, r.deps.Clock.Now())
		}
		return page, err
	}
	reply, records, err := r.follow(ctx, address, wire.FollowArgs{Next: from, WaitMs: int(min(wait, maxPeerWait).Milliseconds())})
	switch {
	case err != nil:
		return damsonwinch.Page{}, err
	case !reply.Known:
		// The upstream node no longer holds these records. The caller calls Newest next.
		return damsonwinch.Page{}, damsonwinch.ErrExpired
	}
	r.tail.add(from, records, reply.End, r.confirmedAt(reply))
	return damsonwinch.Page{Records: records, End: reply.End}, nil
}

// Newest implements damsonwinch.Store. It reads the relay's stream from the upstream node, if this node
// has one. A reply that ends before what this node has read is an error: what such a reply lacks may have been
// added since, and must not count as deleted.
func (r *Relay) Newest(ctx context.Context, stream damsonwinch.Stream, after string) (damsonwinch.KeyPage, error) {
	if stream != r.stream {
		return r.deps.Store.Newest(ctx, stream, after)
	}
	address, relayed := r.upstream()
	if !relayed || after != "" {
		page, err := r.deps.Store.Newest(ctx, stream, after)
		if err == nil && after == "" && !page.More {
			r.tail.reset(page.Records, page.End, r.deps.Clock.Now())
		}
		return page, err
	}
	reply, records, err := r.follow(ctx, address, wire.FollowArgs{Newest: true, Next: r.tail.next()})
	if err != nil {
		return damsonwinch.KeyPage{}, err
	}
	r.tail.reset(records, reply.End, r.confirmedAt(reply))
	return damsonwinch.KeyPage{Records: records, End: reply.End}, nil
}

// ConfirmedAt returns when the store last confirmed, directly or through an upstream node, that this
// node has all records of the stream. It returns the zero time if the store never did.
func (r *Relay) ConfirmedAt() time.Time {
	r.tail.mutex.Lock()
	defer r.tail.mutex.Unlock()
	return r.tail.confirmedAt
}

// upstream returns the address of the node from which this one reads; relayed is false if this node
// reads from the store. All nodes that know the same members choose the same upstream nodes: those
// with the largest shares of a core. Of n nodes the square root of n, rounded up, are upstream nodes,
// so that each serves about as many nodes as the store does.
func (r *Relay) upstream() (address string, relayed bool) {
	members := r.deps.Members()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(members) < minMembers || r.deps.Clock.Now().Before(r.directUntil) {
		return "", false
	}
	if !sameSlice(r.seenMembers, members) {
		r.seenMembers, r.upstreams = members, chooseUpstreams(members)
	}
	if slices.ContainsFunc(r.upstreams, func(m membership.Member) bool { return m.Node == r.self.Node }) {
		return "", false
	}
	index := (xxhash.Sum64String(r.self.Node) + uint64(r.totalFailures)) % uint64(len(r.upstreams))
	return r.upstreams[index].Address, true
}

// sameSlice reports whether two slices are the same part of the same array.
func sameSlice(a, b []membership.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// chooseUpstreams returns the upstream nodes among members. Equally strong nodes are ordered by a hash, so
// that the upstream nodes are spread over the availability zones.
func chooseUpstreams(members []membership.Member) []membership.Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(xxhash.Sum64String(a.Node), xxhash.Sum64String(b.Node)), cmp.Compare(a.Node, b.Node))
	})
	return sorted[:int(math.Ceil(math.Sqrt(float64(len(sorted)))))]
}

// Reasons for which a reply of an upstream node is not used.
var (
	errNotReady = errors.New("the peer has read nothing yet")
	errStale    = errors.New("the peer's records are too old")
	errBehind   = errors.New("the peer is behind this node")
)

// follow calls an upstream node and returns its reply with the unpacked records.
func (r *Relay) follow(ctx context.Context, address string, args wire.FollowArgs) (wire.FollowReply, []damsonwinch.Record, error) {
	reply, err := r.deps.Follow(ctx, address, args)
	if err == nil {
		err = checkReply(reply, args)
	}
	if err != nil {
		return reply, nil, r.recordFailure(address, err)
	}
	records, err := unpackRecords(reply)
	if err != nil {
		return reply, nil, r.recordFailure(address, err)
	}
	r.deps.Metrics.Add("relay_reads", 1)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.consecutiveFailures = 0
	return reply, records, nil
}

// checkReply returns an error if a reply of an upstream node must not be used.
func checkReply(reply wire.FollowReply, args wire.FollowArgs) error {
	switch {
	case reply.AgeMs > int(maxReplyAge.Milliseconds()):
		return errStale
	case !reply.Known && (args.Newest || reply.End == 0):
		return errNotReady
	case reply.End < args.Next:
		return errBehind
	}
	return nil
}

// recordFailure makes the next read go to another upstream node, or to the store after
// maxConsecutiveFailures consecutive failures. It logs err and returns it with the stream and the address.
func (r *Relay) recordFailure(address string, err error) error {
	r.deps.Metrics.Add("relay_failures", 1)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.consecutiveFailures++
	r.totalFailures++
	logger := r.deps.Logger.WithError(err).WithFields(logrus.Fields{"stream": r.stream.String(), "peer": address, "failures": r.consecutiveFailures})
	if r.consecutiveFailures >= maxConsecutiveFailures {
		r.consecutiveFailures, r.directUntil = 0, r.deps.Clock.Now().Add(directPeriod)
		logger.Warn("upstream nodes failed, stream is read from the store for a while")
	} else {
		logger.Info("upstream node failed, stream is read from another node")
	}
	return fmt.Errorf("follow %s at %s: %w", r.stream, address, err)
}

// confirmedAt returns when the store confirmed the data of a reply, by this node's clock.
func (r *Relay) confirmedAt(reply wire.FollowReply) time.Time {
	return r.deps.Clock.Now().Add(-time.Duration(reply.AgeMs) * time.Millisecond)
}

// unpackRecords returns the records of a reply with their values decompressed.
func unpackRecords(reply wire.FollowReply) ([]damsonwinch.Record, error) {
	records := make([]damsonwinch.Record, 0, len(reply.Records))
	for _, followed := range reply.Records {
		value, err := unpack(followed.Packed)
		if err != nil {
			return nil, err
		}
		records = append(records, damsonwinch.Record{Key: followed.Key, Offset: followed.Offset, Value: value})
	}
	return records, nil
}

// Peers holds the connections over which followers read from upstream nodes. Calls about jobs use other
// connections, so that they don't wait behind a large record.
type Peers struct {
	dial  damsonwinch.Dial
	clock damsonwinch.Clock
	mutex sync.Mutex
	peers map[string]*call.Client
}

// NewPeers returns Peers without connections. Follow opens a connection to a node when it first calls
// that node.
func NewPeers(dial damsonwinch.Dial, clock damsonwinch.Clock) *Peers {
	return &Peers{dial: dial, clock: clock, peers: map[string]*call.Client{}}
}

// Follow calls the method Follow of the node at an address, over a connection that later calls use
// again.
func (p *Peers) Follow(ctx context.Context, address string, args wire.FollowArgs) (wire.FollowReply, error) {
	p.mutex.Lock()
	client := p.peers[address]
	if client == nil {
		client = call.New(address, p.dial, p.clock)
		p.peers[address] = client
	}
	p.mutex.Unlock()
	var reply wire.FollowReply
	err := client.Do(ctx, ServiceName+".Follow", args, &reply)
	return reply, err
}

// Close closes all connections. Calls in flight fail.
func (p *Peers) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, client := range p.peers {
		client.Close()
	}
}
