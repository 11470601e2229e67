package entry

import (
	"context"
	"time"

	"damsonwinch/pkg/call"
	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/lease"
	"damsonwinch/pkg/wire"
)

// keeperCallTimeout bounds each call to a keeper.
const keeperCallTimeout = time.Second

// leaseState is the state of the entry's lease, during which it may send to its boxes. The entry renews
// the lease in the log, through a keeper. While the log is out of reach, the keepers of the zone can
// extend it.
type leaseState struct {
	holder      lease.Holder
	lastSeq     int // The number of the last renewal that was issued.
	nextRenewal time.Time
	renewing    bool // A renewal is on its way to a keeper.
	// registered says that the log has listed this sender. If it lists the sender no longer, the sender
	// was released.
	registered        bool
	extensionsPending map[lease.Peer]bool // The keepers that have been asked and have not replied.
}

func newLeaseState(timing lease.Timing) leaseState {
	return leaseState{holder: lease.New(timing), extensionsPending: map[lease.Peer]bool{}}
}

// renew issues the next renewal when it is due. It then also asks for extensions if the lease that the log
// confirms ends soon.
func (e *Entry) renew(ctx context.Context) {
	now := e.now()
	e.publishLease(now)
	if now.Before(e.lease.nextRenewal) {
		return
	}
	e.lease.nextRenewal = now.Add(milliseconds(e.deps.Settings.RenewMs))
	e.requestExtensions(ctx, now)
	if e.lease.renewing {
		return
	}
	e.lease.lastSeq++
	e.lease.holder = e.lease.holder.WithRenewalIssued(e.lease.lastSeq, now)
	e.lease.renewing = true
	member := e.membership()
	e.group.Go(func() error {
		var reply wire.RenewReply
		accepted := e.callKeepers(ctx, "Keeper.Renew", wire.RenewArgs{Member: member}, &reply, func() bool { return reply.Accepted })
		e.post(renewedMessage{accepted: accepted})
		return nil
	})
}

// membership returns this entry's next renewal, with the number lease.lastSeq.
func (e *Entry) membership() wire.Member {
	return wire.Member{
		Node:         e.key.Node,
		Hall:         e.deps.Settings.Hall,
		Entry:        e.key.Incarnation,
		EntryAddress: e.deps.Settings.Address,
		Seq:          e.lease.lastSeq,
		Folded:       e.state.Offset(),
		Leaving:      e.leaving,
	}
}

// callKeepers calls one keeper after another until one replies and satisfied, which looks at the reply,
// returns true. It reports whether one did.
func (e *Entry) callKeepers(ctx context.Context, method string, args, reply any, satisfied func() bool) bool {
	for _, keeper := range e.keepers {
		limited, cancel := context.WithTimeout(ctx, keeperCallTimeout)
		err := keeper.Do(limited, method, args, reply)
		cancel()
		if err == nil && satisfied() {
			return true
		}
	}
	return false
}

// updateLease updates the lease to the last renewal and the members of the zone that the log shows. If the
// log has released this sender, the entry rejoins.
func (e *Entry) updateLease() {
	sender, known := e.state.Sender(e.key)
	switch {
	case known:
		if !e.lease.registered {
			// Renew at once: this sender gets boxes only after a renewal that says that it has applied the
			// records of the zone's members.
			e.lease.nextRenewal = time.Time{}
		}
		e.lease.registered = true
		e.lease.holder = e.lease.holder.WithRenewalConfirmed(sender.Seq)
	case e.lease.registered:
		e.rejoin()
	}
	var members []lease.Peer
	for _, member := range e.state.MembersInZone(e.deps.Settings.Hall) {
		members = append(members, lease.Peer{Node: member.Node, Incarnation: member.KeeperIncarnation})
	}
	e.lease.holder = e.lease.holder.WithPeers(members)
	e.publishLease(e.now())
}

// rejoin makes the entry a sender with a new incarnation after the log has released the old one: the
// old sender's boxes belong to others now, and its lease must never be extended again.
func (e *Entry) rejoin() {
	e.deps.Logger.WithField("entry", e.key.Incarnation).Warn("this sender was released; the entry rejoins with a new incarnation")
	e.deps.Metrics.Add("rejoined", 1)
	e.key.Incarnation = max(e.key.Incarnation+1, int(e.now().UnixNano()))
	e.lease = newLeaseState(lease.Timing{Duration: milliseconds(e.deps.Settings.LeaseMs)})
}

// publishLease publishes the end of the lease, so that each request can check it immediately before it
// is sent.
func (e *Entry) publishLease(now time.Time) {
	until := e.lease.holder.ValidUntil(now)
	e.leaseValidUntil.Store(&until)
}

// leaseValid reports whether the lease is valid now. It may be called by any goroutine.
func (e *Entry) leaseValid() bool {
	return e.now().Before(*e.leaseValidUntil.Load())
}

// requestExtensions asks keepers of the zone for extensions if the lease that the log confirms ends within
// half of a lease's duration. It asks those keepers whose last extension ends within that time too.
func (e *Entry) requestExtensions(ctx context.Context, now time.Time) {
	half := milliseconds(e.deps.Settings.LeaseMs) / 2
	if e.lease.holder.CoveredByLog(now.Add(half)) {
		return
	}
	for _, peer := range e.lease.holder.PeersExpiringBefore(now.Add(half)) {
		member, known := e.state.Member(peer.Node)
		if e.lease.extensionsPending[peer] || !known {
			continue
		}
		e.lease.extensionsPending[peer] = true
		client, key := e.peerClient(member.Address), e.key
		e.group.Go(func() error {
			e.post(requestExtension(ctx, client, peer, key, now))
			return nil
		})
	}
}

// requestExtension asks one keeper for an extension for the sender named by key. A keeper counts as
// exited if its address refuses connections or another incarnation replies.
func requestExtension(ctx context.Context, client *call.Client, peer lease.Peer, key fleetstate.SenderKey, requestedAt time.Time) extendedMessage {
	limited, cancel := context.WithTimeout(ctx, keeperCallTimeout)
	defer cancel()
	var reply wire.ExtendReply
	err := client.Do(limited, "Keeper.Extend", wire.ExtendArgs{Node: key.Node, Entry: key.Incarnation}, &reply)
	message := extendedMessage{key: key, peer: peer, requestedAt: requestedAt}
	switch {
	case err != nil:
		message.exited = call.ConnectionRefused(err)
	case reply.Keeper != peer.Incarnation:
		message.exited = true
	default:
		message.granted = reply.Granted
	}
	return message
}

// handleExtended records the outcome of a request for an extension of the lease.
func (e *Entry) handleExtended(m extendedMessage) {
	if m.key != e.key {
		// The extension is for the sender that this entry was before it was released.
		return
	}
	delete(e.lease.extensionsPending, m.peer)
	switch {
	case m.granted:
		e.lease.holder = e.lease.holder.WithExtension(m.peer, m.requestedAt)
		e.deps.Metrics.Add("extensions", 1)
	case m.exited:
		e.lease.holder = e.lease.holder.WithPeerExited(m.peer, e.now())
	}
	e.publishLease(e.now())
}

// peerClient returns the RPC client for an address. It adds one if there is none.
func (e *Entry) peerClient(address string) *call.Client {
	if e.peerClients[address] == nil {
		e.peerClients[address] = call.New(address, e.deps.Dial, e.deps.Clock)
	}
	return e.peerClients[address]
}
