package feed

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/idle"
	"damsonwinch/pkg/metrics"
)

var errResponseLost = errors.New("response lost")

// fakeStore is a store with one keyed stream whose reads call the functions of the test.
type fakeStore struct {
	damsonwinch.Store
	newest func(after string) (damsonwinch.KeyPage, error)
	read   func(ctx context.Context, from int) (damsonwinch.Page, error)
}

func (s *fakeStore) Newest(_ context.Context, _ damsonwinch.Stream, after string) (damsonwinch.KeyPage, error) {
	return s.newest(after)
}

func (s *fakeStore) Read(ctx context.Context, _ damsonwinch.Stream, from int, _ time.Duration) (damsonwinch.Page, error) {
	return s.read(ctx, from)
}

// startFeed runs a feed until the test ends. It returns the feed and a channel with the values that the
// feed passes to its callbacks.
func startFeed(t *testing.T, store *fakeStore, newestOnly bool) (*Feed, <-chan string) {
	logger := logrus.New()
	logger.SetLevel(logrus.ErrorLevel)
	received := make(chan string, 100)
	receive := func(records []damsonwinch.Record) {
		for _, record := range records {
			received <- string(record.Value)
		}
	}
	f := New(Deps{Store: store, Clock: clockwork.NewRealClock(), Logger: logger, Metrics: metrics.New()}, Options{
		Stream: damsonwinch.Stream{Topic: "keyed.test"}, NewestOnly: newestOnly,
		OnSnapshot: func(records []damsonwinch.Record, _ int, _ time.Time) { receive(records) },
		OnRecords:  func(records []damsonwinch.Record, _ int, _ time.Time) { receive(records) },
	})
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { f.Run(ctx); return nil })
	t.Cleanup(func() {
		cancel()
		assert.Check(t, group.Wait())
	})
	return f, received
}

// keyRecord returns one record of the key "key".
func keyRecord(text string) []damsonwinch.Record {
	return []damsonwinch.Record{{Key: "key", Value: []byte(text)}}
}

// TestScanEndsWhateverKeysPagesEndWith guards against a scan that requests one page for ever and keeps all its copies,
// until the process is out of memory: when a page ended with the key "", or with a key that isn't UTF-8.
func TestScanEndsWhateverKeysPagesEndWith(t *testing.T) {
	for _, keys := range [][]string{{"", "a", "b"}, {"a", "a\xff", "a\xff\xff", "b"}, {"\xfe", "\xff"}} {
		requests := 0
		store := &fakeStore{newest: func(after string) (damsonwinch.KeyPage, error) {
			requests++
			assert.Assert(t, requests <= 2*len(keys), "request after %q, keys %q", after, keys)
			next := slices.IndexFunc(keys, func(key string) bool { return after == "" || key > after })
			if next < 0 {
				return damsonwinch.KeyPage{}, nil
			}
			// JSON has U+FFFD in place of invalid bytes, and so has the conversion to runes.
			return damsonwinch.KeyPage{Records: []damsonwinch.Record{{Key: string([]rune(keys[next]))}}, More: next < len(keys)-1}, nil
		}}
		scan := NewScan(store, clockwork.NewRealClock(), damsonwinch.Stream{Topic: "keyed.test"})
		assert.NilError(t, scan.Run(t.Context()))
		records, _, _ := scan.Records()
		for _, key := range keys {
			assert.Assert(t, slices.ContainsFunc(records, func(record damsonwinch.Record) bool { return record.Key == string([]rune(key)) }), "key %q", key)
		}
	}
}

// A store that returns the same page again and again must not fill the memory.
func TestScanFailsOnPageThatDoesNotAdvance(t *testing.T) {
	store := &fakeStore{newest: func(string) (damsonwinch.KeyPage, error) {
		return damsonwinch.KeyPage{Records: keyRecord("again"), More: true}, nil
	}}
	scan := NewScan(store, clockwork.NewRealClock(), damsonwinch.Stream{Topic: "keyed.test"})
	for range 3 {
		assert.ErrorContains(t, scan.Run(t.Context()), `ends with key "key"`)
	}
	records, _, _ := scan.Records()
	assert.Equal(t, len(records), 1)
}

// TestScanResumesAtTheFailedPage guards against a scan that starts again after each error: where one
// page in ten is lost, it would never reach the end of a stream of many pages.
func TestScanResumesAtTheFailedPage(t *testing.T) {
	const pages = 5
	requests := map[string]int{}
	end := 100
	store := &fakeStore{newest: func(after string) (damsonwinch.KeyPage, error) {
		requests[after]++
		end++
		if requests[after] == 1 && after != "" {
			return damsonwinch.KeyPage{}, errResponseLost
		}
		key := after + "k"
		return damsonwinch.KeyPage{Records: []damsonwinch.Record{{Key: key}}, More: len(key) < pages, End: end}, nil
	}}
	scan := NewScan(store, clockwork.NewRealClock(), damsonwinch.Stream{})
	for tries := 1; scan.Run(t.Context()) != nil; tries++ {
		assert.Assert(t, tries < pages)
	}
	records, from, _ := scan.Records()
	assert.Equal(t, len(records), pages)
	assert.Equal(t, from, 101, "the end that came with the first page: later records are read again")
	assert.Equal(t, requests[""], 1, "the first page is read once")
}

// TestSnapshotIsAsOldAsItsFirstPage checks a snapshot whose later page arrives after an outage. Owners of
// cells rely on the age of what they have read, so the snapshot must not seem newer than its first page.
func TestSnapshotIsAsOldAsItsFirstPage(t *testing.T) {
	clock := clockwork.NewFakeClock()
	started, tries := clock.Now(), 0
	store := &fakeStore{
		newest: func(after string) (damsonwinch.KeyPage, error) {
			if after == "" {
				return damsonwinch.KeyPage{Records: keyRecord("first"), More: true, End: 1}, nil
			}
			tries++
			clock.Advance(time.Second)
			if tries < 5 {
				return damsonwinch.KeyPage{}, errResponseLost
			}
			return damsonwinch.KeyPage{Records: []damsonwinch.Record{{Key: "last"}}, End: 1}, nil
		},
		read: func(ctx context.Context, _ int) (damsonwinch.Page, error) {
			<-ctx.Done()
			return damsonwinch.Page{}, ctx.Err()
		},
	}
	received := make(chan time.Time, 1)
	f := New(Deps{Store: store, Clock: clock, Logger: logrus.New(), Metrics: metrics.New()}, Options{
		OnSnapshot: func(_ []damsonwinch.Record, _ int, requestedAt time.Time) { received <- requestedAt },
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for f.readOnce(ctx) != nil {
		assert.Assert(t, tries < 5)
	}
	assert.Equal(t, <-received, started)
}

// TestFeedFarBehindReadsTheNewestRecords checks a feed that needs only the newest record of a key. On a
// slow link the versions in between take longer to read than to write, so a feed that reads them all
// never catches up.
func TestFeedFarBehindReadsTheNewestRecords(t *testing.T) {
	scans := 0
	store := &fakeStore{
		newest: func(string) (damsonwinch.KeyPage, error) {
			scans++
			if scans == 1 {
				return damsonwinch.KeyPage{Records: keyRecord("v1"), End: 1}, nil
			}
			return damsonwinch.KeyPage{Records: keyRecord("v9"), End: 9}, nil
		},
		read: func(ctx context.Context, from int) (damsonwinch.Page, error) {
			if from == 1 {
				return damsonwinch.Page{Records: keyRecord("v2"), End: 9}, nil
			}
			<-ctx.Done()
			return damsonwinch.Page{}, ctx.Err()
		},
	}
	_, received := startFeed(t, store, true)
	for _, want := range []string{"v1", "v2", "v9"} {
		assert.Equal(t, <-received, want)
	}
}

// TestFeedOfManyKeysReadsOnWhenItIsAFewRecordsBehind checks growth: a snapshot has a record for each key. When
// two records to catch up with made the feed read one, each order on a box made the readers of a stream of 6,000
// boxes receive 2 MB.
func TestFeedOfManyKeysReadsOnWhenItIsAFewRecordsBehind(t *testing.T) {
	for _, keys := range []int{100, 200, 400} {
		received, snapshots := 0, 0
		store := &fakeStore{
			newest: func(string) (damsonwinch.KeyPage, error) {
				snapshots++
				received += keys
				return damsonwinch.KeyPage{Records: make([]damsonwinch.Record, keys), End: 1}, nil
			},
			read: func(_ context.Context, from int) (damsonwinch.Page, error) {
				received++
				return damsonwinch.Page{Records: keyRecord("order"), End: from + 11}, nil
			},
		}
		f := New(Deps{Store: store, Clock: clockwork.NewFakeClock(), Logger: logrus.New(), Metrics: metrics.New()}, Options{
			NewestOnly: true, OnSnapshot: func([]damsonwinch.Record, int, time.Time) {}, OnRecords: func([]damsonwinch.Record, int, time.Time) {},
		})
		const reads = 50
		for range reads {
			assert.NilError(t, f.readOnce(t.Context()))
		}
		assert.Equal(t, snapshots, 1, "%d keys", keys)
		assert.Equal(t, received, keys+reads-1)
	}
}

// TestRefreshKeepsAResponseThatHasStarted checks that Refresh cancels only a read without any response.
func TestRefreshKeepsAResponseThatHasStarted(t *testing.T) {
	started, respond, calls := make(chan bool), make(chan struct{}), 0
	store := &fakeStore{
		newest: func(string) (damsonwinch.KeyPage, error) { return damsonwinch.KeyPage{End: 1}, nil },
		read: func(ctx context.Context, from int) (damsonwinch.Page, error) {
			calls++
			if calls > 2 {
				<-ctx.Done()
				return damsonwinch.Page{}, ctx.Err()
			}
			if calls == 2 {
				idle.Received(ctx)
			}
			started <- true
			select {
			case <-ctx.Done():
				return damsonwinch.Page{}, ctx.Err()
			case <-respond:
				return damsonwinch.Page{Records: keyRecord("large"), End: from + 1}, nil
			}
		},
	}
	f, received := startFeed(t, store, false)
	<-started
	f.Refresh()
	<-started
	f.Refresh()
	respond <- struct{}{}
	assert.Equal(t, <-received, "large")
}
