package feed

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/metrics"
)

// crowded is a store with one record, which reads out so many bytes a second in all, in the
// order in which it is asked, also for those who have given up. It refuses while more waits
// than it reads out in two seconds, as the platform's pages have it.
type crowded struct {
	damsonwinch.Store
	bytesPerSecond int
	mutex          sync.Mutex
	value          []byte
	added          chan struct{}
	busyUntil      time.Time
	spent          int
}

func (s *crowded) Newest(ctx context.Context, _ damsonwinch.Stream, _ string) (damsonwinch.KeyPage, error) {
	s.mutex.Lock()
	value := s.value
	s.mutex.Unlock()
	if value == nil {
		return damsonwinch.KeyPage{}, nil
	}
	page, err := s.readOut(ctx, value)
	return damsonwinch.KeyPage{Records: page.Records, End: page.End}, err
}

func (s *crowded) Read(ctx context.Context, _ damsonwinch.Stream, from int, wait time.Duration) (damsonwinch.Page, error) {
	if from > 0 {
		<-ctx.Done()
		return damsonwinch.Page{}, ctx.Err()
	}
	select {
	case <-s.added:
	case <-time.After(wait):
		return damsonwinch.Page{}, nil
	case <-ctx.Done():
		return damsonwinch.Page{}, ctx.Err()
	}
	return s.readOut(ctx, s.value)
}

// readOut waits for its turn and for the answer.
func (s *crowded) readOut(ctx context.Context, value []byte) (damsonwinch.Page, error) {
	s.mutex.Lock()
	now := time.Now()
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	if s.busyUntil.Sub(now) > 2*time.Second {
		s.mutex.Unlock()
		return damsonwinch.Page{}, damsonwinch.ErrRefused
	}
	s.spent += len(value)
	s.busyUntil = s.busyUntil.Add(time.Duration(len(value)) * time.Second / time.Duration(s.bytesPerSecond))
	ready := time.Until(s.busyUntil)
	s.mutex.Unlock()
	select {
	case <-time.After(ready):
		return damsonwinch.Page{Records: []damsonwinch.Record{{Key: "key", Value: value}}, End: 1}, nil
	case <-ctx.Done():
		return damsonwinch.Page{}, ctx.Err()
	}
}

// TestACrowdOfReadersIsServed. A store of 80 MB/s had to give 1.15 MB to each of 147 nodes, and
// later in order than a reading may be silent: all gave up, asked again and were given up by the
// store in turn, until the end of the day. In the same measure, smaller: 8 MB/s, 100 readers,
// 240 KB, 3 s if nothing is read out twice.
func TestACrowdOfReadersIsServed(t *testing.T) {
	const readers, size = 100, 240_000
	store := &crowded{bytesPerSecond: 8_000_000, added: make(chan struct{})}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	got := make(chan struct{}, 10*readers)
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	for range readers {
		f := New(Deps{
			Store: store, Clock: clockwork.NewRealClock(), Logger: logger, Metrics: metrics.New(),
			// The store answers other calls all the time.
			StoreAnsweredAt: time.Now,
		}, Options{
			Stream: damsonwinch.Stream{Topic: "keyed.test"}, Wait: time.Second, NewestOnly: true,
			OnSnapshot: func(records []damsonwinch.Record, _ int, _ time.Time) {
				for range records {
					got <- struct{}{}
				}
			},
			OnRecords: func(records []damsonwinch.Record, _ int, _ time.Time) {
				for range records {
					got <- struct{}{}
				}
			},
		})
		group.Go(func() error { f.Run(ctx); return nil })
	}
	time.Sleep(300 * time.Millisecond)
	store.mutex.Lock()
	store.value = make([]byte, size)
	close(store.added)
	store.mutex.Unlock()

	within := time.After(9 * time.Second)
	served := 0
wait:
	for served < readers {
		select {
		case <-got:
			served++
		case <-within:
			break wait
		}
	}
	cancel()
	assert.NilError(t, group.Wait())
	store.mutex.Lock()
	defer store.mutex.Unlock()
	t.Logf("%d of %d served, %d KB read out for %d KB", served, readers, store.spent/1000, readers*size/1000)
	assert.Equal(t, served, readers)
	assert.Assert(t, store.spent <= 2*readers*size, "read out more than twice")
}
