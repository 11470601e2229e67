package ownership

import (
	"time"

	"damsonwinch/pkg/cellclaim"
	"damsonwinch/pkg/liveness"
	"damsonwinch/pkg/membership"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/succession"
)

// state is the state of run. A field whose name ends in Pending is set while a call of that kind is under
// way. A field whose name ends in SentAt holds when the newest call of that kind was sent.
type state struct {
	// cells are the names of the cells that need an owner.
	cells []string
	// claims holds the newest claim of each cell, by cell.
	claims map[string]cellclaim.Claim
	// claimedAt is when this node last read a new claim of a cell, by cell. A claim that came with a
	// snapshot may be old and sets no time.
	claimedAt map[string]time.Time
	// claimsEnd is the end offset of the stream of claims as far as this node knows the records, see advanceClaimsEnd.
	// haveClaims reports whether the stream has been read at all.
	claimsEnd  int
	haveClaims bool
	// confirmedAt is when the newest answered read of the claims was sent.
	confirmedAt time.Time
	memberList  membership.List
	// membersReadAt is when the newest answered read of the members was sent. membersRecoveredAt is when
	// the newest answered heartbeat was sent that followed a long time without answered ones.
	membersReadAt      time.Time
	membersRecoveredAt time.Time
	// membersFirstReadAt is when the first answered read of the members was sent.
	membersFirstReadAt time.Time
	// announced holds the nodes that have announced themselves to this one. announcedAt is when this node last
	// announced itself.
	announced   membership.Announcements
	announcedAt time.Time
	// knownMembers is the number of listed and announced members when completeness was last updated.
	knownMembers int
	// completeness tells whether the list of members counts as complete.
	completeness membership.Completeness
	// layout is the one in force. If none has been decided, this node tries to put proposedLayout in
	// force.
	layout         shard.Layout
	proposedLayout shard.Layout
	// listGeneration is the generation of the group that memberList shows, and listRequestedAt when it was
	// requested.
	listGeneration  int
	listRequestedAt time.Time
	// memberFetches is the number of requests for the members to other nodes, which determines the node
	// that is asked next, and memberFailures how many of them have failed since one was answered.
	// memberListBehind is set if the last answer came from a node that didn't have the present list.
	memberFetches    int
	memberFailures   int
	memberListBehind bool
	// topicCount is the number of topics that the group needs so that each member holds a partition
	// and is listed.
	topicCount int
	// suspended is the machine's total suspended time at the last check.
	suspended time.Duration
	// health holds the health of owners, by their lives. watchedCells are the cells whose owners this node
	// checks, and watchedStale is set when they have to be determined again.
	health       map[nodeLife]ownerHealth
	watchedCells []string
	watchedStale bool
	// watchedAt is when watchedCells were last determined.
	watchedAt time.Time
	// ranking is the ranking of the live members, or nil if it has to be computed anew. rankedAt is
	// when it was computed.
	ranking  *succession.Ranking
	rankedAt time.Time
	// misplacedSince is the time from which this node has owned a cell that a far stronger node should
	// own, or zero.
	misplacedSince time.Time
	// generation is the newest generation of the group that this node knows, and generationSince when it
	// heard of it.
	generation      int
	generationSince time.Time
	// unassigned reports whether the group has assigned no partition to this node, so that the list of
	// members doesn't show it.
	unassigned bool
	// startedAt is when this Ownership was created.
	startedAt   time.Time
	joinPending bool
	joinSentAt  time.Time
	// joinAnsweredAt is when the newest answered heartbeat was sent.
	joinAnsweredAt    time.Time
	memberReadPending bool
	memberReadSentAt  time.Time
	// appendPending is set while an append to the stream of claims is under way.
	appendPending bool
	// conflictEnd is the offset of the newest append that conflicted with another node's. Nothing more
	// is appended at that offset; newer records have to be read first.
	conflictEnd int
	// conflicts is the number of conflicts since the last append that succeeded, and appendNotBefore the time
	// until which nothing is appended after a conflict.
	conflicts       int
	appendNotBefore time.Time
	// conflictSince is the time from which the newest read for the conflicting record has been awaited, or zero.
	// conflictReadWait is how long it is awaited.
	conflictSince    time.Time
	conflictReadWait time.Duration
	// appendFailedAt is when an append to the stream of claims last failed.
	appendFailedAt time.Time
	// reservedPartitions is the number of partitions that count as reserved, which are those with the
	// lowest numbers. partitionWaiters receive the numbers of the partitions that are reserved next.
	// pendingMoves holds the requested moves of cells to other partitions, by cell.
	reservedPartitions int
	partitionWaiters   []func(number int)
	pendingMoves       map[string]moveRequested
	// pendingReleases holds the tokens of this node's claims that are to be released, by cell.
	pendingReleases map[string]int
	// leaving is set once the node leaves the group. No more calls are started then.
	leaving bool
	// fetchPending and fetchSentAt are for fetches of the claims from other nodes. fetchCount is the
	// number of fetches, which determines the node that is asked next.
	fetchPending bool
	fetchSentAt  time.Time
	fetchCount   int
	// refusals holds the last refused connection of each node, by node.
	refusals map[string]liveness.Refusal
}
