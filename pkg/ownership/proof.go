package ownership

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"damsonwinch/pkg/call"
	"damsonwinch/pkg/wire"
)

// Times of the questions whether an owner lives. The group alone can't tell: it may list
// fewer members than there are, a new life only after its earlier one, and one that has
// fallen silent for a second more.
const (
	// proofEvery is the time between two questions to an owner.
	proofEvery = tick
	// proofWait is how long an answer is waited for. It comes in 5 ms; a choked node has
	// taken 250.
	proofWait = 500 * time.Millisecond
	// silentAfter is how long an owner must have left all questions unanswered to be
	// taken for dead, whether the group lists it or not. Each 0.1 s more costs all jobs
	// of a lost owner's cells so much; a packet that is lost comes again after 0.2 s.
	silentAfter = 350 * time.Millisecond
	// silentQuestions is how many questions that takes, and mostGap the longest time
	// between two of them: a node that stood still itself knows nothing of others.
	silentQuestions = 3
	mostGap         = 250 * time.Millisecond
	// storeTime is how long ago the store may have answered an owner that lives: one
	// that has lost the store can start nothing. It proves to the store that it lives
	// each 300 ms; an answer that is lost costs it 600.
	storeTime = joinEvery + callTimeout
)

// proof is what a node's life has shown of itself beside its place in the group.
type proof struct {
	incarnation int
	askedAt     time.Time
	// unanswered counts the questions since the newest that was answered, and
	// unansweredSince is when the first of them was sent.
	unanswered      int
	unansweredSince time.Time
	// storeless says that the newest answer was that of a life which has lost the store,
	// and replaced that another life has answered.
	storeless bool
	replaced  bool
	// noted says that its silence has been logged.
	noted bool
}

// proofOf returns what is known of a node's life.
func (o *Ownership) proofOf(node string, incarnation int) proof {
	known := o.state.proofs[node]
	if known.incarnation != incarnation {
		return proof{incarnation: incarnation}
	}
	return known
}

// silent says whether a node's life was asked and doesn't answer any more. One that has
// not been asked is taken to live: who would take its cells asks first.
func (o *Ownership) silent(node string, incarnation int) bool {
	known := o.proofOf(node, incarnation)
	return known.replaced || known.unanswered >= silentQuestions && o.deps.Clock.Since(known.unansweredSince) >= silentAfter
}

// watch asks the owners of the cells that this node would take over next.
func (o *Ownership) watch(now time.Time) {
	s := &o.state
	if s.watchedOld {
		s.watched, s.watchedOld = o.nextCells(), false
	}
	for _, cell := range s.watched {
		claim := s.claims[cell]
		asked := o.proofOf(claim.Node, claim.Incarnation)
		gap := now.Sub(asked.askedAt)
		if gap < proofEvery {
			continue
		}
		if gap > mostGap {
			// It has not been watched of late, or this node stood still itself.
			asked.unanswered = 0
		}
		if asked.unanswered == 0 {
			asked.unansweredSince = now
		}
		asked.askedAt = now
		asked.unanswered++
		s.proofs[claim.Node] = asked
		o.askProof(claim, now)
	}
}

// nextCells returns the cells that this node would own if their owners were gone.
func (o *Ownership) nextCells() []string {
	s := &o.state
	living, live := o.livingMembers(), o.liveClaims()
	var next []string
	for _, cell := range s.cells {
		claim, known := s.claims[cell]
		if !known || claim.Released || claim.HeldBy(o.options.Self) || o.ofEarlierLife(claim) {
			continue
		}
		others := slices.DeleteFunc(slices.Clone(living), claim.HeldBy)
		if best, found := heir(cell, others, live); found && best.is(o.options.Self) {
			next = append(next, cell)
		}
	}
	return next
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
	switch {
	case m.err != nil:
		o.noteSilent(m, &known, now)
	case m.reply.Node != m.node || m.reply.Incarnation != m.incarnation:
		known.replaced = true
	default:
		known.storeless = m.reply.StoreAgeMs >= int(storeTime.Milliseconds())
		known.noted = false
		if !known.unansweredSince.After(m.askedAt) {
			known.unanswered = 0
		}
	}
	s.proofs[m.node] = known
}

// noteSilent takes note of a question that failed.
func (o *Ownership) noteSilent(m proofHeard, known *proof, now time.Time) {
	if call.Refused(m.err) {
		o.suspect(suspected{node: m.node, incarnation: m.incarnation}, now)
	}
	if known.noted {
		return
	}
	known.noted = true
	o.deps.Metrics.Add("owners_silent", 1)
	o.deps.Logger.WithError(m.err).WithFields(logrus.Fields{
		"peer": m.node, "incarnation": m.incarnation, "asked_ms_ago": now.Sub(m.askedAt).Milliseconds(),
	}).Info("owner of a cell doesn't answer")
}
