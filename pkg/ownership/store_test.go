package ownership

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"damsonwinch"
)

// memoryStore holds the stream of claims and the group in memory.
type memoryStore struct {
	mutex   sync.Mutex
	claims  []damsonwinch.Record
	members []string
	// appends counts the claims that were tried, and fail makes the next ones fail
	// with an open outcome.
	appends int
	fail    int
	// hang makes readings of the claims hang until they are given up.
	hang bool
	// hidden are members that the group doesn't list yet.
	hidden map[string]bool
	// news is closed and replaced with each claim.
	news chan struct{}
}

var _ damsonwinch.Store = (*memoryStore)(nil)

func newMemoryStore() *memoryStore {
	return &memoryStore{news: make(chan struct{})}
}

var errLost = errors.New("the answer was lost")

func (s *memoryStore) set(change func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change()
}

// add appends a record as another node would.
func (s *memoryStore) add(record damsonwinch.Record) {
	record.Offset = len(s.claims)
	s.claims = append(s.claims, record)
	close(s.news)
	s.news = make(chan struct{})
}

// Append implements damsonwinch.Store; nobody uses it here.
func (s *memoryStore) Append(context.Context, damsonwinch.Stream, []damsonwinch.Record, damsonwinch.Fence) (int, error) {
	return 0, damsonwinch.ErrRefused
}

// AppendAt implements damsonwinch.Store.
func (s *memoryStore) AppendAt(_ context.Context, _ damsonwinch.Stream, records []damsonwinch.Record, at int) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.appends++
	if s.fail > 0 {
		s.fail--
		return errLost
	}
	if at != len(s.claims) {
		return damsonwinch.ErrMoved
	}
	for _, record := range records {
		s.add(record)
	}
	return nil
}

// Read implements damsonwinch.Store.
func (s *memoryStore) Read(ctx context.Context, _ damsonwinch.Stream, from int, wait time.Duration) (damsonwinch.Page, error) {
	limited, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		s.mutex.Lock()
		hang, news, page := s.hang, s.news, s.page(from)
		s.hang = false
		s.mutex.Unlock()
		if hang {
			<-ctx.Done()
			return damsonwinch.Page{}, ctx.Err()
		}
		if len(page.Records) > 0 {
			return page, nil
		}
		select {
		case <-news:
		case <-limited.Done():
			return page, ctx.Err()
		}
	}
}

func (s *memoryStore) page(from int) damsonwinch.Page {
	return damsonwinch.Page{Records: slices.Clone(s.claims[min(from, len(s.claims)):]), End: len(s.claims)}
}

// Newest implements damsonwinch.Store.
func (s *memoryStore) Newest(context.Context, damsonwinch.Stream, string) (damsonwinch.KeyPage, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return damsonwinch.KeyPage{Records: slices.Clone(s.claims), End: len(s.claims)}, nil
}

// Join implements damsonwinch.Store.
func (s *memoryStore) Join(_ context.Context, request damsonwinch.JoinRequest) (damsonwinch.Membership, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !slices.Contains(s.members, request.Member) {
		s.members = append(s.members, request.Member)
	}
	return damsonwinch.Membership{Generation: len(s.members)}, nil
}

// Leave implements damsonwinch.Store.
func (s *memoryStore) Leave(_ context.Context, _, member string) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.members = slices.DeleteFunc(s.members, func(other string) bool { return other == member })
	return nil
}

// Owners implements damsonwinch.Store.
func (s *memoryStore) Owners(context.Context, string) ([]damsonwinch.Partition, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	dealt := []damsonwinch.Partition{{}}
	for number, member := range s.members {
		if s.hidden[member] {
			continue
		}
		dealt = append(dealt, damsonwinch.Partition{Stream: damsonwinch.Stream{Topic: groupTopic, Partition: number}, Member: member})
	}
	return dealt, nil
}
