package ownership

import (
	"time"

	"damsonwinch/pkg/shard"
)

// state is what the task knows.
type state struct {
	cells  []string
	claims map[string]Claim
	// claimedAt is when a cell's claim was seen to be made, zero for one that stood before.
	claimedAt  map[string]time.Time
	end        int
	claimsRead bool
	confirmed  time.Time
	roster     roster
	// membersAt is when the members were last read, and regroupedAt when that was
	// possible again after a while in which it was not.
	membersAt   time.Time
	regroupedAt time.Time
	// steadySince is since when the list of members has been as long as it is, and steady
	// says that it is taken for complete.
	steadySince time.Time
	steady      bool
	// layout is in force, and layoutWanted the one to put in force if there is none.
	layout       shard.Layout
	layoutWanted shard.Layout
	// topics is the number of topics over which the group is spread, so that each
	// member holds a partition and is listed.
	topics int
	// slept is for how long the machine had been suspended when that was last looked at.
	slept time.Duration
	// proofs holds, by node, whether it answers when it is asked if it lives, watched
	// the cells whose owners this node asks, and watchedOld that those may be others.
	proofs     map[string]proof
	watched    []string
	watchedOld bool
	// weakSince is since when this node has owned a cell that a far stronger one could
	// have, zero if it doesn't.
	weakSince  time.Time
	generation int
	// unlisted says that the group has dealt this node nothing, so that its list doesn't
	// show it.
	unlisted  bool
	startedAt time.Time
	joining   bool
	joinedAt  time.Time
	reading   bool
	readAt    time.Time
	claiming  bool
	// outdated is the end of the stream of claims at which one has been made since; no
	// other is made before newer claims have been read.
	outdated int
	// outdatedAt is since when newer claims are awaited.
	outdatedAt time.Time
	// failedAt is when an append to the stream of claims last failed.
	failedAt time.Time
	// taken is how many partitions cells have had, takers those who want another one, and
	// moves what cells are to go on in one, by cell.
	taken  int
	takers []func(number int)
	moves  map[string]moveWanted
	// renounced holds the tokens of this node's claims that are to be given up.
	renounced map[string]int
	leaving   bool
	asking    bool
	askedAt   time.Time
	// asked counts the questions to peers, which take turns.
	asked int
	// refusals holds, by node, the last refused connection.
	refusals map[string]refusal
}
