package ownership

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"damsonwinch"
	"damsonwinch/pkg/cellclaim"
	"damsonwinch/pkg/membership"
	"damsonwinch/pkg/wire"
)

// memoryStore is a store that holds the stream of claims and the group in memory.
type memoryStore struct {
	// healthChecks counts the requests for the claims of nodes, which serve as health checks.
	healthChecks atomic.Int64
	mutex        sync.Mutex
	claims       []damsonwinch.Record
	members      []string
	// listFull leaves no spare partition, as if the group had a member for each partition.
	listFull bool
	// partitionsPerTopic is the number of partitions of each of the group's topics, or 0 for enough, and
	// topicCounts the number of topics to which each member subscribes.
	partitionsPerTopic int
	topicCounts        map[string]int
	// replying holds the nodes that reply to health checks, and cutOff those of them that are cut off
	// from the store, both by address.
	replying map[string]membership.Member
	cutOff   map[string]bool
	// appends counts the appends that were tried. The next ones, as many as failures, fail with an
	// unknown outcome.
	appends  int
	failures int
	// overtaking is a record, or nil, that another node appends just before the next append.
	overtaking *damsonwinch.Record
	// delayAnswer is called, if it is set, between the next append that succeeds and the answer to it.
	delayAnswer func()
	// appendTime is how long an append takes. Appends are carried out in turns, one after the other.
	appendTime time.Duration
	appendTurn sync.Mutex
	// claimReads counts the reads of the claims.
	claimReads int
	// readTime is how long the store takes to answer a read of the claims that finds a record.
	readTime time.Duration
	// hangNextRead makes the next read of the claims hang until it is cancelled.
	hangNextRead bool
	// generation is that of the group, and listing what the group listed when it began. assignmentReads
	// counts the reads of the members, and joins the heartbeats.
	generation      int
	listing         string
	assignmentReads int
	joins           int
	// nodes holds the nodes that reply to requests for the members, by address.
	nodes map[string]*testNode
	// group assigns the partitions, if it is set.
	group *assigningGroup
	// refuseAnnouncements makes requests for the members fail that announce the asking node.
	refuseAnnouncements bool
	// unlisted holds the names of members that the group doesn't list yet.
	unlisted map[string]bool
	// appendsUntil is when the streams of cells stop growing.
	appendsUntil time.Time
	// appended is closed and replaced at each append of a claim.
	appended chan struct{}
}

var _ damsonwinch.Store = (*memoryStore)(nil)

func newMemoryStore() *memoryStore {
	return &memoryStore{appended: make(chan struct{}), topicCounts: map[string]int{}, replying: map[string]membership.Member{}, cutOff: map[string]bool{}, nodes: map[string]*testNode{}}
}

var errNoResponse = errors.New("no response")

// locked calls a function that reads or changes the store, and holds the mutex meanwhile.
func (s *memoryStore) locked(change func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change()
}

// appendRecord appends a record as another node would. The mutex must be held, unless no node has
// started.
func (s *memoryStore) appendRecord(record damsonwinch.Record) {
	record.Offset = len(s.claims)
	s.claims = append(s.claims, record)
	close(s.appended)
	s.appended = make(chan struct{})
}

// Append implements damsonwinch.Store. The tests don't use it.
func (s *memoryStore) Append(context.Context, damsonwinch.Stream, []damsonwinch.Record, damsonwinch.Fence) (int, error) {
	return 0, damsonwinch.ErrRefused
}

// AppendAt implements damsonwinch.Store.
func (s *memoryStore) AppendAt(_ context.Context, _ damsonwinch.Stream, records []damsonwinch.Record, at int) error {
	s.appendTurn.Lock()
	defer s.appendTurn.Unlock()
	clockwork.NewRealClock().Sleep(s.appendTime)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.appends++
	if s.failures > 0 {
		s.failures--
		return errNoResponse
	}
	if s.overtaking != nil {
		s.appendRecord(*s.overtaking)
		s.overtaking = nil
	}
	if at != len(s.claims) {
		return damsonwinch.ErrConflict
	}
	for _, record := range records {
		s.appendRecord(record)
	}
	if delay := s.delayAnswer; delay != nil {
		s.delayAnswer = nil
		s.mutex.Unlock()
		delay()
		s.mutex.Lock()
	}
	return nil
}

// Read implements damsonwinch.Store.
func (s *memoryStore) Read(ctx context.Context, _ damsonwinch.Stream, from int, wait time.Duration) (damsonwinch.Page, error) {
	limited, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	s.locked(func() { s.claimReads++ })
	for {
		s.mutex.Lock()
		hang, appended, page := s.hangNextRead, s.appended, s.page(from)
		s.hangNextRead = false
		s.mutex.Unlock()
		if hang {
			<-ctx.Done()
			return damsonwinch.Page{}, ctx.Err()
		}
		if len(page.Records) > 0 {
			return page, s.waitToAnswer(ctx)
		}
		select {
		case <-appended:
		case <-limited.Done():
			return page, ctx.Err()
		}
	}
}

// waitToAnswer waits for readTime, or returns the error of ctx if that ends first.
func (s *memoryStore) waitToAnswer(ctx context.Context) error {
	timer := clockwork.NewRealClock().NewTimer(s.readTime)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// page returns the records of the stream of claims from an offset on.
func (s *memoryStore) page(from int) damsonwinch.Page {
	return damsonwinch.Page{Records: slices.Clone(s.claims[min(from, len(s.claims)):]), End: len(s.claims)}
}

// Newest implements damsonwinch.Store.
func (s *memoryStore) Newest(_ context.Context, stream damsonwinch.Stream, _ string) (damsonwinch.KeyPage, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if stream.Topic != cellclaim.Topic {
		return damsonwinch.KeyPage{End: s.cellStreamEnd()}, nil
	}
	return damsonwinch.KeyPage{Records: slices.Clone(s.claims), End: len(s.claims)}, nil
}

// cellStreamEnd returns the end of a cell's stream, to which its owner appends every 40 ms.
func (s *memoryStore) cellStreamEnd() int {
	now := clockwork.NewRealClock().Now()
	if now.After(s.appendsUntil) {
		now = s.appendsUntil
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
	s.topicCounts[request.Member] = len(request.Topics)
	s.joins++
	if s.group != nil {
		return s.group.join(request), nil
	}
	if listing := fmt.Sprint(s.assignments()); listing != s.listing {
		s.listing = listing
		s.generation++
	}
	return damsonwinch.Membership{Generation: s.generation}, nil
}

// Leave implements damsonwinch.Store.
func (s *memoryStore) Leave(_ context.Context, _, member string) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.members = slices.DeleteFunc(s.members, func(other string) bool { return other == member })
	if s.group != nil {
		s.group.leave(member)
	}
	return nil
}

// Assignments implements damsonwinch.Store.
func (s *memoryStore) Assignments(context.Context, string) ([]damsonwinch.Assignment, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.assignmentReads++
	return s.assignments(), nil
}

// assignments returns the partitions that the group has assigned.
func (s *memoryStore) assignments() []damsonwinch.Assignment {
	if s.group != nil {
		return s.group.assignments()
	}
	if s.partitionsPerTopic > 0 {
		return s.assign()
	}
	var assignments []damsonwinch.Assignment
	for number, member := range s.members {
		if s.unlisted[member] {
			continue
		}
		assignments = append(assignments, damsonwinch.Assignment{Stream: damsonwinch.Stream{Topic: membership.Topic, Partition: number}, Member: member})
	}
	if len(assignments) > 0 && !s.listFull {
		assignments = append(assignments, damsonwinch.Assignment{Stream: damsonwinch.Stream{Topic: membership.Topic, Partition: len(s.members)}, Member: assignments[0].Member})
	}
	return assignments
}

// assign spreads the partitions of all topics evenly over the members that subscribe to them.
func (s *memoryStore) assign() []damsonwinch.Assignment {
	var assignments []damsonwinch.Assignment
	counts := map[string]int{}
	for topic := range membership.MaxTopics {
		for part := range s.partitionsPerTopic {
			best := ""
			for _, member := range slices.Sorted(slices.Values(s.members)) {
				if s.topicCounts[member] > topic && (best == "" || counts[member] < counts[best]) {
					best = member
				}
			}
			if best == "" {
				return assignments
			}
			counts[best]++
			stream := damsonwinch.Stream{Topic: membership.Topic + strconv.Itoa(topic), Partition: part}
			assignments = append(assignments, damsonwinch.Assignment{Stream: stream, Member: best})
		}
	}
	return assignments
}

// membersReply returns the reply of the node at an address to a request for the members.
func (s *memoryStore) membersReply(address string, args wire.MembersArgs) (wire.MembersReply, error) {
	s.mutex.Lock()
	n := s.nodes[address]
	refused := s.refuseAnnouncements && args.Announced != ""
	s.mutex.Unlock()
	if n == nil || refused {
		return wire.MembersReply{}, errNoResponse
	}
	return n.MemberReply(*n.view.Load(), args), nil
}

// claimsReply returns the reply of the node at an address, or an error if it doesn't reply.
func (s *memoryStore) claimsReply(address string) (wire.ClaimsReply, error) {
	s.healthChecks.Add(1)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	member, replies := s.replying[address]
	if !replies {
		return wire.ClaimsReply{}, errNoResponse
	}
	reply := wire.ClaimsReply{Node: member.Node, Incarnation: member.Incarnation, AgeMs: int(time.Hour.Milliseconds())}
	if s.cutOff[address] {
		reply.StoreAgeMs = int(time.Hour.Milliseconds())
	}
	return reply, nil
}
