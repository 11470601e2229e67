package front

import (
	"context"
	"time"

	"damsonwinch/pkg/call"
	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/lease"
	"damsonwinch/pkg/wire"
)

const keeperCallTimeout = time.Second

// leaseState is the entry's right to send.
type leaseState struct {
	holder      lease.Holder
	lastSeq     int
	nextRenewal time.Time
	renewing    bool
	// registered says that the log has shown this sender.
	registered        bool
	extensionsPending map[lease.Peer]bool
}

func newLeaseState(terms lease.Timing) leaseState {
	return leaseState{holder: lease.NewHolder(terms), extensionsPending: map[lease.Peer]bool{}}
}

// renew issues the next renewal when it is time, and asks the hall's members
// for extensions when the log's lease runs low.
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

// callKeepers calls one keeper after another until one is satisfied.
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

// updateLease takes the lease that the folded state shows, and the hall's roster.
func (e *Entry) updateLease() {
	sender, known := e.state.Sender(e.key)
	switch {
	case known:
		if !e.lease.registered {
			// The next renewal says that the hall's roster is folded: only then is
			// this sender given boxes.
			e.lease.nextRenewal = time.Time{}
		}
		e.lease.registered = true
		e.lease.holder = e.lease.holder.WithRenewalConfirmed(sender.Seq)
	case e.lease.registered:
		e.rejoin()
	}
	var roster []lease.Peer
	for _, member := range e.state.MembersInZone(e.deps.Settings.Hall) {
		roster = append(roster, lease.Peer{Node: member.Node, Incarnation: member.KeeperIncarnation})
	}
	e.lease.holder = e.lease.holder.WithPeers(roster)
	e.publishLease(e.now())
}

// rejoin makes the entry a new sender after its release: the old one's boxes are
// others' now, and its lease must never be extended again.
func (e *Entry) rejoin() {
	e.deps.Logger.WithField("entry", e.key.Incarnation).Warn("this sender was released; the entry comes back as another")
	e.deps.Metrics.Add("rejoined", 1)
	e.key.Incarnation = max(e.key.Incarnation+1, int(e.now().UnixNano()))
	e.lease = newLeaseState(lease.Timing{Duration: milliseconds(e.deps.Settings.LeaseMs)})
}

// publishLease lets requests read the clock against the lease directly before
// each send.
func (e *Entry) publishLease(now time.Time) {
	until := e.lease.holder.ValidUntil(now)
	e.leaseValidUntil.Store(&until)
}

// leaseValid says whether the lease holds at this very moment.
func (e *Entry) leaseValid() bool {
	return e.now().Before(*e.leaseValidUntil.Load())
}

// requestExtensions asks the members of the hall whose promise would run out soon.
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

func requestExtension(ctx context.Context, client *call.Client, peer lease.Peer, key fold.SenderKey, asked time.Time) extendedMessage {
	limited, cancel := context.WithTimeout(ctx, keeperCallTimeout)
	defer cancel()
	var reply wire.ExtendReply
	err := client.Do(limited, "Keeper.Extend", wire.ExtendArgs{Node: key.Node, Entry: key.Incarnation}, &reply)
	message := extendedMessage{key: key, peer: peer, requestedAt: asked}
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

func (e *Entry) handleExtended(m extendedMessage) {
	if m.key != e.key {
		// It was granted to the sender that this entry was before its release.
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

// peerClient returns the client for an address.
func (e *Entry) peerClient(address string) *call.Client {
	if e.peerClients[address] == nil {
		e.peerClients[address] = call.New(address, e.deps.Dial, e.deps.Clock)
	}
	return e.peerClients[address]
}
