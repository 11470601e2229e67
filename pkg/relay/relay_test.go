package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/membership"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/wire"
)

var (
	operatorStream = damsonwinch.Stream{Topic: "keyed.operator"}
	errCut         = errors.New("cut off")
)

// fakeStore is a store with one keyed stream. It counts the bytes that are read from it.
type fakeStore struct {
	damsonwinch.Store
	mutex     sync.Mutex
	records   []damsonwinch.Record
	added     chan struct{}
	bytesRead int
}

// newFakeStore returns a store whose stream has one record for each value, all with the same key.
func newFakeStore(values ...string) *fakeStore {
	s := &fakeStore{added: make(chan struct{})}
	for _, value := range values {
		s.add(value)
	}
	return s
}

func (s *fakeStore) add(value string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.records = append(s.records, damsonwinch.Record{Key: "configuration", Value: []byte(value), Offset: len(s.records)})
	close(s.added)
	s.added = make(chan struct{})
}

func (s *fakeStore) Read(ctx context.Context, _ damsonwinch.Stream, from int, wait time.Duration) (damsonwinch.Page, error) {
	limited, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		s.mutex.Lock()
		page, added := damsonwinch.Page{Records: s.records[from:], End: len(s.records)}, s.added
		for _, record := range page.Records {
			s.bytesRead += len(record.Value)
		}
		s.mutex.Unlock()
		if len(page.Records) > 0 || limited.Err() != nil {
			return page, ctx.Err()
		}
		select {
		case <-added:
		case <-limited.Done():
		}
	}
}

func (s *fakeStore) Newest(context.Context, damsonwinch.Stream, string) (damsonwinch.KeyPage, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	newest := s.records[len(s.records)-1]
	s.bytesRead += len(newest.Value)
	return damsonwinch.KeyPage{Records: []damsonwinch.Record{newest}, End: len(s.records)}, nil
}

// fleet is a set of nodes that all know each other.
type fleet struct {
	members []membership.Member
	relays  map[string]*Relay
	clock   clockwork.Clock
	// follow stands for the net/rpc call from one node to another.
	follow func(ctx context.Context, address string, args wire.FollowArgs) (wire.FollowReply, error)
}

// newFleet returns a fleet in which every eighth node has a large share of a core.
func newFleet(ctx context.Context, clock clockwork.Clock, store damsonwinch.Store, nodes int) *fleet {
	f := &fleet{relays: map[string]*Relay{}, clock: clock}
	f.follow = func(_ context.Context, address string, args wire.FollowArgs) (wire.FollowReply, error) {
		var reply wire.FollowReply
		err := NewService(ctx, f.relays[address]).Follow(args, &reply)
		return reply, err
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	for number := range nodes {
		name := fmt.Sprintf("node-%03d", number)
		member := membership.Member{Node: name, Address: name, Weight: 192}
		if number%8 == 0 {
			member.Weight = 800
		}
		f.members = append(f.members, member)
	}
	for _, member := range f.members {
		f.relays[member.Node] = New(Deps{
			Store: store, Clock: clock, Logger: logger, Metrics: metrics.New(),
			Members: func() []membership.Member { return f.members },
			Follow: func(ctx context.Context, address string, args wire.FollowArgs) (wire.FollowReply, error) {
				return f.follow(ctx, address, args)
			},
		}, member, operatorStream)
	}
	return f
}

// follower returns a node that reads from another one, and the name of its upstream node.
func (f *fleet) follower(t *testing.T) (*Relay, string) {
	t.Helper()
	for _, member := range f.members {
		if upstream, relayed := f.relays[member.Node].upstream(); relayed {
			return f.relays[member.Node], upstream
		}
	}
	t.Fatal("no node reads from another node")
	return nil, ""
}

// TestFewNodesReadALargeRecordFromTheStore guards against a large record that all nodes read from the
// store: 147 nodes that read 1.15 MB each keep a store of 80 MB/s busy for 2.1 s, and it serves
// nothing else meanwhile.
func TestFewNodesReadALargeRecordFromTheStore(t *testing.T) {
	const nodes, size = 147, 1_000_000
	store := newFakeStore("small")
	ctx, cancel := context.WithCancel(t.Context())
	f := newFleet(ctx, clockwork.NewRealClock(), store, nodes)
	var group errgroup.Group
	received := make(chan string, 2*nodes)
	for _, r := range f.relays {
		group.Go(func() error {
			next := -1
			for ctx.Err() == nil {
				if next < 0 {
					page, err := r.Newest(ctx, operatorStream, "")
					if err == nil {
						next = page.End
					} else if err := sleep(ctx, 20*time.Millisecond); err != nil {
						return nil
					}
					continue
				}
				page, err := r.Read(ctx, operatorStream, next, time.Second)
				if err != nil {
					continue
				}
				next += len(page.Records)
				for _, record := range page.Records {
					received <- string(record.Value[:5])
				}
			}
			return nil
		})
	}
	time.Sleep(200 * time.Millisecond)
	value := "large" + strings.Repeat("queue", size/5)
	store.add(value)
	for served := range nodes {
		select {
		case prefix := <-received:
			assert.Equal(t, prefix, "large")
		case <-time.After(5 * time.Second):
			t.Fatalf("%d of %d nodes have received the record", served, nodes)
		}
	}
	cancel()
	assert.NilError(t, group.Wait())
	// The square root of 147, rounded up.
	const upstreams = 13
	assert.Assert(t, store.bytesRead <= upstreams*len(value)+nodes*len("small"), "%d bytes read from the store, the record has %d", store.bytesRead, len(value))
}

// gatedStore is a store whose Newest blocks until the channel gate is closed.
type gatedStore struct {
	*fakeStore
	gate chan struct{}
}

func (g gatedStore) Newest(ctx context.Context, stream damsonwinch.Stream, after string) (damsonwinch.KeyPage, error) {
	<-g.gate
	return g.fakeStore.Newest(ctx, stream, after)
}

// TestFollowersWaitForUpstreamNodesAtStartup guards against followers that all read from the store
// when the whole fleet starts. At that time upstream nodes have read nothing yet. If they said so at
// once, each follower would count maxConsecutiveFailures failures and read from the store.
func TestFollowersWaitForUpstreamNodesAtStartup(t *testing.T) {
	const nodes = 147
	store := gatedStore{fakeStore: newFakeStore(strings.Repeat("queue", 1000)), gate: make(chan struct{})}
	f := newFleet(t.Context(), clockwork.NewRealClock(), store, nodes)
	var group errgroup.Group
	for _, r := range f.relays {
		group.Go(func() error {
			for {
				if _, err := r.Newest(t.Context(), operatorStream, ""); err == nil {
					return nil
				}
				if err := sleep(t.Context(), 20*time.Millisecond); err != nil {
					return err
				}
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	close(store.gate)
	assert.NilError(t, group.Wait())
	const upstreams = 13
	assert.Equal(t, store.bytesRead, upstreams*5000)
}

func sleep(ctx context.Context, length time.Duration) error {
	select {
	case <-time.After(length):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TestSmallFleetReadsFromTheStore checks that nodes of a fleet below minMembers have no upstream node.
func TestSmallFleetReadsFromTheStore(t *testing.T) {
	f := newFleet(t.Context(), clockwork.NewFakeClock(), newFakeStore("value"), minMembers-1)
	for _, r := range f.relays {
		_, relayed := r.upstream()
		assert.Assert(t, !relayed)
	}
}

// TestUpstreamNodesHaveTheLargestWeights also checks that the followers are spread over the
// upstream nodes.
func TestUpstreamNodesHaveTheLargestWeights(t *testing.T) {
	f := newFleet(t.Context(), clockwork.NewFakeClock(), newFakeStore("value"), 147)
	served := map[string]int{}
	direct := 0
	for _, member := range f.members {
		upstream, relayed := f.relays[member.Node].upstream()
		if !relayed {
			assert.Equal(t, member.Weight, 800, member.Node)
			direct++
			continue
		}
		served[upstream]++
	}
	assert.Equal(t, direct, 13)
	assert.Equal(t, len(served), 13)
	for upstream, count := range served {
		assert.Assert(t, count < 25, "%s serves %d nodes", upstream, count)
	}
}

// TestFollowerRejectsUnusableReplies checks that a follower reads from another upstream node, and then
// from the store, after a failed or unusable reply: the upstream node can't be reached, has stale data,
// is behind the follower or sends records that can't be unpacked.
func TestFollowerRejectsUnusableReplies(t *testing.T) {
	for name, respond := range map[string]func(args wire.FollowArgs) (wire.FollowReply, error){
		"cut off": func(wire.FollowArgs) (wire.FollowReply, error) { return wire.FollowReply{}, errCut },
		"stale reply": func(args wire.FollowArgs) (wire.FollowReply, error) {
			return wire.FollowReply{Known: true, End: args.Next, AgeMs: 1501}, nil
		},
		"behind": func(args wire.FollowArgs) (wire.FollowReply, error) {
			return wire.FollowReply{Known: true, End: args.Next - 1}, nil
		},
		"corrupt record": func(args wire.FollowArgs) (wire.FollowReply, error) {
			return wire.FollowReply{Known: true, End: args.Next + 1, Records: []wire.FollowedRecord{{Key: "k", Packed: "garbled"}}}, nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			store := newFakeStore("one", "two")
			f := newFleet(t.Context(), clock, store, 100)
			r, first := f.follower(t)
			calledAddresses := []string{}
			f.follow = func(_ context.Context, address string, args wire.FollowArgs) (wire.FollowReply, error) {
				calledAddresses = append(calledAddresses, address)
				return respond(args)
			}
			for range maxConsecutiveFailures {
				_, err := r.Read(t.Context(), operatorStream, 1, 0)
				assert.ErrorContains(t, err, "follow keyed.operator/0 at node-")
			}
			assert.Equal(t, calledAddresses[0], first)
			assert.Assert(t, calledAddresses[1] != first)
			page, err := r.Read(t.Context(), operatorStream, 1, 0)
			assert.NilError(t, err)
			assert.Equal(t, string(page.Records[0].Value), "two")
			assert.Equal(t, len(calledAddresses), maxConsecutiveFailures)
			clock.Advance(directPeriod)
			_, relayed := r.upstream()
			assert.Assert(t, relayed, "the node reads from an upstream node again")
		})
	}
}

// TestFollowerFarBehindReadsTheNewestRecords checks a follower that asks for records which its upstream
// node no longer keeps: Read returns ErrExpired, and Newest returns the newest records.
func TestFollowerFarBehindReadsTheNewestRecords(t *testing.T) {
	store := newFakeStore("0", "1", "2", "3", "4", "5", "6")
	f := newFleet(t.Context(), clockwork.NewFakeClock(), store, 100)
	r, upstream := f.follower(t)
	for next := 0; next < 7; next++ {
		f.relays[upstream].tail.add(next, []damsonwinch.Record{{Key: "configuration", Value: []byte(fmt.Sprint(next)), Offset: next}}, next+1, f.clock.Now())
	}
	page, err := r.Read(t.Context(), operatorStream, 3, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Records), 4)
	assert.Equal(t, page.Records[3].Offset, 6)
	_, err = r.Read(t.Context(), operatorStream, 2, 0)
	assert.ErrorIs(t, err, damsonwinch.ErrExpired)
	newest, err := r.Newest(t.Context(), operatorStream, "")
	assert.NilError(t, err)
	assert.Equal(t, len(newest.Records), 1)
	assert.Equal(t, string(newest.Records[0].Value), "6")
	assert.Equal(t, newest.End, 7)
}

// TestFollowerRejectsNewestRecordsOfAPeerThatIsBehind guards against an evacuation that ends by itself: a follower that had read it
// took the newest records of an upstream node that hadn't, and what they lacked counted as deleted.
func TestFollowerRejectsNewestRecordsOfAPeerThatIsBehind(t *testing.T) {
	f := newFleet(t.Context(), clockwork.NewFakeClock(), newFakeStore("one", "two"), 100)
	r, _ := f.follower(t)
	end := 2
	f.follow = func(context.Context, string, wire.FollowArgs) (wire.FollowReply, error) {
		return wire.FollowReply{Known: true, End: end}, nil
	}
	_, err := r.Newest(t.Context(), operatorStream, "")
	assert.NilError(t, err)
	end = 1
	_, err = r.Newest(t.Context(), operatorStream, "")
	assert.ErrorIs(t, err, errBehind)
}

// TestTailIsOnlyAsNewAsItsLastConfirmation checks that a read which doesn't reach the end of the stream
// leaves the time of the last confirmation as it is.
func TestTailIsOnlyAsNewAsItsLastConfirmation(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	tl := newTail()
	reply, err := tl.replyTo(wire.FollowArgs{}, now)
	assert.NilError(t, err)
	assert.Assert(t, !reply.Known)
	tl.add(0, []damsonwinch.Record{{Key: "a", Value: []byte("1")}}, 1, now)
	tl.add(1, []damsonwinch.Record{{Key: "b", Value: []byte("2")}}, 9, now.Add(time.Second))
	reply, err = tl.replyTo(wire.FollowArgs{Next: 2}, now.Add(2*time.Second))
	assert.NilError(t, err)
	assert.Equal(t, reply.AgeMs, 2000)
	assert.Equal(t, reply.End, 2)
	// A record without a value deletes its key.
	tl.add(2, []damsonwinch.Record{{Key: "a"}}, 3, now)
	reply, err = tl.replyTo(wire.FollowArgs{Newest: true}, now)
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Records), 1)
}

// FuzzUnpack checks that unpack doesn't panic on any input, since replies of other nodes are not
// trusted. It also checks that a value stays the same when it is packed and unpacked again.
func FuzzUnpack(f *testing.F) {
	for _, value := range []string{"", "a", strings.Repeat("queue", 1000)} {
		packed, err := pack([]byte(value))
		assert.NilError(f, err)
		f.Add(packed)
	}
	f.Fuzz(func(t *testing.T, packed string) {
		value, err := unpack(packed)
		if err != nil {
			return
		}
		again, err := pack(value)
		assert.NilError(t, err)
		back, err := unpack(again)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(back, value))
	})
}

// TestUnpackLimitsTheSizeOfValues checks that a small reply can't be unpacked to a huge value.
func TestUnpackLimitsTheSizeOfValues(t *testing.T) {
	packed, err := pack(make([]byte, maxValueBytes+1))
	assert.NilError(t, err)
	_, err = unpack(packed)
	assert.ErrorContains(t, err, "more than")
}

// BenchmarkPack packs a configuration with 5,000 queues and reports the packed size in percent.
func BenchmarkPack(b *testing.B) {
	var value bytes.Buffer
	for number := range 5000 {
		fmt.Fprintf(&value, `{"name":"r-%x","pool":"lovo22d","priority":%d,"target_ms":600,"extension":1.4,"attempts":3,"host":"jepu%d.example","path":"/defi%d/"},`, number*7919, number%3, number%90, number)
	}
	for b.Loop() {
		packed, err := pack(value.Bytes())
		assert.NilError(b, err)
		b.ReportMetric(float64(len(packed))*100/float64(value.Len()), "%packed")
	}
	b.SetBytes(int64(value.Len()))
}
