package front

import (
	"context"
	"time"

	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/invariant"
	"damsonwinch/pkg/wire"
)

// ownBox is a box that this entry sends to.
type ownBox struct {
	fold.Box
	inUse int
	// mayRunUntil is when the last attempt that broke off has surely ended on
	// the endpoint.
	mayRunUntil time.Time
	// handoverPending says that a hand-over may be on its way. The box gets no new work
	// until its epoch changes: the log may take the hand-over at any later time,
	// and the heir would drain a box on which requests of ours still run.
	handoverPending bool
	// proposedAt is when a record about the box was last proposed.
	proposedAt time.Time
}

// route is another sender's part of a pool.
type route struct {
	key     fold.SenderKey
	address string
	slots   int
	// busyUntil is when the sender may have free slots again.
	busyUntil time.Time
}

// leavingGrace is how long a leaving box may still get work.
const leavingGrace = 2 * time.Second

// proposalRetryDelay is the time after which a proposal that wasn't folded is repeated.
const proposalRetryDelay = time.Second

// updateFleet takes the boxes and routes of the present state.
func (e *Entry) updateFleet(old fold.State) {
	routes := map[string][]route{}
	mine := map[string]bool{}
	entries := 0
	for _, sender := range e.state.Senders() {
		if sender.Seq > 0 {
			entries++
		}
	}
	e.entryCount.Store(int64(entries))
	for _, box := range e.state.Boxes() {
		switch {
		case box.Sender == e.key:
			mine[box.Info.Name] = true
			e.updateOwnBox(box)
		case box.AcceptsWork() && box.Pool != fold.FreePool && !box.Sender.IsNone():
			e.addRoute(routes, box)
		}
	}
	for name := range e.boxes {
		if !mine[name] {
			e.removeOwnBox(name)
		}
	}
	e.keepBusyUntil(routes)
	e.routes = routes
	e.cache = newCache()
	if e.state.Table().Version() != old.Table().Version() {
		e.requeueMoved()
	}
}

func (e *Entry) updateOwnBox(box fold.Box) {
	own := e.boxes[box.Info.Name]
	if own == nil {
		e.boxes[box.Info.Name] = &ownBox{Box: box}
		if box.Health == wire.HealthDown {
			e.ejections.Eject(box.Info.Name, e.now())
		}
		return
	}
	e.deps.Invariants.Check(invariant.PoolOverlap, own.Pool == box.Pool || own.inUse == 0,
		"box %s went from pool %s to %s with %d requests in flight", box.Info.Name, own.Pool, box.Pool, own.inUse)
	if own.Epoch != box.Epoch {
		own.proposedAt, own.handoverPending = time.Time{}, false
	}
	if own.Health != wire.HealthUp && box.Health == wire.HealthUp && e.ejections.IsEjected(box.Info.Name) {
		// It was maintained, or another judged it: begin slowly.
		e.ejections.Reinstate(box.Info.Name)
		e.learner.SlowStart(box.Info.Name)
	}
	own.Box = box
}

// removeOwnBox forgets a box that has another sender now.
func (e *Entry) removeOwnBox(name string) {
	e.deps.Invariants.Check(invariant.CutInFlight, e.boxes[name].inUse == 0 || !e.lease.holder.MaySend(e.now()),
		"box %s got another sender with %d requests in flight here", name, e.boxes[name].inUse)
	delete(e.boxes, name)
}

func (e *Entry) addRoute(routes map[string][]route, box fold.Box) {
	for i := range routes[box.Pool] {
		if routes[box.Pool][i].key == box.Sender {
			routes[box.Pool][i].slots += box.Info.Slots
			return
		}
	}
	sender, known := e.state.Sender(box.Sender)
	if !known {
		return
	}
	routes[box.Pool] = append(routes[box.Pool], route{key: box.Sender, address: sender.Address, slots: box.Info.Slots})
}

func (e *Entry) keepBusyUntil(routes map[string][]route) {
	for pool, old := range e.routes {
		for _, was := range old {
			for i := range routes[pool] {
				if routes[pool][i].key == was.key {
					routes[pool][i].busyUntil = was.busyUntil
				}
			}
		}
	}
}

// updateLeaving notes which boxes the platform's list shows as leaving.
func (e *Entry) updateLeaving(names []string) {
	avoid := make(map[string]time.Time, len(names))
	for _, name := range names {
		since, known := e.boxLeavingSince[name]
		if !known {
			since = e.now()
		}
		avoid[name] = since
	}
	e.boxLeavingSince = avoid
}

// mayStartOn says whether a box takes new work from an item.
func (e *Entry) mayStartOn(box *ownBox, repeatable bool) bool {
	name := box.Info.Name
	if _, leaving := e.boxLeavingSince[name]; leaving || box.handoverPending || box.Phase != fold.Serving {
		return false
	}
	if e.ejections.IsEjected(name) {
		return repeatable && box.inUse == 0 && e.ejections.MayProbe(name, e.now()) && box.Health != wire.HealthLeaving && box.Health != wire.HealthGone
	}
	return box.Health == wire.HealthUp
}

// checkNotLeaving asserts that a box which gets work isn't known to leave.
func (e *Entry) checkNotLeaving(box *ownBox) {
	since, leaving := e.boxLeavingSince[box.Info.Name]
	e.deps.Invariants.Check(invariant.SentToLeaving, !leaving || e.now().Sub(since) < leavingGrace,
		"box %s got work while it is leaving", box.Info.Name)
}

// proposeBoxChanges says which draining boxes have become empty, and in a planned stop
// hands over boxes that have nothing in flight.
func (e *Entry) proposeBoxChanges(ctx context.Context) {
	now := e.now()
	var proposals []wire.Proposal
	for _, box := range e.boxes {
		if now.Sub(box.proposedAt) < proposalRetryDelay {
			continue
		}
		if box.inUse > 0 || now.Before(box.mayRunUntil) {
			continue
		}
		if box.Phase == fold.Draining && e.state.LogTimeMs() >= box.HeldUntil {
			box.proposedAt = now
			proposals = append(proposals, e.newProposal(wire.KindEmpty, box, "its last request has ended"))
		}
	}
	proposals = append(proposals, e.handoverProposals(now)...)
	e.propose(ctx, proposals)
}

func (e *Entry) newProposal(kind wire.Kind, box *ownBox, cause string) wire.Proposal {
	return wire.Proposal{
		Kind:   kind,
		Cause:  cause,
		Author: e.key.Node,
		Change: &wire.BoxChange{Box: box.Info.Name, Epoch: box.Epoch, Node: e.key.Node, Entry: e.key.Incarnation},
	}
}

// propose hands proposals to the first keeper that takes them. What is lost on
// the way is proposed again from the state.
func (e *Entry) propose(ctx context.Context, proposals []wire.Proposal) {
	if len(proposals) == 0 {
		return
	}
	e.group.Go(func() error {
		var reply wire.ProposeReply
		if !e.callKeepers(ctx, "Keeper.Propose", wire.ProposeArgs{Proposals: proposals}, &reply, func() bool { return reply.Queued }) {
			e.deps.Metrics.Add("propose_failures", 1)
		}
		return nil
	})
}
