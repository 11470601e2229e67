package entry

import (
	"context"

	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/wire"
)

const (
	// retriesPerRequest is the number of retries that each new request adds to its service's budget.
	retriesPerRequest = 0.2
	// maxRetryBudget is the largest number of retries in a service's budget, and the initial number.
	maxRetryBudget = 50
)

// spendRetry takes one retry from a service's budget and reports whether there was one. The budget
// keeps retries from multiplying the load of a failing pool.
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

// earnRetry adds to a service's retry budget for a new request.
func (e *Entry) earnRetry(service string) {
	left, known := e.retryBudgets[service]
	if !known {
		left = maxRetryBudget
	}
	e.retryBudgets[service] = min(maxRetryBudget, left+retriesPerRequest)
}

// updateBoxHealth ejects boxes that fail and proposes to the log which of this entry's boxes are up and
// down, so that the limits on boxes that may be down at once count the ejected ones.
func (e *Entry) updateBoxHealth(ctx context.Context) {
	now := e.now()
	var proposals []wire.Proposal
	for name, box := range e.boxes {
		if e.ejections.ShouldEject(name) && e.mayEject(box) {
			e.ejections.Eject(name, now)
			e.deps.Metrics.Add("ejections", 1)
			e.deps.Logger.WithField("box", name).Warn("box is ejected: requests failed on it several times in a row, or failed on it and succeeded on other boxes")
		}
		health := wire.HealthUp
		if e.ejections.IsEjected(name) {
			health = wire.HealthDown
		}
		if !e.mayReportHealth(box, health) || now.Sub(box.proposedAt) < proposalRetryDelay {
			continue
		}
		box.proposedAt = now
		proposal := e.newProposal(wire.KindHealth, box, "what requests on it have come to")
		proposal.Change.Health = health
		proposals = append(proposals, proposal)
	}
	e.propose(ctx, proposals)
}

// mayReportHealth reports whether this entry may propose a health for a box. Only the platform says
// that a box is leaving or gone, so the entry doesn't change those.
func (e *Entry) mayReportHealth(box *ownBox, health wire.Health) bool {
	if box.Phase == fleetstate.Maintenance || box.Health == health {
		return false
	}
	return box.Health == wire.HealthUp || box.Health == wire.HealthDown
}

// mayEject reports whether the pool keeps its floor of usable slots if a box is ejected. Below the floor,
// a box that answers some requests is better than none.
func (e *Entry) mayEject(box *ownBox) bool {
	if box.Pool == fleetstate.FreePool {
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
