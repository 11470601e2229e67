package feed

import (
	"context"
	"errors"
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

var errLost = errors.New("answer lost")

// stored is a store with one keyed stream, which reads as it is told.
type stored struct {
	damsonwinch.Store
	newest func(after string) (damsonwinch.KeyPage, error)
	read   func(ctx context.Context, from int) (damsonwinch.Page, error)
}

func (s *stored) Newest(_ context.Context, _ damsonwinch.Stream, after string) (damsonwinch.KeyPage, error) {
	return s.newest(after)
}

func (s *stored) Read(ctx context.Context, _ damsonwinch.Stream, from int, _ time.Duration) (damsonwinch.Page, error) {
	return s.read(ctx, from)
}

// follow runs a feed until its test ends, and returns the values that it has given.
func follow(t *testing.T, store *stored, newestOnly bool) (*Feed, <-chan string) {
	logger := logrus.New()
	logger.SetLevel(logrus.ErrorLevel)
	given := make(chan string, 100)
	give := func(records []damsonwinch.Record) {
		for _, record := range records {
			given <- string(record.Value)
		}
	}
	f := New(Deps{Store: store, Clock: clockwork.NewRealClock(), Logger: logger, Metrics: metrics.New()}, Options{
		Stream: damsonwinch.Stream{Topic: "keyed.test"}, NewestOnly: newestOnly,
		OnSnapshot: func(records []damsonwinch.Record, _ int, _ time.Time) { give(records) },
		OnRecords:  func(records []damsonwinch.Record, _ int, _ time.Time) { give(records) },
	})
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { f.Run(ctx); return nil })
	t.Cleanup(func() {
		cancel()
		assert.Check(t, group.Wait())
	})
	return f, given
}

func value(text string) []damsonwinch.Record {
	return []damsonwinch.Record{{Key: "key", Value: []byte(text)}}
}

// TestAScanGoesOnWithThePageThatFailed since one that began anew would read a stream of
// many pages for ever where one page in ten is lost.
func TestAScanGoesOnWithThePageThatFailed(t *testing.T) {
	const pages = 5
	asked := map[string]int{}
	end := 100
	store := &stored{newest: func(after string) (damsonwinch.KeyPage, error) {
		asked[after]++
		end++
		if asked[after] == 1 && after != "" {
			return damsonwinch.KeyPage{}, errLost
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
	assert.Equal(t, from, 101, "the first page's end: what came meanwhile is read again")
	assert.Equal(t, asked[""], 1, "the first page is read once")
}

// TestASnapshotIsAsOldAsItsFirstPage also where a later page came after an outage: who
// goes by the age of what it knows, as owners of cells do, must not take it for newer.
func TestASnapshotIsAsOldAsItsFirstPage(t *testing.T) {
	clock := clockwork.NewFakeClock()
	begun, tries := clock.Now(), 0
	store := &stored{
		newest: func(after string) (damsonwinch.KeyPage, error) {
			if after == "" {
				return damsonwinch.KeyPage{Records: value("first"), More: true, End: 1}, nil
			}
			tries++
			clock.Advance(time.Second)
			if tries < 5 {
				return damsonwinch.KeyPage{}, errLost
			}
			return damsonwinch.KeyPage{Records: []damsonwinch.Record{{Key: "last"}}, End: 1}, nil
		},
		read: func(ctx context.Context, _ int) (damsonwinch.Page, error) {
			<-ctx.Done()
			return damsonwinch.Page{}, ctx.Err()
		},
	}
	given := make(chan time.Time, 1)
	f := New(Deps{Store: store, Clock: clock, Logger: logrus.New(), Metrics: metrics.New()}, Options{
		OnSnapshot: func(_ []damsonwinch.Record, _ int, askedAt time.Time) { given <- askedAt },
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for f.step(ctx) != nil {
		assert.Assert(t, tries < 5)
	}
	assert.Equal(t, <-given, begun)
}

// TestAReaderFarBehindGoesOnWithTheNewest where only the newest record of a key matters:
// on a slow link the versions in between took longer to read than to be written.
func TestAReaderFarBehindGoesOnWithTheNewest(t *testing.T) {
	scans := 0
	store := &stored{
		newest: func(string) (damsonwinch.KeyPage, error) {
			scans++
			if scans == 1 {
				return damsonwinch.KeyPage{Records: value("v1"), End: 1}, nil
			}
			return damsonwinch.KeyPage{Records: value("v9"), End: 9}, nil
		},
		read: func(ctx context.Context, from int) (damsonwinch.Page, error) {
			if from == 1 {
				return damsonwinch.Page{Records: value("v2"), End: 9}, nil
			}
			<-ctx.Done()
			return damsonwinch.Page{}, ctx.Err()
		},
	}
	_, given := follow(t, store, true)
	for _, want := range []string{"v1", "v2", "v9"} {
		assert.Equal(t, <-given, want)
	}
}

// TestRefreshLeavesAnAnswerThatIsComing and ends a reading that is silent.
func TestRefreshLeavesAnAnswerThatIsComing(t *testing.T) {
	begun, answer, calls := make(chan bool), make(chan struct{}), 0
	store := &stored{
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
			begun <- true
			select {
			case <-ctx.Done():
				return damsonwinch.Page{}, ctx.Err()
			case <-answer:
				return damsonwinch.Page{Records: value("large"), End: from + 1}, nil
			}
		},
	}
	f, given := follow(t, store, false)
	<-begun
	f.Refresh()
	<-begun
	f.Refresh()
	answer <- struct{}{}
	assert.Equal(t, <-given, "large")
}
