package entry

import (
	"context"
	"time"

	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/invariant"
	"damsonwinch/pkg/wire"
)

// ownBox is a box that this entry sends to.
type ownBox struct {
	fleetstate.Box
	// inUse is the number of slots that this entry's requests use.
	inUse int
	// mayStillRunUntil is the time until which the last request that was sent and not answered may still
	// run on the endpoint.
	mayStillRunUntil time.Time
	// handoverPending says that a proposal to hand the box over may still reach the log. The box gets no
	// new work until its epoch changes: the log may accept the handover at any later time, and the new
	// sender would then drain the box without knowing of requests of this entry that still run there.
	handoverPending bool
	// proposedAt is when a record about the box was last proposed.
	proposedAt time.Time
}

// route is another entry that sends to boxes of a pool, so that requests for the pool can be forwarded
// to it.
type route struct {
	key fleetstate.SenderKey
	// address is the host and port for RPC calls to the entry.
	address string
	// slots is the number of slots on its boxes of the pool that accept work.
	slots int
	// busyUntil is when the entry is assumed to have free slots again.
	busyUntil time.Time
}

// leavingGrace is how long a box may still get work after the entry has read that it is leaving.
const leavingGrace = 2 * time.Second

// proposalRetryDelay is the time after which a proposal that the log doesn't show is repeated.
const proposalRetryDelay = time.Second

// updateFleet updates the boxes, the routes and the number of entries to the current state. old is the
// state before it.
func (e *Entry) updateFleet(old fleetstate.State) {
	routes := map[string][]route{}
	own := map[string]bool{}
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
			own[box.Info.Name] = true
			e.updateOwnBox(box)
		case box.AcceptsWork() && box.Pool != fleetstate.FreePool && !box.Sender.IsNone():
			e.addRoute(routes, box)
		}
	}
	for name := range e.boxes {
		if !own[name] {
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

// updateOwnBox updates one of this entry's boxes to the state that the log has of it, and adds the box if
// it is new here.
func (e *Entry) updateOwnBox(box fleetstate.Box) {
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
		// The log says that the box is up again, after maintenance or because another sender found so.
		// It starts with little load.
		e.ejections.Reinstate(box.Info.Name)
		e.learner.SlowStart(box.Info.Name)
	}
	own.Box = box
}

// removeOwnBox removes a box of which this entry is no longer the sender.
func (e *Entry) removeOwnBox(name string) {
	e.deps.Invariants.Check(invariant.CutInFlight, e.boxes[name].inUse == 0 || !e.lease.holder.MaySend(e.now()),
		"box %s got another sender with %d requests in flight here", name, e.boxes[name].inUse)
	delete(e.boxes, name)
}

// addRoute adds the slots of another entry's box to the route to that entry, which it adds if there is
// none. routes holds the routes by pool.
func (e *Entry) addRoute(routes map[string][]route, box fleetstate.Box) {
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

// keepBusyUntil copies busyUntil from each of the present routes to the one in routes that leads to the
// same entry for the same pool.
func (e *Entry) keepBusyUntil(routes map[string][]route) {
	for pool, oldRoutes := range e.routes {
		for _, old := range oldRoutes {
			for i := range routes[pool] {
				if routes[pool][i].key == old.key {
					routes[pool][i].busyUntil = old.busyUntil
				}
			}
		}
	}
}

// updateLeaving sets which boxes the platform's list shows as leaving. Boxes that were leaving before keep
// the time at which this was first read.
func (e *Entry) updateLeaving(names []string) {
	leaving := make(map[string]time.Time, len(names))
	for _, name := range names {
		since, known := e.boxLeavingSince[name]
		if !known {
			since = e.now()
		}
		leaving[name] = since
	}
	e.boxLeavingSince = leaving
}

// mayStartOn reports whether a new request may be sent to a box. An ejected box takes one request at a
// time, as a probe, and only if mayProbe is set and the box has been ejected for long enough.
func (e *Entry) mayStartOn(box *ownBox, mayProbe bool) bool {
	name := box.Info.Name
	if _, leaving := e.boxLeavingSince[name]; leaving || box.handoverPending || box.Phase != fleetstate.Serving {
		return false
	}
	if e.ejections.IsEjected(name) {
		return mayProbe && box.inUse == 0 && e.ejections.MayProbe(name, e.now()) && box.Health != wire.HealthLeaving && box.Health != wire.HealthGone
	}
	return box.Health == wire.HealthUp
}

// checkNotLeaving checks the invariant that a box which gets work has not been leaving for longer than
// leavingGrace, as far as this entry knows.
func (e *Entry) checkNotLeaving(box *ownBox) {
	since, leaving := e.boxLeavingSince[box.Info.Name]
	e.deps.Invariants.Check(invariant.SentToLeaving, !leaving || e.now().Sub(since) < leavingGrace,
		"box %s got work while it is leaving", box.Info.Name)
}

// proposeDrainedAndHandovers proposes to the log which draining boxes have become empty, and which
// boxes are handed over to other entries.
func (e *Entry) proposeDrainedAndHandovers(ctx context.Context) {
	now := e.now()
	var proposals []wire.Proposal
	for _, box := range e.boxes {
		if now.Sub(box.proposedAt) < proposalRetryDelay {
			continue
		}
		if box.inUse > 0 || now.Before(box.mayStillRunUntil) {
			continue
		}
		if box.Phase == fleetstate.Draining && e.state.LogTimeMs() >= box.HeldUntil {
			box.proposedAt = now
			proposals = append(proposals, e.newProposal(wire.KindEmpty, box, "its last request has ended"))
		}
	}
	proposals = append(proposals, e.handoverProposals(now)...)
	e.propose(ctx, proposals)
}

// newProposal returns a proposal to change a box, made in the name of this entry and valid for the box's
// current epoch.
func (e *Entry) newProposal(kind wire.Kind, box *ownBox, cause string) wire.Proposal {
	return wire.Proposal{
		Kind:   kind,
		Cause:  cause,
		Author: e.key.Node,
		Change: &wire.BoxChange{Box: box.Info.Name, Epoch: box.Epoch, Node: e.key.Node, Entry: e.key.Incarnation},
	}
}

// propose sends proposals to the first keeper that queues them, in a goroutine. Lost proposals need no
// handling here: they are made again as long as the log's state doesn't show them.
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
