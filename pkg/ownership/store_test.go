package ownership

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// memoryStore holds the stream of claims and the group in memory.
type memoryStore struct {
	mutex   sync.Mutex
	claims  []damsonwinch.Record
	members []string
	// full says that the list has no room for the members that are hidden.
	full bool
	// places is the number of partitions of each of the group's topics, 0 for enough,
	// and topics the number of topics that a member deals in.
	places int
	topics map[string]int
	// lives are the nodes that answer, by address, and storeless those of them that the
	// store doesn't answer.
	lives     map[string]Member
	storeless map[string]bool
	// appends counts the claims that were tried, and fail makes the next ones fail
	// with an open outcome.
	appends int
	fail    int
	// hang makes readings of the claims hang until they are given up.
	hang bool
	// hidden are members that the group doesn't list yet.
	hidden map[string]bool
	// works is until when the streams of cells grow.
	works time.Time
	// news is closed and replaced with each claim.
	news chan struct{}
}

var _ damsonwinch.Store = (*memoryStore)(nil)

func newMemoryStore() *memoryStore {
	return &memoryStore{news: make(chan struct{}), topics: map[string]int{}, lives: map[string]Member{}, storeless: map[string]bool{}}
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
		return damsonwinch.ErrConflict
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
func (s *memoryStore) Newest(_ context.Context, stream damsonwinch.Stream, _ string) (damsonwinch.KeyPage, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if stream.Topic != claimTopic {
		return damsonwinch.KeyPage{End: s.workDone()}, nil
	}
	return damsonwinch.KeyPage{Records: slices.Clone(s.claims), End: len(s.claims)}, nil
}

// workDone returns the end of a cell's stream, to which its owner appends each 40 ms.
func (s *memoryStore) workDone() int {
	now := clockwork.NewRealClock().Now()
	if now.After(s.works) {
		now = s.works
	}
	return int(now.UnixMilli() / 40)
}

// Join implements damsonwinch.Store.
func (s *memoryStore) Join(_ context.Context, request damsonwinch.JoinRequest) (damsonwinch.Membership, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !slices.Contains(s.members, request.Member) {
		s.members = append(s.members, request.Member)
	}
	s.topics[request.Member] = len(request.Topics)
	return damsonwinch.Membership{Generation: len(s.members)}, nil
}

// Leave implements damsonwinch.Store.
func (s *memoryStore) Leave(_ context.Context, _, member string) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.members = slices.DeleteFunc(s.members, func(other string) bool { return other == member })
	return nil
}

// Assignments implements damsonwinch.Store.
func (s *memoryStore) Assignments(context.Context, string) ([]damsonwinch.Assignment, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.places > 0 {
		return s.deal(), nil
	}
	var dealt []damsonwinch.Assignment
	for number, member := range s.members {
		if s.hidden[member] {
			continue
		}
		dealt = append(dealt, damsonwinch.Assignment{Stream: damsonwinch.Stream{Topic: groupTopic, Partition: number}, Member: member})
	}
	if len(dealt) > 0 && !s.full {
		dealt = append(dealt, damsonwinch.Assignment{Stream: damsonwinch.Stream{Topic: groupTopic, Partition: len(s.members)}, Member: dealt[0].Member})
	}
	return dealt, nil
}

// deal gives the partitions of all topics to the members that deal in them, evenly.
func (s *memoryStore) deal() []damsonwinch.Assignment {
	var dealt []damsonwinch.Assignment
	held := map[string]int{}
	for topic := range maxTopics {
		for part := range s.places {
			best := ""
			for _, member := range slices.Sorted(slices.Values(s.members)) {
				if s.topics[member] > topic && (best == "" || held[member] < held[best]) {
					best = member
				}
			}
			if best == "" {
				return dealt
			}
			held[best]++
			stream := damsonwinch.Stream{Topic: groupTopic + strconv.Itoa(topic), Partition: part}
			dealt = append(dealt, damsonwinch.Assignment{Stream: stream, Member: best})
		}
	}
	return dealt
}

// ask answers for the node at an address, if it lives.
func (s *memoryStore) ask(address string) (wire.ClaimsReply, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	life, lives := s.lives[address]
	if !lives {
		return wire.ClaimsReply{}, errLost
	}
	reply := wire.ClaimsReply{Node: life.Node, Incarnation: life.Incarnation, AgeMs: int(time.Hour.Milliseconds())}
	if s.storeless[address] {
		reply.StoreAgeMs = int(time.Hour.Milliseconds())
	}
	return reply, nil
}
