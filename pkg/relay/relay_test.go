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
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/ownership"
	"damsonwinch/pkg/wire"
)

var (
	operatorStream = damsonwinch.Stream{Topic: "keyed.operator"}
	errCut         = errors.New("cut off")
)

// log is a store with one keyed stream, which counts the bytes that it has given.
type log struct {
	damsonwinch.Store
	mutex   sync.Mutex
	records []damsonwinch.Record
	added   chan struct{}
	spent   int
}

func newLog(values ...string) *log {
	l := &log{added: make(chan struct{})}
	for _, value := range values {
		l.add(value)
	}
	return l
}

func (l *log) add(value string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.records = append(l.records, damsonwinch.Record{Key: "configuration", Value: []byte(value), Offset: len(l.records)})
	close(l.added)
	l.added = make(chan struct{})
}

func (l *log) Read(ctx context.Context, _ damsonwinch.Stream, from int, wait time.Duration) (damsonwinch.Page, error) {
	limited, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		l.mutex.Lock()
		page, added := damsonwinch.Page{Records: l.records[from:], End: len(l.records)}, l.added
		for _, record := range page.Records {
			l.spent += len(record.Value)
		}
		l.mutex.Unlock()
		if len(page.Records) > 0 || limited.Err() != nil {
			return page, ctx.Err()
		}
		select {
		case <-added:
		case <-limited.Done():
		}
	}
}

func (l *log) Newest(context.Context, damsonwinch.Stream, string) (damsonwinch.KeyPage, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	newest := l.records[len(l.records)-1]
	l.spent += len(newest.Value)
	return damsonwinch.KeyPage{Records: []damsonwinch.Record{newest}, End: len(l.records)}, nil
}

// fleet is nodes that see each other.
type fleet struct {
	members []ownership.Member
	relays  map[string]*Relay
	clock   clockwork.Clock
	// ask stands for the way from node to node.
	ask func(ctx context.Context, address string, args wire.FollowArgs) (wire.FollowReply, error)
}

// newFleet returns a fleet; each eighth node has a large share of a core.
func newFleet(ctx context.Context, clock clockwork.Clock, store damsonwinch.Store, nodes int) *fleet {
	f := &fleet{relays: map[string]*Relay{}, clock: clock}
	f.ask = func(_ context.Context, address string, args wire.FollowArgs) (wire.FollowReply, error) {
		var reply wire.FollowReply
		err := NewService(ctx, f.relays[address]).Follow(args, &reply)
		return reply, err
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	for number := range nodes {
		name := fmt.Sprintf("node-%03d", number)
		member := ownership.Member{Node: name, Address: name, Weight: 192}
		if number%8 == 0 {
			member.Weight = 800
		}
		f.members = append(f.members, member)
	}
	for _, member := range f.members {
		f.relays[member.Node] = New(Deps{
			Store: store, Clock: clock, Logger: logger, Metrics: metrics.New(),
			Members: func() []ownership.Member { return f.members },
			Follow: func(ctx context.Context, address string, args wire.FollowArgs) (wire.FollowReply, error) {
				return f.ask(ctx, address, args)
			},
		}, member, operatorStream)
	}
	return f
}

// follower returns a node that reads from another one, and that one's name.
func (f *fleet) follower(t *testing.T) (*Relay, string) {
	t.Helper()
	for _, member := range f.members {
		if reader, relayed := f.relays[member.Node].reader(); relayed {
			return f.relays[member.Node], reader
		}
	}
	t.Fatal("nobody reads from another node")
	return nil, ""
}

// TestALargeRecordIsReadOutToAFewNodes: 147 nodes took 1.15 MB each from a store of 80 MB/s,
// 2.1 s in which it served nothing else.
func TestALargeRecordIsReadOutToAFewNodes(t *testing.T) {
	const nodes, size = 147, 1_000_000
	store := newLog("small")
	ctx, cancel := context.WithCancel(t.Context())
	f := newFleet(ctx, clockwork.NewRealClock(), store, nodes)
	var group errgroup.Group
	got := make(chan string, 2*nodes)
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
					got <- string(record.Value[:5])
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
		case what := <-got:
			assert.Equal(t, what, "large")
		case <-time.After(5 * time.Second):
			t.Fatalf("%d of %d nodes have it", served, nodes)
		}
	}
	cancel()
	assert.NilError(t, group.Wait())
	// The root of 147, rounded up.
	const readers = 13
	assert.Assert(t, store.spent <= readers*len(value)+nodes*len("small"), "%d bytes read out, the record has %d", store.spent, len(value))
}

// gated is a log that says nothing before its gate is opened.
type gated struct {
	*log
	gate chan struct{}
}

func (g gated) Newest(ctx context.Context, stream damsonwinch.Stream, after string) (damsonwinch.KeyPage, error) {
	<-g.gate
	return g.log.Newest(ctx, stream, after)
}

// TestAFleetThatStartsAtOnceWaitsForItsReaders, which know nothing yet: nodes that found them so
// twice read the store themselves, all at once.
func TestAFleetThatStartsAtOnceWaitsForItsReaders(t *testing.T) {
	const nodes = 147
	store := gated{log: newLog(strings.Repeat("queue", 1000)), gate: make(chan struct{})}
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
	const readers = 13
	assert.Equal(t, store.spent, readers*5000)
}

func sleep(ctx context.Context, length time.Duration) error {
	select {
	case <-time.After(length):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TestASmallFleetReadsTheStoreItself.
func TestASmallFleetReadsTheStoreItself(t *testing.T) {
	f := newFleet(t.Context(), clockwork.NewFakeClock(), newLog("value"), leastMembers-1)
	for _, r := range f.relays {
		_, relayed := r.reader()
		assert.Assert(t, !relayed)
	}
}

// TestReadersAreThoseWithMostRoom, and the others are spread over them.
func TestReadersAreThoseWithMostRoom(t *testing.T) {
	f := newFleet(t.Context(), clockwork.NewFakeClock(), newLog("value"), 147)
	served := map[string]int{}
	direct := 0
	for _, member := range f.members {
		reader, relayed := f.relays[member.Node].reader()
		if !relayed {
			assert.Equal(t, member.Weight, 800, member.Node)
			direct++
			continue
		}
		served[reader]++
	}
	assert.Equal(t, direct, 13)
	assert.Equal(t, len(served), 13)
	for reader, count := range served {
		assert.Assert(t, count < 25, "%s serves %d", reader, count)
	}
}

// TestAReaderIsNotTakenAtItsWord that is cut off from the store, knows nothing or is behind:
// another one is asked, and then the store.
func TestAReaderIsNotTakenAtItsWord(t *testing.T) {
	for name, answer := range map[string]func(args wire.FollowArgs) (wire.FollowReply, error){
		"cut off": func(wire.FollowArgs) (wire.FollowReply, error) { return wire.FollowReply{}, errCut },
		"of old word": func(args wire.FollowArgs) (wire.FollowReply, error) {
			return wire.FollowReply{Known: true, End: args.Next, AgeMs: 1501}, nil
		},
		"behind": func(args wire.FollowArgs) (wire.FollowReply, error) {
			return wire.FollowReply{Known: true, End: args.Next - 1}, nil
		},
		"which garbles": func(args wire.FollowArgs) (wire.FollowReply, error) {
			return wire.FollowReply{Known: true, End: args.Next + 1, Records: []wire.FollowedRecord{{Key: "k", Packed: "garbled"}}}, nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			store := newLog("one", "two")
			f := newFleet(t.Context(), clock, store, 100)
			r, first := f.follower(t)
			asked := []string{}
			f.ask = func(_ context.Context, address string, args wire.FollowArgs) (wire.FollowReply, error) {
				asked = append(asked, address)
				return answer(args)
			}
			for range mostFailures {
				_, err := r.Read(t.Context(), operatorStream, 1, 0)
				assert.ErrorContains(t, err, "follow keyed.operator/0 at node-")
			}
			assert.Equal(t, asked[0], first)
			assert.Assert(t, asked[1] != first)
			page, err := r.Read(t.Context(), operatorStream, 1, 0)
			assert.NilError(t, err)
			assert.Equal(t, string(page.Records[0].Value), "two")
			assert.Equal(t, len(asked), mostFailures)
			clock.Advance(directTime)
			_, relayed := r.reader()
			assert.Assert(t, relayed, "readers are asked again")
		})
	}
}

// TestWhoIsFarBehindTakesTheNewest: a reader keeps few records.
func TestWhoIsFarBehindTakesTheNewest(t *testing.T) {
	store := newLog("0", "1", "2", "3", "4", "5", "6")
	f := newFleet(t.Context(), clockwork.NewFakeClock(), store, 100)
	r, reader := f.follower(t)
	for next := 0; next < 7; next++ {
		f.relays[reader].tail.add(next, []damsonwinch.Record{{Key: "configuration", Value: []byte(fmt.Sprint(next)), Offset: next}}, next+1, f.clock.Now())
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

// TestATailIsAsOldAsTheStoresWord: of records of which more is to come, nothing is new.
func TestATailIsAsOldAsTheStoresWord(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	tl := newTail()
	reply, err := tl.answer(wire.FollowArgs{}, now)
	assert.NilError(t, err)
	assert.Assert(t, !reply.Known)
	tl.add(0, []damsonwinch.Record{{Key: "a", Value: []byte("1")}}, 1, now)
	tl.add(1, []damsonwinch.Record{{Key: "b", Value: []byte("2")}}, 9, now.Add(time.Second))
	reply, err = tl.answer(wire.FollowArgs{Next: 2}, now.Add(2*time.Second))
	assert.NilError(t, err)
	assert.Equal(t, reply.AgeMs, 2000)
	assert.Equal(t, reply.End, 2)
	// A record without a value drops its key.
	tl.add(2, []damsonwinch.Record{{Key: "a"}}, 3, now)
	reply, err = tl.answer(wire.FollowArgs{Newest: true}, now)
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Records), 1)
}

// FuzzUnpack: what other nodes send is not trusted.
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

// TestABombIsNotUnpacked.
func TestABombIsNotUnpacked(t *testing.T) {
	packed, err := pack(make([]byte, mostValue+1))
	assert.NilError(t, err)
	_, err = unpack(packed)
	assert.ErrorContains(t, err, "more than")
}

// BenchmarkPack packs a configuration of 5,000 queues.
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
