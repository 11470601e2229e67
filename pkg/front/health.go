package front

import (
	"context"

	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/wire"
)

// retriesPerRequest is the part of requests that may be retried, and maxRetryBudget what a
// service may save up.
const (
	retriesPerRequest = 0.2
	maxRetryBudget    = 50
)

// spendRetry takes one retry from a service's budget, so that retries can't
// multiply the load of a failing pool.
func (e *Entry) spendRetry(service string) bool {
	left, known := e.retryBudgets[service]
	if !known {
		left = maxRetryBudget
	}
	if left < 1 {
		e.deps.Metrics.Add("retries_refused", 1)
		return false
	}
	e.retryBudgets[service] = left - 1
	e.deps.Metrics.Add("retries", 1)
	return true
}

// earnRetry adds to the budget with each new request.
func (e *Entry) earnRetry(service string) {
	left, known := e.retryBudgets[service]
	if !known {
		left = maxRetryBudget
	}
	e.retryBudgets[service] = min(maxRetryBudget, left+retriesPerRequest)
}

// updateBoxHealth ejects boxes that fail and records what it finds, so that budgets
// count them.
func (e *Entry) updateBoxHealth(ctx context.Context) {
	now := e.now()
	var proposals []wire.Proposal
	for name, box := range e.boxes {
		if e.ejections.ShouldEject(name) && e.mayEject(box) {
			e.ejections.Eject(name, now)
			e.deps.Metrics.Add("ejections", 1)
			e.deps.Logger.WithField("box", name).Warn("box is ejected: requests that failed on it passed elsewhere")
		}
		wanted := wire.HealthUp
		if e.ejections.IsEjected(name) {
			wanted = wire.HealthDown
		}
		if !e.mayReportHealth(box, wanted) || now.Sub(box.proposedAt) < proposalRetryDelay {
			continue
		}
		box.proposedAt = now
		proposal := e.newProposal(wire.KindHealth, box, "what requests on it have come to")
		proposal.Change.Health = wanted
		proposals = append(proposals, proposal)
	}
	e.propose(ctx, proposals)
}

// mayReportHealth says whether the log should hear of a box's health. Leaving and gone
// is the platform's to say.
func (e *Entry) mayReportHealth(box *ownBox, wanted wire.Health) bool {
	if box.Phase == fold.Maintenance || box.Health == wanted {
		return false
	}
	return box.Health == wire.HealthUp || box.Health == wire.HealthDown
}

// mayEject keeps the pool at its floor: a box that answers some requests is
// better than none.
func (e *Entry) mayEject(box *ownBox) bool {
	if box.Pool == fold.FreePool {
		return false
	}
	slots := e.state.Pool(box.Pool).Slots
	for name, other := range e.boxes {
		if other.Pool == box.Pool && other.Usable() && e.ejections.IsEjected(name) {
			slots -= other.Info.Slots
		}
	}
	if slots-box.Info.Slots < e.state.Table().FloorSlots(box.Pool) {
		e.deps.Metrics.Add("ejections_refused", 1)
		return false
	}
	return true
}
