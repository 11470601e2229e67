package front

import (
	"context"

	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/wire"
)

// retryRatio is the part of requests that may be retried, and retryBurst what a
// service may save up.
const (
	retryRatio = 0.2
	retryBurst = 50
)

// spendRetry takes one retry from a service's budget, so that retries can't
// multiply the load of a failing pool.
func (f *Entry) spendRetry(service string) bool {
	left, known := f.budgets[service]
	if !known {
		left = retryBurst
	}
	if left < 1 {
		f.deps.Metrics.Add("retries_refused", 1)
		return false
	}
	f.budgets[service] = left - 1
	f.deps.Metrics.Add("retries", 1)
	return true
}

// earnRetry adds to the budget with each new request.
func (f *Entry) earnRetry(service string) {
	left, known := f.budgets[service]
	if !known {
		left = retryBurst
	}
	f.budgets[service] = min(retryBurst, left+retryRatio)
}

// judgeBoxes ejects boxes that fail and records what it finds, so that budgets
// count them.
func (f *Entry) judgeBoxes(ctx context.Context) {
	now := f.now()
	var proposals []wire.Proposal
	for name, box := range f.boxes {
		if f.book.ShouldEject(name) && f.mayEject(box) {
			f.book.Eject(name, now)
			f.deps.Metrics.Add("ejections", 1)
			f.deps.Logger.WithField("box", name).Warn("box is ejected: requests that failed on it passed elsewhere")
		}
		wanted := wire.HealthUp
		if f.book.IsEjected(name) {
			wanted = wire.HealthDown
		}
		if !f.mayJudge(box, wanted) || now.Sub(box.asked) < askAgain {
			continue
		}
		box.asked = now
		proposal := f.proposal(wire.KindHealth, box, "what requests on it have come to")
		proposal.Change.Health = wanted
		proposals = append(proposals, proposal)
	}
	f.propose(ctx, proposals)
}

// mayJudge says whether the log should hear of a box's health. Leaving and gone
// is the platform's to say.
func (f *Entry) mayJudge(box *ownBox, wanted wire.Health) bool {
	if box.Phase == fold.Maintenance || box.Health == wanted {
		return false
	}
	return box.Health == wire.HealthUp || box.Health == wire.HealthDown
}

// mayEject keeps the pool at its floor: a box that answers some requests is
// better than none.
func (f *Entry) mayEject(box *ownBox) bool {
	if box.Pool == fold.FreePool {
		return false
	}
	slots := f.state.Pool(box.Pool).Slots
	for name, other := range f.boxes {
		if other.Pool == box.Pool && other.Usable() && f.book.IsEjected(name) {
			slots -= other.Info.Slots
		}
	}
	if slots-box.Info.Slots < f.state.Table().FloorSlots(box.Pool) {
		f.deps.Metrics.Add("ejections_refused", 1)
		return false
	}
	return true
}
