package ownership

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"damsonwinch/pkg/call"
	"damsonwinch/pkg/liveness"
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
	// storeTime is how long ago the store may have answered an owner that lives: one
	// that has lost the store can start nothing. It proves to the store that it lives
	// each 300 ms; an answer that is lost costs it 600.
	storeTime = joinEvery + callTimeout
)

// proof is what a node's life has shown of itself beside its place in the group.
type proof struct {
	incarnation int
	evidence    liveness.Evidence
	// reading says that a reading of its streams is on its way.
	reading bool
	// storeless says that the newest answer was that of a life which has lost the store,
	// and replaced that another life has answered.
	storeless bool
	replaced  bool
	// noted says that its silence has been logged, and slow that it was taken for slow.
	noted bool
	slow  bool
}

// proofOf returns what is known of a node's life.
func (o *Ownership) proofOf(node string, incarnation int) proof {
	known := o.state.proofs[node]
	if known.incarnation != incarnation {
		return proof{incarnation: incarnation}
	}
	return known
}

// silent says whether a node's life was asked and doesn't answer any more, nor shows any
// work at the store. One that has not been asked is taken to live: who would take its cells
// asks first.
func (o *Ownership) silent(node string, incarnation int) bool {
	known := o.proofOf(node, incarnation)
	now := o.deps.Clock.Now()
	return known.replaced || known.evidence.IsLost(now, o.claimAge(node, now))
}

// claimAge returns how long ago a node made its newest claim, as far as that was seen.
func (o *Ownership) claimAge(node string, now time.Time) time.Duration {
	age := time.Duration(1<<63 - 1)
	for cell, claim := range o.state.claims {
		if claim.Node == node && !claim.Released {
			age = min(age, now.Sub(o.state.claimedAt[cell]))
		}
	}
	return age
}

// watch asks the owners of the cells that this node would take over next, and looks for
// their work at the store where they don't answer.
func (o *Ownership) watch(now time.Time) {
	s := &o.state
	if s.watchedOld {
		s.watched, s.watchedOld = o.nextCells(), false
	}
	for _, cell := range s.watched {
		claim := s.claims[cell]
		known := o.proofOf(claim.Node, claim.Incarnation)
		if now.Sub(known.evidence.LastRequestAt()) >= proofEvery {
			known.evidence = known.evidence.WithRequest(now)
			o.askProof(claim, now)
		}
		if !known.reading && known.evidence.StreamReadDue(now) {
			known.reading = true
			o.readWork(claim, now)
		}
		s.proofs[claim.Node] = known
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
		reply, err := o.deps.FetchClaims(ctx, claim.Address, wire.ClaimsArgs{Node: o.options.Self.Node})
		o.send(proofHeard{node: claim.Node, incarnation: claim.Incarnation, askedAt: now, reply: reply, err: err})
		return nil
	})
}

// beyondKeys stands behind all keys of a cell's stream: a reading from there on tells only
// where the stream ends.
const beyondKeys = "~"

// readWork reads where the streams of all cells of a claim's maker end.
func (o *Ownership) readWork(of Claim, now time.Time) {
	var claims []Claim
	for _, claim := range o.state.claims {
		if claim.Node == of.Node && !claim.Released {
			claims = append(claims, claim)
		}
	}
	o.group.Go(func() error {
		ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
		defer cancel()
		read := workRead{node: of.Node, incarnation: of.Incarnation, askedAt: now}
		for _, claim := range claims {
			page, err := o.deps.Store.Newest(ctx, CellStream(claim, o.options.Partitions), beyondKeys)
			if err != nil {
				read.err = err
				break
			}
			read.ends += page.End
		}
		o.send(read)
		return nil
	})
}

// takeWork takes where the streams of a node that doesn't answer end.
func (o *Ownership) takeWork(m workRead, now time.Time) {
	known := o.state.proofs[m.node]
	if known.incarnation != m.incarnation {
		return
	}
	known.reading = false
	if m.err != nil {
		// Who can't read the store judges nobody: it couldn't take a cell either.
		o.deps.Metrics.Add("work_not_read", 1)
		o.state.proofs[m.node] = known
		return
	}
	before := known.evidence
	known.evidence = before.WithStreamRead(m.askedAt, now.Sub(m.askedAt), m.ends)
	if known.evidence.ShowsProgressSince(before) && !known.slow {
		known.slow = true
		o.deps.Metrics.Add("owners_slow", 1)
		o.deps.Logger.WithFields(logrus.Fields{"peer": m.node, "incarnation": m.incarnation, "ends": m.ends}).Info("owner of a cell doesn't answer but works")
	}
	o.state.proofs[m.node] = known
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
		known.noted, known.slow = false, false
		known.evidence = known.evidence.WithReply(m.askedAt)
	}
	s.proofs[m.node] = known
}

// noteSilent takes note of a question that failed.
func (o *Ownership) noteSilent(m proofHeard, known *proof, now time.Time) {
	if call.ConnectionRefused(m.err) {
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
