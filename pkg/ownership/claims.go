package ownership

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"damsonwinch"
	"damsonwinch/pkg/feed"
	"damsonwinch/pkg/wire"
)

func (o *Ownership) newFeed() *feed.Feed {
	return feed.New(feed.Deps{Store: o.deps.Store, Clock: o.deps.Clock, Logger: o.deps.Logger, Metrics: o.deps.Metrics, StoreAnsweredAt: o.StoreAnsweredAt}, feed.Options{
		Stream: damsonwinch.Stream{Topic: claimTopic}, Wait: claimWait,
		OnSnapshot: func(records []damsonwinch.Record, end int, askedAt time.Time) {
			o.send(claimsRead{records: records, end: end, snapshot: true, askedAt: askedAt})
		},
		OnRecords: func(records []damsonwinch.Record, end int, askedAt time.Time) {
			o.send(claimsRead{records: records, end: end, askedAt: askedAt})
		},
	})
}

func (o *Ownership) takeClaims(m claimsRead) {
	s := &o.state
	if m.snapshot {
		maps.DeleteFunc(s.claims, func(_ string, claim Claim) bool { return claim.Token <= m.end })
	}
	for _, record := range m.records {
		switch record.Key {
		case layoutKey:
			o.takeLayout(record)
			continue
		case partitionsKey:
			o.takePartitions(record)
			continue
		}
		var claim wire.CellClaim
		if s.claims[record.Key].Token > record.Offset+1 {
			continue
		}
		if len(record.Value) == 0 {
			delete(s.claims, record.Key)
			continue
		}
		if err := json.Unmarshal(record.Value, &claim); err != nil {
			o.deps.Logger.WithError(err).WithField("cell", record.Key).Error("claim not understood")
			continue
		}
		if !m.snapshot && s.claims[record.Key].Token != record.Offset+1 {
			s.claimedAt[record.Key] = o.deps.Clock.Now()
		}
		s.claims[record.Key] = Claim{CellClaim: claim, Token: record.Offset + 1}
		// A restarted node need not find out again how many topics show all members.
		s.topics = min(max(s.topics, claim.Topics), mostTopics)
	}
	// A reading that was answered before this node's last claim shows less than is known.
	s.end = max(s.end, m.end)
	s.claimsRead, s.confirmed, s.watchedOld = true, m.askedAt, true
	o.answeredAt.Store(o.deps.Clock.Now().UnixNano())
	o.publish()
}

// reclaimOne claims the first cell that an earlier life of this node owned. Nobody has
// to tell that it has ended, and the group may list it for a while.
func (o *Ownership) reclaimOne() {
	for _, cell := range o.state.cells {
		if claim, known := o.state.claims[cell]; known && o.ofEarlierLife(claim) {
			o.claim(cell, claim, known)
			return
		}
	}
}

// claimOne claims the first cell whose owner is gone and whose heir is this node.
func (o *Ownership) claimOne() {
	s := &o.state
	for _, cell := range s.cells {
		claim, known := s.claims[cell]
		if known && o.alive(claim) {
			continue
		}
		chosen, found := heir(cell, o.livingMembers(), o.liveClaims())
		if found && chosen.is(o.options.Self) {
			o.claim(cell, claim, known)
			return
		}
	}
}

func (o *Ownership) liveClaims() map[string]Claim {
	live := map[string]Claim{}
	for cell, claim := range o.state.claims {
		if o.alive(claim) {
			live[cell] = claim
		}
	}
	return live
}

func (o *Ownership) claim(cell string, before Claim, known bool) {
	record := wire.CellClaim{
		Cell: cell, Node: o.options.Self.Node, Address: o.options.Self.Address, Incarnation: o.options.Self.Incarnation,
		Partition: before.Partition, Topics: o.state.topics,
	}
	if !known {
		record.Partition = o.nextPartition()
	}
	o.deps.Logger.WithFields(logrus.Fields{"cell": cell, "before": before.Node, "members": len(o.state.roster.members), "end": o.state.end}).Info("claim cell")
	o.makeClaim(record)
}

// makeClaim appends a claim, or that one is given up, after all claims that are known.
func (o *Ownership) makeClaim(claim wire.CellClaim) {
	end := o.state.end
	o.state.claiming = true
	o.group.Go(func() error {
		o.send(claimed{claim: claim, end: end, err: o.appendClaim(claim, end)})
		return nil
	})
}

// releaseOne gives up the first cell whose owner here has ended by itself, until the
// claims show that. Nobody else would take the cell as long as this node lives.
func (o *Ownership) releaseOne() {
	s := &o.state
	for _, cell := range slices.Sorted(maps.Keys(s.renounced)) {
		claim := s.claims[cell]
		if claim.Token != s.renounced[cell] || !claim.HeldBy(o.options.Self) {
			delete(s.renounced, cell)
			continue
		}
		claim.Released = true
		o.makeClaim(claim.CellClaim)
		return
	}
}

func (o *Ownership) appendClaim(claim wire.CellClaim, at int) error {
	value, err := json.Marshal(claim)
	if err != nil {
		return err
	}
	return o.appendRecord(damsonwinch.Record{Key: claim.Cell, Value: value}, at)
}

// appendRecord appends to the stream of claims, after all that has been read of it.
func (o *Ownership) appendRecord(record damsonwinch.Record, at int) error {
	ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
	defer cancel()
	return o.deps.Store.AppendAt(ctx, damsonwinch.Stream{Topic: claimTopic}, []damsonwinch.Record{record}, at)
}

// noEnd is no offset.
const noEnd = -1

// claimPause stands between an append to the stream of claims that failed and the next one. A
// refused connection fails at once, and a store that is away is away for seconds.
const claimPause = 100 * time.Millisecond

// takeAppended takes the answer to an append to the stream of claims, and tells whether it
// was done.
func (o *Ownership) takeAppended(err error, end int, logger logrus.FieldLogger) bool {
	s := &o.state
	switch {
	case err == nil:
		s.end = end + 1
		return true
	case errors.Is(err, damsonwinch.ErrConflict):
		// Somebody has appended what hasn't been read here.
		o.deps.Metrics.Add("claims_outdated", 1)
		s.outdated = end
	default:
		logger.WithError(err).Warn("claim not made")
		s.failedAt = o.deps.Clock.Now()
	}
	return false
}

// takeClaimed takes the answer to a claim.
func (o *Ownership) takeClaimed(m claimed) {
	if !o.takeAppended(m.err, m.end, o.deps.Logger.WithField("cell", m.claim.Cell)) {
		return
	}
	// All before it has been read: it need not be awaited.
	o.state.claims[m.claim.Cell] = Claim{CellClaim: m.claim, Token: m.end + 1}
	o.state.watchedOld = true
	o.publish()
}

// newsTime is how long a claim that has been made may take to be read here: the
// reading that waits for it is answered at once, unless its connection is dead.
const newsTime = 250 * time.Millisecond

// awaitClaims waits until the claim that is known to have been made is read.
func (o *Ownership) awaitClaims(now time.Time) {
	s := &o.state
	if s.outdatedAt.IsZero() {
		s.outdatedAt = now
	}
	if now.Sub(s.outdatedAt) >= newsTime {
		s.outdatedAt = now
		o.feed.Refresh()
	}
}
