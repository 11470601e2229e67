package ownership

import (
	"context"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"damsonwinch/pkg/call"
	"damsonwinch/pkg/cellclaim"
	"damsonwinch/pkg/liveness"
	"damsonwinch/pkg/membership"
	"damsonwinch/pkg/wire"
)

// Times of the health checks of owners. The list of members alone doesn't show whether an owner is
// alive. It may lack members, and it shows a new incarnation only after the earlier one has been
// dropped. It also still shows a node for a second after the node has gone silent.
const (
	// checkInterval is the time between two health checks of an owner.
	checkInterval = tickInterval
	// checkTimeout is how long the reply to a health check may take. It usually takes 5 ms, and has
	// taken 250 ms from an overloaded node.
	checkTimeout = 500 * time.Millisecond
	// rewatchInterval is how often a node that knows of unhealthy members determines anew whose
	// successor it is.
	rewatchInterval = time.Second
	// maxStoreAge is the time without a response from the store after which an owner counts as cut off
	// from it. Such an owner can start nothing, so it isn't alive to others once the group doesn't list
	// it. An owner sends the store a heartbeat every 300 ms, and a lost response costs it another 600 ms.
	maxStoreAge = joinInterval + callTimeout
)

// nodeLife is an incarnation of a node. Several lives of one node may have claims at the same time.
type nodeLife struct {
	node        string
	incarnation int
}

// ownerHealth is what this node knows of a life of an owner from health checks and from the owner's streams.
type ownerHealth struct {
	evidence liveness.Evidence
	// streamReadPending reports whether a read of the owner's streams is under way.
	streamReadPending bool
	// cutOffFromStore reports whether the owner was cut off from the store at its newest reply, and
	// replaced whether another incarnation has replied in its place.
	cutOffFromStore bool
	replaced        bool
	// silenceReported is set once it has been logged that the owner doesn't reply, and
	// slownessReported once it has been logged that the owner works nevertheless.
	silenceReported  bool
	slownessReported bool
}

// healthOf returns what is known of an incarnation of a node.
func (o *Ownership) healthOf(node string, incarnation int) ownerHealth {
	return o.state.health[nodeLife{node, incarnation}]
}

// forgetHealth drops what is known of lives that have no claims any more and aren't listed as members. A lost member
// without claims must not count as a successor.
func (o *Ownership) forgetHealth() {
	s := &o.state
	claiming := map[nodeLife]bool{}
	for _, claim := range s.claims {
		claiming[nodeLife{claim.Node, claim.Incarnation}] = true
	}
	maps.DeleteFunc(s.health, func(life nodeLife, _ ownerHealth) bool {
		return !claiming[life] && !s.memberList.Has(life.node, life.incarnation)
	})
}

// isLost reports whether an incarnation of a node has stopped replying to health checks and has shown
// no progress in its streams either, or has been replaced. A node that hasn't been checked isn't lost:
// its successor checks it before taking over its cells.
func (o *Ownership) isLost(node string, incarnation int) bool {
	health := o.healthOf(node, incarnation)
	if health.replaced || health.evidence.AllAnswered() {
		return health.replaced
	}
	now := o.deps.Clock.Now()
	return health.evidence.IsLost(now, o.claimAge(node, now))
}

// claimAge returns the time since a node's newest claim, among the claims that this node has read soon
// after they were made. If there are none, it returns the largest duration.
func (o *Ownership) claimAge(node string, now time.Time) time.Duration {
	age := time.Duration(1<<63 - 1)
	for cell, claim := range o.state.claims {
		if claim.Node == node && !claim.Released {
			age = min(age, now.Sub(o.state.claimedAt[cell]))
		}
	}
	return age
}

// watchOwners checks the owners of the cells whose successor is this node, and reads the streams of
// those that don't reply.
func (o *Ownership) watchOwners(now time.Time) {
	s := &o.state
	healthMayChange := len(s.health) > 0 || len(s.refusals) > 0
	if s.watchedStale || healthMayChange && now.Sub(s.watchedAt) >= rewatchInterval {
		s.watchedCells, s.watchedStale, s.watchedAt = o.successorCells(), false, now
		o.forgetHealth()
	}
	for _, cell := range s.watchedCells {
		claim := s.claims[cell]
		life := nodeLife{claim.Node, claim.Incarnation}
		health := s.health[life]
		if now.Sub(health.evidence.LastRequestAt()) >= checkInterval {
			health.evidence = health.evidence.WithRequest(now)
			o.checkOwner(claim, now)
		}
		if !health.streamReadPending && health.evidence.StreamReadDue(now) {
			health.streamReadPending = true
			o.readStreamEnds(claim, now)
		}
		s.health[life] = health
	}
}

// successorCells returns the cells that this node would claim if their owners were lost.
func (o *Ownership) successorCells() []string {
	s := &o.state
	ranking := o.ranking()
	if !ranking.MaySucceed(o.options.Self) {
		return nil
	}
	var cells []string
	for _, cell := range s.cells {
		claim, known := s.claims[cell]
		if !known || claim.Released || claim.HeldBy(o.options.Self) || o.byEarlierIncarnation(claim) {
			continue
		}
		isOther := func(m membership.Member) bool { return !claim.HeldBy(m) }
		if best, found := ranking.Successor(cell, isOther); found && best.SameIncarnation(o.options.Self) {
			cells = append(cells, cell)
		}
	}
	return cells
}

// checkOwner starts a health check of a claim's owner.
func (o *Ownership) checkOwner(claim cellclaim.Claim, now time.Time) {
	o.group.Go(func() error {
		ctx, cancel := context.WithTimeout(o.ctx, checkTimeout)
		defer cancel()
		reply, err := o.deps.FetchClaims(ctx, claim.Address, wire.ClaimsArgs{Node: o.options.Self.Node, WithoutClaims: true})
		o.send(healthReply{node: claim.Node, incarnation: claim.Incarnation, sentAt: now, reply: reply, err: err})
		return nil
	})
}

// readStreamEnds starts to read the end offsets of the streams of all cells of a claim's owner.
func (o *Ownership) readStreamEnds(watched cellclaim.Claim, now time.Time) {
	claims := cellclaim.OfNode(o.state.claims, watched.Node)
	o.group.Go(func() error {
		ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
		defer cancel()
		ends, err := cellclaim.StreamEnds(ctx, o.deps.Store, claims, o.options.Partitions)
		o.send(streamEndsRead{node: watched.Node, incarnation: watched.Incarnation, sentAt: now, ends: ends, err: err})
		return nil
	})
}

// handleStreamEnds handles the result of reading the streams of an owner that doesn't reply.
func (o *Ownership) handleStreamEnds(m streamEndsRead, now time.Time) {
	life := nodeLife{m.node, m.incarnation}
	health, watched := o.state.health[life]
	if !watched {
		return
	}
	health.streamReadPending = false
	if m.err != nil {
		// A node that can't read the store draws no conclusion: it couldn't take over a cell anyway.
		o.deps.Metrics.Add("work_not_read", 1)
		o.state.health[life] = health
		return
	}
	before := health.evidence
	health.evidence = before.WithStreamRead(m.sentAt, now.Sub(m.sentAt), m.ends)
	if health.evidence.ShowsProgressSince(before) && !health.slownessReported {
		health.slownessReported = true
		o.deps.Metrics.Add("owners_slow", 1)
		o.deps.Logger.WithFields(logrus.Fields{"peer": m.node, "incarnation": m.incarnation, "ends": m.ends}).Info("owner of a cell doesn't answer but works")
	}
	o.state.health[life] = health
}

// handleHealthReply handles the result of a health check.
func (o *Ownership) handleHealthReply(m healthReply, now time.Time) {
	s := &o.state
	life := nodeLife{m.node, m.incarnation}
	health, watched := s.health[life]
	if !watched {
		return
	}
	switch {
	case m.err != nil:
		o.recordFailedCheck(m, &health, now)
	case m.reply.Node != m.node || m.reply.Incarnation != m.incarnation:
		health.replaced = true
	default:
		health.cutOffFromStore = m.reply.StoreAgeMs >= int(maxStoreAge.Milliseconds())
		health.silenceReported, health.slownessReported = false, false
		health.evidence = health.evidence.WithReply(m.sentAt)
	}
	s.health[life] = health
}

// recordFailedCheck records a health check without a reply in health, and logs the first one since the
// newest reply.
func (o *Ownership) recordFailedCheck(m healthReply, health *ownerHealth, now time.Time) {
	if call.ConnectionRefused(m.err) {
		o.recordRefusal(connectionRefused{node: m.node, incarnation: m.incarnation}, now)
	}
	if health.silenceReported {
		return
	}
	health.silenceReported = true
	o.deps.Metrics.Add("owners_silent", 1)
	o.deps.Logger.WithError(m.err).WithFields(logrus.Fields{
		"peer": m.node, "incarnation": m.incarnation, "asked_ms_ago": now.Sub(m.sentAt).Milliseconds(),
	}).Info("owner of a cell doesn't answer")
}
