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

// overloadedStore is a store with one record. It sends bytesPerSecond in total and serves reads in the
// order in which they arrive, including those that the reader has given up. It refuses further reads
// while its queue takes more than two seconds to serve, as the platform's documentation says.
type overloadedStore struct {
	damsonwinch.Store
	bytesPerSecond int
	mutex          sync.Mutex
	value          []byte
	added          chan struct{}
	busyUntil      time.Time
	bytesRead      int
}

func (s *overloadedStore) Newest(ctx context.Context, _ damsonwinch.Stream, _ string) (damsonwinch.KeyPage, error) {
	s.mutex.Lock()
	value := s.value
	s.mutex.Unlock()
	if value == nil {
		return damsonwinch.KeyPage{}, nil
	}
	page, err := s.serve(ctx, value)
	return damsonwinch.KeyPage{Records: page.Records, End: page.End}, err
}

func (s *overloadedStore) Read(ctx context.Context, _ damsonwinch.Stream, from int, wait time.Duration) (damsonwinch.Page, error) {
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
	return s.serve(ctx, s.value)
}

// serve returns a page with the value once the store has sent it, after all earlier reads.
func (s *overloadedStore) serve(ctx context.Context, value []byte) (damsonwinch.Page, error) {
	s.mutex.Lock()
	now := time.Now()
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	if s.busyUntil.Sub(now) > 2*time.Second {
		s.mutex.Unlock()
		return damsonwinch.Page{}, damsonwinch.ErrRefused
	}
	s.bytesRead += len(value)
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

// TestOverloadedStoreServesAllReaders guards against a retry storm. A store of 80 MB/s that serves
// 1.15 MB to each of 147 nodes answers most of them after their answer timeout. If all give up and
// read again, the store first serves the reads that were given up, and no node ever gets its answer.
// This test has the same proportions at a smaller size: 8 MB/s, 100 readers and 240 KB, which takes
// 3 s if nothing is read twice.
func TestOverloadedStoreServesAllReaders(t *testing.T) {
	const readers, size = 100, 240_000
	store := &overloadedStore{bytesPerSecond: 8_000_000, added: make(chan struct{})}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	received := make(chan struct{}, 10*readers)
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	for range readers {
		f := New(Deps{
			Store: store, Clock: clockwork.NewRealClock(), Logger: logger, Metrics: metrics.New(),
			// The store answers other calls of the node all the time.
			StoreAnsweredAt: time.Now,
		}, Options{
			Stream: damsonwinch.Stream{Topic: "keyed.test"}, Wait: time.Second, NewestOnly: true,
			OnSnapshot: func(records []damsonwinch.Record, _ int, _ time.Time) {
				for range records {
					received <- struct{}{}
				}
			},
			OnRecords: func(records []damsonwinch.Record, _ int, _ time.Time) {
				for range records {
					received <- struct{}{}
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

	timeout := time.After(9 * time.Second)
	served := 0
wait:
	for served < readers {
		select {
		case <-received:
			served++
		case <-timeout:
			break wait
		}
	}
	cancel()
	assert.NilError(t, group.Wait())
	store.mutex.Lock()
	defer store.mutex.Unlock()
	t.Logf("%d of %d readers served, %d KB read for %d KB", served, readers, store.bytesRead/1000, readers*size/1000)
	assert.Equal(t, served, readers)
	assert.Assert(t, store.bytesRead <= 2*readers*size, "the store served the record more than twice per reader")
}
