package membership

import (
	"context"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/topic"
)

// GroupName is the name of the group of nodes in the store, and Topic the first of the topics whose
// partitions the group assigns. Only the assignments count: the topics hold no records.
const (
	GroupName = "nodes"
	Topic     = "nodes"
)

// MaxTopics is the largest number of topics that the group uses. The platform allows 100 topics in
// all, which may have as few as 12 partitions each.
const MaxTopics = 40

// minTTL is the least time for which the group keeps a member that sends no heartbeat.
const minTTL = time.Second

// Group makes the calls to the store with which a node joins the group, reads its members and leaves it.
type Group struct {
	store damsonwinch.Store
	self  Member
	ttl   time.Duration
}

// NewGroup returns the Group of the node self. The store keeps a member that sends no heartbeat for ttl,
// but at least for a second.
func NewGroup(store damsonwinch.Store, self Member, ttl time.Duration) Group {
	return Group{store: store, self: self, ttl: max(ttl, minTTL)}
}

// Join joins the group, or renews the membership. topicCount is the number of topics to subscribe to, and
// generation the newest generation of the group that this node knows.
func (g Group) Join(ctx context.Context, topicCount, generation int) (damsonwinch.Membership, error) {
	return g.store.Join(ctx, damsonwinch.JoinRequest{
		Group: GroupName, Member: g.self.Name(), Topics: topicNames(topicCount), TTL: g.ttl, Generation: generation,
	})
}

// List reads the members that hold a partition.
func (g Group) List(ctx context.Context) (List, error) {
	assignments, err := g.store.Assignments(ctx, GroupName)
	return FromAssignments(assignments, g.self), err
}

// Leave leaves the group.
func (g Group) Leave(ctx context.Context) error {
	return g.store.Leave(ctx, GroupName, g.self.Name())
}

// topicNames returns the names of the first topics of the group.
func topicNames(count int) []string {
	names := make([]string, 0, count)
	for number := 1; number <= count; number++ {
		names = append(names, topic.Name(Topic, number))
	}
	return names
}

// TopicsNeeded returns the number of topics that the group needs so that each member holds a partition,
// if count topics have been needed so far.
func (l List) TopicsNeeded(count int) int {
	// A member that subscribes to fewer topics than the others could be assigned no partition.
	count = min(max(count, l.topicCount), MaxTopics)
	if l.nearlyFull {
		count = min(2*count, MaxTopics)
	}
	return count
}

// MayGrow reports whether the list may lack members that a list with more topics would show.
func (l List) MayGrow() bool {
	return l.nearlyFull && l.topicCount < MaxTopics
}

// MaxMissing returns an estimate of how many members the list may lack, beyond the announced ones. Until the group
// uses enough topics it lists about half of the members with each number of topics.
func (l List) MaxMissing(announced int) int {
	if !l.nearlyFull {
		return 0
	}
	return max(0, len(l.members)-announced)
}
