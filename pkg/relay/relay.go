// Package relay lets the nodes of a large fleet read a stream of large records from each other.
// A store that reads out 80 MB/s in all needs 2.1 s to give a record of 1.15 MB to 147 nodes,
// and serves nothing else meanwhile. Here some nodes read it from the store, and each of the
// others from one of them, compressed to about a tenth.
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
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/ownership"
	"damsonwinch/pkg/wire"
)

// ServiceName is the name of the calls between nodes on a stream.
const ServiceName = "Relay"

const (
	// leastMembers is how many nodes there are at least where nodes read from each other: to
	// fewer the store reads out a megabyte in 0.8 s.
	leastMembers = 64
	// peerWait is the most that a node waits for news at another one: a reader that is cut off
	// is found out by the end of it.
	peerWait = 500 * time.Millisecond
	// mostAge is how old the word of a reader may be. It asks the store each second.
	mostAge = 1500 * time.Millisecond
	// mostFailures is how many readers in a row may fail before the store itself is asked, and
	// directTime how long then.
	mostFailures = 2
	directTime   = 5 * time.Second
)

// Deps are what a relay works with.
type Deps struct {
	// Store is where readers read.
	Store   damsonwinch.Store
	Clock   damsonwinch.Clock
	Logger  logrus.FieldLogger
	Metrics *metrics.Set
	// Members are the nodes that are known.
	Members func() []ownership.Member
	// Follow asks the node at an address.
	Follow func(ctx context.Context, address string, args wire.FollowArgs) (wire.FollowReply, error)
}

// Relay is a node's way to a stream. For that stream its methods stand for those of the store;
// all others are the store's.
type Relay struct {
	damsonwinch.Store
	deps   Deps
	self   ownership.Member
	stream damsonwinch.Stream
	tail   *tail

	mutex sync.Mutex
	// failures are those in a row, shift how many readers they have made the node pass over,
	// and directUntil when it asks readers again.
	failures    int
	shift       int
	directUntil time.Time
}

// New returns a node's relay of a stream.
func New(deps Deps, self ownership.Member, stream damsonwinch.Stream) *Relay {
	return &Relay{Store: deps.Store, deps: deps, self: self, stream: stream, tail: newTail()}
}

// Read implements damsonwinch.Store.
func (r *Relay) Read(ctx context.Context, stream damsonwinch.Stream, from int, wait time.Duration) (damsonwinch.Page, error) {
	if stream != r.stream {
		return r.deps.Store.Read(ctx, stream, from, wait)
	}
	address, relayed := r.reader()
	if !relayed {
		page, err := r.deps.Store.Read(ctx, stream, from, wait)
		if err == nil {
			r.tail.add(from, page.Records, page.End, r.deps.Clock.Now())
		}
		return page, err
	}
	reply, records, err := r.ask(ctx, address, wire.FollowArgs{Next: from, WaitMs: int(min(wait, peerWait).Milliseconds())})
	switch {
	case err != nil:
		return damsonwinch.Page{}, err
	case !reply.Known:
		// Newest is the way to what the reader has.
		return damsonwinch.Page{}, damsonwinch.ErrExpired
	}
	r.tail.add(from, records, reply.End, r.currentAt(reply))
	return damsonwinch.Page{Records: records, End: reply.End}, nil
}

// Newest implements damsonwinch.Store.
func (r *Relay) Newest(ctx context.Context, stream damsonwinch.Stream, after string) (damsonwinch.KeyPage, error) {
	if stream != r.stream {
		return r.deps.Store.Newest(ctx, stream, after)
	}
	address, relayed := r.reader()
	if !relayed || after != "" {
		page, err := r.deps.Store.Newest(ctx, stream, after)
		if err == nil && after == "" && !page.More {
			r.tail.restart(page.Records, page.End, r.deps.Clock.Now())
		}
		return page, err
	}
	reply, records, err := r.ask(ctx, address, wire.FollowArgs{Newest: true})
	if err != nil {
		return damsonwinch.KeyPage{}, err
	}
	r.tail.restart(records, reply.End, r.currentAt(reply))
	return damsonwinch.KeyPage{Records: records, End: reply.End}, nil
}

// ConfirmedAt returns when the store last said that what this node has of the stream is all there
// is; zero if it never did.
func (r *Relay) ConfirmedAt() time.Time {
	r.tail.mutex.Lock()
	defer r.tail.mutex.Unlock()
	return r.tail.currentAt
}

// reader returns the address of the node from which this one reads, if it reads from one. All
// nodes that see the same members find the same readers: those with the largest shares of a
// core, so many that each serves about as many nodes as the store.
func (r *Relay) reader() (address string, relayed bool) {
	members := slices.Clone(r.deps.Members())
	if len(members) < leastMembers {
		return "", false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.deps.Clock.Now().Before(r.directUntil) {
		return "", false
	}
	slices.SortFunc(members, func(a, b ownership.Member) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Node, b.Node))
	})
	readers := members[:int(math.Ceil(math.Sqrt(float64(len(members)))))]
	if slices.ContainsFunc(readers, func(m ownership.Member) bool { return m.Node == r.self.Node }) {
		return "", false
	}
	at := (xxhash.Sum64String(r.self.Node) + uint64(r.shift)) % uint64(len(readers))
	return readers[at].Address, true
}

// Reasons not to take a reader's word.
var (
	errNothingKnown = errors.New("it knows nothing yet")
	errTooOld       = errors.New("its word is too old")
	errBehind       = errors.New("it is behind")
)

// ask asks a reader.
func (r *Relay) ask(ctx context.Context, address string, args wire.FollowArgs) (wire.FollowReply, []damsonwinch.Record, error) {
	reply, err := r.deps.Follow(ctx, address, args)
	if err == nil {
		err = doubt(reply, args)
	}
	if err != nil {
		return reply, nil, r.failed(address, err)
	}
	records, err := recordsOf(reply)
	if err != nil {
		return reply, nil, r.failed(address, err)
	}
	r.deps.Metrics.Add("relay_reads", 1)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.failures = 0
	return reply, records, nil
}

// doubt returns why a reader's word isn't taken.
func doubt(reply wire.FollowReply, args wire.FollowArgs) error {
	switch {
	case reply.AgeMs > int(mostAge.Milliseconds()):
		return errTooOld
	case !reply.Known && (args.Newest || reply.End == 0):
		return errNothingKnown
	case reply.End < args.Next:
		return errBehind
	}
	return nil
}

// failed has another reader asked next time, or the store itself.
func (r *Relay) failed(address string, err error) error {
	r.deps.Metrics.Add("relay_failures", 1)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.failures++
	r.shift++
	line := r.deps.Logger.WithError(err).WithFields(logrus.Fields{"stream": r.stream.String(), "peer": address, "failures": r.failures})
	if r.failures >= mostFailures {
		r.failures, r.directUntil = 0, r.deps.Clock.Now().Add(directTime)
		line.Warn("stream read from the store itself for a while")
	} else {
		line.Info("stream read from another node")
	}
	return fmt.Errorf("follow %s at %s: %w", r.stream, address, err)
}

// currentAt returns since when a reader's word stands.
func (r *Relay) currentAt(reply wire.FollowReply) time.Time {
	return r.deps.Clock.Now().Add(-time.Duration(reply.AgeMs) * time.Millisecond)
}

func recordsOf(reply wire.FollowReply) ([]damsonwinch.Record, error) {
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

// Peers are connections to other nodes for their streams. They are apart from those of jobs,
// which wouldn't want to wait behind a large record.
type Peers struct {
	dial  damsonwinch.Dial
	clock damsonwinch.Clock
	mutex sync.Mutex
	peers map[string]*call.Client
}

// NewPeers returns connections that are made when they are needed.
func NewPeers(dial damsonwinch.Dial, clock damsonwinch.Clock) *Peers {
	return &Peers{dial: dial, clock: clock, peers: map[string]*call.Client{}}
}

// Follow asks the node at an address.
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

// Close closes all connections.
func (p *Peers) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, client := range p.peers {
		client.Close()
	}
}
