package ownership

import (
	"maps"
	"slices"
	"strconv"

	"damsonwinch"
)

// assigningGroup is a group that assigns the partitions of its topics as the platform does. It creates a topic
// when a member first names it, up to a limit, and assigns no partition of the topics beyond.
type assigningGroup struct {
	partitionsPerTopic int
	maxTopics          int
	generation         int
	topics             []string
	// subscriptions holds the topics that each member has named, by member.
	subscriptions map[string][]string
	holders       map[damsonwinch.Stream]string
	// moves holds the partitions that a member has to give up, and known the newest generation that each member
	// has joined with. A partition moves once its holder knows the generation of the move.
	moves map[damsonwinch.Stream]partitionMove
	known map[string]int
}

type partitionMove struct {
	to         string
	generation int
}

func newAssigningGroup(partitionsPerTopic, maxTopics int) *assigningGroup {
	return &assigningGroup{
		partitionsPerTopic: partitionsPerTopic, maxTopics: maxTopics, subscriptions: map[string][]string{},
		holders: map[damsonwinch.Stream]string{}, moves: map[damsonwinch.Stream]partitionMove{}, known: map[string]int{},
	}
}

// join joins a member, or renews its membership.
func (g *assigningGroup) join(request damsonwinch.JoinRequest) damsonwinch.Membership {
	g.known[request.Member] = request.Generation
	for stream, move := range g.moves {
		if g.holders[stream] == request.Member && request.Generation >= move.generation {
			g.holders[stream] = move.to
			delete(g.moves, stream)
		}
	}
	if !slices.Equal(g.subscriptions[request.Member], request.Topics) {
		g.subscriptions[request.Member] = slices.Clone(request.Topics)
		for _, topic := range request.Topics {
			if !slices.Contains(g.topics, topic) && len(g.topics) < g.maxTopics {
				g.topics = append(g.topics, topic)
			}
		}
		g.generation++
		g.assign()
	}
	joined := damsonwinch.Membership{Generation: g.generation}
	for _, assignment := range g.assignments() {
		if assignment.Member == request.Member {
			joined.Assigned = append(joined.Assigned, assignment.Stream)
		}
	}
	return joined
}

// leave removes a member that leaves, or whose time to live has run out. No member expires by itself: on a slow machine
// live ones would.
func (g *assigningGroup) leave(member string) {
	delete(g.subscriptions, member)
	maps.DeleteFunc(g.holders, func(_ damsonwinch.Stream, holder string) bool { return holder == member })
	maps.DeleteFunc(g.moves, func(stream damsonwinch.Stream, move partitionMove) bool {
		return move.to == member || g.holders[stream] == ""
	})
	g.generation++
	g.assign()
}

// assign assigns the partitions without a holder, and plans the moves that make the members' shares even.
func (g *assigningGroup) assign() {
	members := slices.Sorted(maps.Keys(g.subscriptions))
	counts, index := make([]int, len(members)), map[string]int{}
	for i, member := range members {
		index[member] = i
	}
	for stream := range g.holders {
		counts[index[g.nextHolder(stream)]]++
	}
	for number, topic := range g.topics {
		for part := range g.partitionsPerTopic {
			stream := damsonwinch.Stream{Topic: topic, Partition: part}
			least := -1
			for i, member := range members {
				if len(g.subscriptions[member]) > number && (least < 0 || counts[i] < counts[least]) {
					least = i
				}
			}
			if least < 0 {
				// No member subscribes to the topic any more.
				continue
			}
			held := g.holders[stream] != ""
			if held {
				next := index[g.nextHolder(stream)]
				if counts[next] <= counts[least]+1 {
					continue
				}
				counts[next]--
			}
			counts[least]++
			delete(g.moves, stream)
			if !held {
				g.holders[stream] = members[least]
			} else if g.holders[stream] != members[least] {
				g.moves[stream] = partitionMove{to: members[least], generation: g.generation}
			}
		}
	}
}

// nextHolder returns the member that holds a partition once the planned moves have been made.
func (g *assigningGroup) nextHolder(stream damsonwinch.Stream) string {
	if move, moving := g.moves[stream]; moving {
		return move.to
	}
	return g.holders[stream]
}

// assignments returns the partitions that have a holder.
func (g *assigningGroup) assignments() []damsonwinch.Assignment {
	var assignments []damsonwinch.Assignment
	for stream, member := range g.holders {
		assignments = append(assignments, damsonwinch.Assignment{Stream: stream, Member: member})
	}
	slices.SortFunc(assignments, func(a, b damsonwinch.Assignment) int {
		return slices.Compare([]string{a.Stream.Topic, strconv.Itoa(a.Stream.Partition)}, []string{b.Stream.Topic, strconv.Itoa(b.Stream.Partition)})
	})
	return assignments
}
