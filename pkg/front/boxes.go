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
	// givenUp says that a hand-over may be on its way. The box gets no new work
	// until its epoch changes: the log may take the hand-over at any later time,
	// and the heir would drain a box on which requests of ours still run.
	givenUp bool
	// asked is when a record about the box was last proposed.
	asked time.Time
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

// askAgain is the time after which a proposal that wasn't folded is repeated.
const askAgain = time.Second

// takeFleet takes the boxes and routes of the present state.
func (f *Entry) takeFleet(old fold.State) {
	routes := map[string][]route{}
	mine := map[string]bool{}
	entries := 0
	for _, sender := range f.state.Senders() {
		if sender.Seq > 0 {
			entries++
		}
	}
	f.entries.Store(int64(entries))
	for _, box := range f.state.Boxes() {
		switch {
		case box.Sender == f.key:
			mine[box.Info.Name] = true
			f.takeOwn(box)
		case box.AcceptsWork() && box.Pool != fold.FreePool && !box.Sender.IsNone():
			f.addRoute(routes, box)
		}
	}
	for name := range f.boxes {
		if !mine[name] {
			f.loseOwn(name)
		}
	}
	f.keepBusy(routes)
	f.routes = routes
	f.cache = newCache()
	if f.state.Table().Version() != old.Table().Version() {
		f.requeue()
	}
}

func (f *Entry) takeOwn(box fold.Box) {
	own := f.boxes[box.Info.Name]
	if own == nil {
		f.boxes[box.Info.Name] = &ownBox{Box: box}
		if box.Health == wire.HealthDown {
			f.book.Eject(box.Info.Name, f.now())
		}
		return
	}
	f.deps.Invariants.Check(invariant.PoolOverlap, own.Pool == box.Pool || own.inUse == 0,
		"box %s went from pool %s to %s with %d requests in flight", box.Info.Name, own.Pool, box.Pool, own.inUse)
	if own.Epoch != box.Epoch {
		own.asked, own.givenUp = time.Time{}, false
	}
	if own.Health != wire.HealthUp && box.Health == wire.HealthUp && f.book.IsEjected(box.Info.Name) {
		// It was maintained, or another judged it: begin slowly.
		f.book.Reinstate(box.Info.Name)
		f.learner.SlowStart(box.Info.Name)
	}
	own.Box = box
}

// loseOwn forgets a box that has another sender now.
func (f *Entry) loseOwn(name string) {
	f.deps.Invariants.Check(invariant.CutInFlight, f.boxes[name].inUse == 0 || !f.leasing.holder.MaySend(f.now()),
		"box %s got another sender with %d requests in flight here", name, f.boxes[name].inUse)
	delete(f.boxes, name)
}

func (f *Entry) addRoute(routes map[string][]route, box fold.Box) {
	for i := range routes[box.Pool] {
		if routes[box.Pool][i].key == box.Sender {
			routes[box.Pool][i].slots += box.Info.Slots
			return
		}
	}
	sender, known := f.state.Sender(box.Sender)
	if !known {
		return
	}
	routes[box.Pool] = append(routes[box.Pool], route{key: box.Sender, address: sender.Address, slots: box.Info.Slots})
}

func (f *Entry) keepBusy(routes map[string][]route) {
	for pool, old := range f.routes {
		for _, was := range old {
			for i := range routes[pool] {
				if routes[pool][i].key == was.key {
					routes[pool][i].busyUntil = was.busyUntil
				}
			}
		}
	}
}

// takeAvoid notes which boxes the platform's list shows as leaving.
func (f *Entry) takeAvoid(names []string) {
	avoid := make(map[string]time.Time, len(names))
	for _, name := range names {
		since, known := f.avoid[name]
		if !known {
			since = f.now()
		}
		avoid[name] = since
	}
	f.avoid = avoid
}

// open says whether a box takes new work from an item.
func (f *Entry) open(box *ownBox, repeatable bool) bool {
	name := box.Info.Name
	if _, leaving := f.avoid[name]; leaving || box.givenUp || box.Phase != fold.Serving {
		return false
	}
	if f.book.IsEjected(name) {
		return repeatable && box.inUse == 0 && f.book.MayProbe(name, f.now()) && box.Health != wire.HealthLeaving && box.Health != wire.HealthGone
	}
	return box.Health == wire.HealthUp
}

// checkLeaving asserts that a box which gets work isn't known to leave.
func (f *Entry) checkLeaving(box *ownBox) {
	since, leaving := f.avoid[box.Info.Name]
	f.deps.Invariants.Check(invariant.SentToLeaving, !leaving || f.now().Sub(since) < leavingGrace,
		"box %s got work while it is leaving", box.Info.Name)
}

// endDrains says which draining boxes have become empty, and in a planned stop
// hands over boxes that have nothing in flight.
func (f *Entry) endDrains(ctx context.Context) {
	now := f.now()
	var proposals []wire.Proposal
	for _, box := range f.boxes {
		if now.Sub(box.asked) < askAgain {
			continue
		}
		if box.inUse > 0 || now.Before(box.mayRunUntil) {
			continue
		}
		if box.Phase == fold.Draining && f.state.LogTimeMs() >= box.HeldUntil {
			box.asked = now
			proposals = append(proposals, f.proposal(wire.KindEmpty, box, "its last request has ended"))
		}
	}
	proposals = append(proposals, f.handovers(now)...)
	f.propose(ctx, proposals)
}

func (f *Entry) proposal(kind wire.Kind, box *ownBox, cause string) wire.Proposal {
	return wire.Proposal{
		Kind:   kind,
		Cause:  cause,
		Author: f.key.Node,
		Change: &wire.BoxChange{Box: box.Info.Name, Epoch: box.Epoch, Node: f.key.Node, Entry: f.key.Incarnation},
	}
}

// propose hands proposals to the first keeper that takes them. What is lost on
// the way is proposed again from the state.
func (f *Entry) propose(ctx context.Context, proposals []wire.Proposal) {
	if len(proposals) == 0 {
		return
	}
	f.group.Go(func() error {
		var reply wire.ProposeReply
		if !f.askKeepers(ctx, "Keeper.Propose", wire.ProposeArgs{Proposals: proposals}, &reply, func() bool { return reply.Queued }) {
			f.deps.Metrics.Add("propose_failures", 1)
		}
		return nil
	})
}
