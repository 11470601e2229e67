package ownership

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"damsonwinch/pkg/call"
	"damsonwinch/pkg/wire"
)

// Times of the questions whether an owner lives. The group alone can't tell: it may list
// fewer members than there are, and a new life only after its earlier one.
const (
	// proofEvery is the time between two questions. An owner that falls silent has left
	// one unanswered by the time that the group gives it up, a second after its last
	// proof of life there, so that asking delays no takeover.
	proofEvery = 400 * time.Millisecond
	// proofWait is how long an answer may take. It comes in 5 ms; a choked node has
	// taken 250.
	proofWait = 300 * time.Millisecond
	// proofTime is how long an answer counts: until the next one must have come.
	proofTime = proofEvery + proofWait + tick
	// storeTime is how long ago the store may have answered an owner that lives: one
	// that has lost the store can start nothing. It proves to the store that it lives
	// each 300 ms; an answer that is lost costs it 600.
	storeTime = joinEvery + callTimeout
)

// proof is what a node's life has shown of itself beside its place in the group.
type proof struct {
	incarnation int
	asking      bool
	// askedAt is when the newest question was sent, answeredAt when the newest that was
	// answered, and silentAt when the newest that was not.
	askedAt    time.Time
	answeredAt time.Time
	silentAt   time.Time
}

// proofOf returns what is known of the life that made a claim.
func (o *Ownership) proofOf(claim Claim) proof {
	known := o.state.proofs[claim.Node]
	if known.incarnation != claim.Incarnation {
		return proof{incarnation: claim.Incarnation}
	}
	return known
}

// silent says whether a claim's maker was asked and doesn't answer any more. One that
// has not been asked is taken to live: who would take its cell asks first.
func (o *Ownership) silent(claim Claim) bool {
	known := o.proofOf(claim)
	return known.silentAt.After(known.answeredAt) && o.deps.Clock.Since(known.answeredAt) >= proofTime
}

// watch asks the owners of the cells that this node would take over next.
func (o *Ownership) watch(now time.Time) {
	s := &o.state
	for _, cell := range s.cells {
		claim, known := s.claims[cell]
		if !known || claim.Released || claim.HeldBy(o.options.Self) || o.ofEarlierLife(claim) || !o.nextAfter(claim) {
			continue
		}
		if asked := o.proofOf(claim); !asked.asking && now.Sub(asked.askedAt) >= proofEvery {
			asked.asking, asked.askedAt = true, now
			s.proofs[claim.Node] = asked
			o.askProof(claim, now)
		}
	}
}

// nextAfter says whether this node would own a claim's cell if its owner were gone.
func (o *Ownership) nextAfter(claim Claim) bool {
	var others []Member
	for _, member := range o.livingMembers() {
		if !claim.HeldBy(member) {
			others = append(others, member)
		}
	}
	next, found := heir(claim.Cell, others, o.liveClaims())
	return found && next.is(o.options.Self)
}

func (o *Ownership) askProof(claim Claim, now time.Time) {
	o.group.Go(func() error {
		ctx, cancel := context.WithTimeout(o.ctx, proofWait)
		defer cancel()
		reply, err := o.deps.AskPeer(ctx, claim.Address, wire.ClaimsArgs{Node: o.options.Self.Node})
		o.send(proofHeard{node: claim.Node, incarnation: claim.Incarnation, askedAt: now, reply: reply, err: err})
		return nil
	})
}

// takeProof takes the answer of an owner that was asked whether it lives.
func (o *Ownership) takeProof(m proofHeard, now time.Time) {
	s := &o.state
	known := s.proofs[m.node]
	if known.incarnation != m.incarnation {
		return
	}
	known.asking = false
	switch {
	case m.proves():
		known.answeredAt = m.askedAt
	case m.err == nil:
		// Another life has its address, or it has lost the store.
		known.silentAt, known.answeredAt = m.askedAt, time.Time{}
	default:
		o.noteSilent(m, known, now)
		known.silentAt = m.askedAt
	}
	s.proofs[m.node] = known
}

// proves says whether an answer is that of a life which can do its work.
func (m proofHeard) proves() bool {
	return m.err == nil && m.reply.Node == m.node && m.reply.Incarnation == m.incarnation && m.reply.StoreAgeMs < int(storeTime.Milliseconds())
}

// noteSilent logs the first question that is left unanswered.
func (o *Ownership) noteSilent(m proofHeard, known proof, now time.Time) {
	if call.Refused(m.err) {
		o.suspect(suspected{node: m.node, incarnation: m.incarnation}, now)
	}
	if known.silentAt.After(known.answeredAt) {
		return
	}
	o.deps.Metrics.Add("owners_silent", 1)
	o.deps.Logger.WithError(m.err).WithFields(logrus.Fields{
		"peer": m.node, "incarnation": m.incarnation, "asked_ms_ago": now.Sub(m.askedAt).Milliseconds(),
	}).Info("owner of a cell doesn't answer")
}
