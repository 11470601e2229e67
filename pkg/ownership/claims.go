package ownership

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"damsonwinch"
	"damsonwinch/pkg/cellclaim"
	"damsonwinch/pkg/feed"
	"damsonwinch/pkg/membership"
	"damsonwinch/pkg/succession"
	"damsonwinch/pkg/wire"
)

// newFeed returns the feed that follows the stream of claims.
func (o *Ownership) newFeed() *feed.Feed {
	return feed.New(feed.Deps{Store: o.deps.Store, Clock: o.deps.Clock, Logger: o.deps.Logger, Metrics: o.deps.Metrics, StoreAnsweredAt: o.StoreAnsweredAt}, feed.Options{
		Stream: damsonwinch.Stream{Topic: cellclaim.Topic}, Wait: claimReadWait,
		Pause: func() time.Duration { return o.readPace.Pause(o.deps.Clock.Now()) },
		OnSnapshot: func(records []damsonwinch.Record, end int, sentAt time.Time) {
			o.send(claimsRead{records: records, end: end, snapshot: true, sentAt: sentAt})
		},
		OnRecords: func(records []damsonwinch.Record, end int, sentAt time.Time) {
			o.send(claimsRead{records: records, end: end, sentAt: sentAt})
		},
	})
}

// handleClaimsRead applies records of the stream of claims. A snapshot replaces all claims but those
// that are newer than it.
func (o *Ownership) handleClaimsRead(m claimsRead) {
	s := &o.state
	if m.snapshot {
		maps.DeleteFunc(s.claims, func(_ string, claim cellclaim.Claim) bool { return claim.Token <= m.end })
	}
	for _, record := range m.records {
		switch record.Key {
		case cellclaim.LayoutKey:
			o.applyLayout(record)
		case cellclaim.PartitionsKey:
			o.applyPartitions(record)
		default:
			o.applyClaim(record, m.snapshot)
		}
	}
	o.advanceClaimsEnd(m.end)
	s.haveClaims, s.confirmedAt = true, m.sentAt
	if m.snapshot || len(m.records) > 0 {
		o.invalidateRanking()
	}
	o.answeredAt.Store(o.deps.Clock.Now().UnixNano())
	o.publishView()
}

// advanceClaimsEnd notes that the stream of claims is known up to an offset: it has been read that far, or this
// node has appended there. Answers to reads and appends overtake each other, so the offset may be behind claimsEnd.
func (o *Ownership) advanceClaimsEnd(end int) {
	o.state.claimsEnd = max(o.state.claimsEnd, end)
}

// adoptClaim adopts a claim of a cell if it is newer than the known one, and reports whether it is. Claims reach this
// node by reads of the stream, by the answers to its own appends and from other nodes, in any order.
func (o *Ownership) adoptClaim(cell string, claim cellclaim.Claim) bool {
	if claim.Token <= o.state.claims[cell].Token {
		return false
	}
	o.state.claims[cell] = claim
	return true
}

// applyClaim applies the record of a claim, unless a newer claim of the cell is known. fromSnapshot reports
// whether the record came with a snapshot.
func (o *Ownership) applyClaim(record damsonwinch.Record, fromSnapshot bool) {
	s := &o.state
	if len(record.Value) == 0 {
		if s.claims[record.Key].Token <= record.Offset {
			delete(s.claims, record.Key)
		}
		return
	}
	claim, err := cellclaim.Decode(record)
	if err != nil {
		o.deps.Logger.WithError(err).WithField("cell", record.Key).Error("claim cannot be decoded")
		return
	}
	if o.adoptClaim(record.Key, claim) && !fromSnapshot {
		s.claimedAt[record.Key] = o.deps.Clock.Now()
	}
	// Claims carry the number of topics that the group needs to list all members, so that a
	// restarted node doesn't have to find it out again.
	s.topicCount = min(max(s.topicCount, claim.Topics), membership.MaxTopics)
}

// reclaimNextCell claims the first cell that an earlier incarnation of this node owned. The earlier
// incarnation has certainly exited, even if the group still lists it.
func (o *Ownership) reclaimNextCell() {
	for _, cell := range o.state.cells {
		if claim, known := o.state.claims[cell]; known && o.byEarlierIncarnation(claim) {
			o.claim(cell, claim, known)
			return
		}
	}
}

// claimNextCell claims the first cell whose owner is gone and whose successor is this node.
func (o *Ownership) claimNextCell() {
	s := &o.state
	for _, cell := range s.cells {
		claim, known := s.claims[cell]
		if known && o.isOwnerAlive(claim) {
			continue
		}
		ranking := o.ranking()
		if !ranking.MaySucceed(o.options.Self) {
			return
		}
		chosen, found := ranking.Successor(cell, succession.AnyMember)
		if found && chosen.SameIncarnation(o.options.Self) {
			o.claim(cell, claim, known)
			return
		}
	}
}

// claim starts to append a claim of a cell for this node. The cell keeps the partition of its
// previous claim. If known is false there is no previous claim, and the cell gets the next unused
// partition.
func (o *Ownership) claim(cell string, previous cellclaim.Claim, known bool) {
	next := wire.CellClaim{
		Cell: cell, Node: o.options.Self.Node, Address: o.options.Self.Address, Incarnation: o.options.Self.Incarnation,
		Partition: previous.Partition, Topics: o.state.topicCount,
	}
	if !known {
		next.Partition = cellclaim.NextPartition(o.state.claims, o.state.reservedPartitions)
	}
	o.deps.Logger.WithFields(logrus.Fields{"cell": cell, "before": previous.Node, "members": len(o.state.memberList.Members()), "end": o.state.claimsEnd}).Info("claim cell")
	o.startClaimAppend(next)
}

// startClaimAppend starts to append a claim, or the release of one, at the end of the claims that
// have been read.
func (o *Ownership) startClaimAppend(claim wire.CellClaim) {
	end := o.state.claimsEnd
	o.state.appendPending = true
	o.group.Go(func() error {
		o.send(claimAppended{claim: claim, end: end, err: o.appendClaim(claim, end)})
		return nil
	})
}

// releaseNextCell starts to release the first claim of pendingReleases, and removes those that have
// been released or replaced. A release is tried again until the stream of claims shows it: as long as
// this node is alive, no other node takes over a cell that this node has claimed.
func (o *Ownership) releaseNextCell() {
	s := &o.state
	for _, cell := range slices.Sorted(maps.Keys(s.pendingReleases)) {
		claim := s.claims[cell]
		if claim.Token != s.pendingReleases[cell] || !claim.HeldBy(o.options.Self) {
			delete(s.pendingReleases, cell)
			continue
		}
		claim.Released = true
		o.startClaimAppend(claim.CellClaim)
		return
	}
}

// appendClaim appends a claim to the stream of claims if end is the stream's end offset.
func (o *Ownership) appendClaim(claim wire.CellClaim, end int) error {
	ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
	defer cancel()
	return o.writer.AppendClaim(ctx, claim, end)
}

// noConflict is the value of state.conflictEnd after no conflict. It is not a valid offset.
const noConflict = -1

// appendRetryDelay is the time between a failed append to the stream of claims and the next append.
// A refused connection fails at once, and a store that is unreachable stays so for seconds.
const appendRetryDelay = 100 * time.Millisecond

// finishAppend handles the result of an append to the stream of claims at the offset end, and
// reports whether the append succeeded.
func (o *Ownership) finishAppend(err error, end int, logger logrus.FieldLogger) bool {
	s := &o.state
	switch {
	case err == nil:
		o.advanceClaimsEnd(end + 1)
		s.conflicts = 0
		return true
	case errors.Is(err, damsonwinch.ErrConflict):
		// Another node has appended a record that this node hasn't read.
		o.deps.Metrics.Add("claims_outdated", 1)
		s.conflictEnd = end
		o.readPace.NoteConflict(o.deps.Clock.Now())
		o.backOff(o.deps.Clock.Now())
	default:
		logger.WithError(err).Warn("append to the stream of claims failed")
		s.appendFailedAt = o.deps.Clock.Now()
	}
	return false
}

// handleClaimAppended handles the result of appending a claim or the release of one.
func (o *Ownership) handleClaimAppended(m claimAppended) {
	if !o.finishAppend(m.err, m.end, o.deps.Logger.WithField("cell", m.claim.Cell)) {
		return
	}
	// All earlier records have been read, so the claim holds without being read back.
	o.adoptClaim(m.claim.Cell, cellclaim.Claim{CellClaim: m.claim, Token: m.end + 1})
	o.invalidateRanking()
	o.publishView()
}

// conflictReadTimeout is how long this node first waits to read the record that caused a conflict. A read that waits
// for new records is answered at once when there is one, unless its connection is dead or the store is slow: the wait
// doubles each time, up to callTimeout.
const conflictReadTimeout = 250 * time.Millisecond

// awaitConflictingRecord is called as long as the record that caused a conflict hasn't been read. It
// has the feed read the claims on another connection each time conflictReadWait has passed.
func (o *Ownership) awaitConflictingRecord(now time.Time) {
	s := &o.state
	if s.conflictSince.IsZero() {
		s.conflictSince, s.conflictReadWait = now, conflictReadTimeout
	}
	if now.Sub(s.conflictSince) >= s.conflictReadWait {
		s.conflictSince, s.conflictReadWait = now, min(2*s.conflictReadWait, callTimeout)
		o.feed.Refresh()
	}
}
