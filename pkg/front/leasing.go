package front

import (
	"context"
	"time"

	"damsonwinch/pkg/call"
	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/lease"
	"damsonwinch/pkg/wire"
)

const callTimeout = time.Second

// leasing is the entry's right to send.
type leasing struct {
	holder   lease.Holder
	seq      int
	next     time.Time
	renewing bool
	// registered says that the log has shown this sender.
	registered bool
	asking     map[lease.Peer]bool
}

func newLeasing(terms lease.Timing) leasing {
	return leasing{holder: lease.NewHolder(terms), asking: map[lease.Peer]bool{}}
}

// renew issues the next renewal when it is time, and asks the hall's members
// for extensions when the log's lease runs low.
func (f *Entry) renew(ctx context.Context) {
	now := f.now()
	f.publishLease(now)
	if now.Before(f.leasing.next) {
		return
	}
	f.leasing.next = now.Add(milliseconds(f.deps.Settings.RenewMs))
	f.extend(ctx, now)
	if f.leasing.renewing {
		return
	}
	f.leasing.seq++
	f.leasing.holder = f.leasing.holder.WithRenewalIssued(f.leasing.seq, now)
	f.leasing.renewing = true
	member := f.member()
	f.group.Go(func() error {
		var reply wire.RenewReply
		accepted := f.askKeepers(ctx, "Keeper.Renew", wire.RenewArgs{Member: member}, &reply, func() bool { return reply.Accepted })
		f.post(renewedMessage{accepted: accepted})
		return nil
	})
}

func (f *Entry) member() wire.Member {
	return wire.Member{
		Node:         f.key.Node,
		Hall:         f.deps.Settings.Hall,
		Entry:        f.key.Incarnation,
		EntryAddress: f.deps.Settings.Address,
		Seq:          f.leasing.seq,
		Folded:       f.state.Offset(),
		Leaving:      f.leaving,
	}
}

// askKeepers calls one keeper after another until one is satisfied.
func (f *Entry) askKeepers(ctx context.Context, method string, args, reply any, satisfied func() bool) bool {
	for _, keeper := range f.keepers {
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		err := keeper.Do(limited, method, args, reply)
		cancel()
		if err == nil && satisfied() {
			return true
		}
	}
	return false
}

// readBack takes the lease that the folded state shows, and the hall's roster.
func (f *Entry) readBack() {
	sender, known := f.state.Sender(f.key)
	switch {
	case known:
		if !f.leasing.registered {
			// The next renewal says that the hall's roster is folded: only then is
			// this sender given boxes.
			f.leasing.next = time.Time{}
		}
		f.leasing.registered = true
		f.leasing.holder = f.leasing.holder.WithRenewalConfirmed(sender.Seq)
	case f.leasing.registered:
		f.rejoin()
	}
	var roster []lease.Peer
	for _, member := range f.state.MembersInZone(f.deps.Settings.Hall) {
		roster = append(roster, lease.Peer{Node: member.Node, Incarnation: member.KeeperIncarnation})
	}
	f.leasing.holder = f.leasing.holder.WithPeers(roster)
	f.publishLease(f.now())
}

// rejoin makes the entry a new sender after its release: the old one's boxes are
// others' now, and its lease must never be extended again.
func (f *Entry) rejoin() {
	f.deps.Logger.WithField("entry", f.key.Incarnation).Warn("this sender was released; the entry comes back as another")
	f.deps.Metrics.Add("rejoined", 1)
	f.key.Incarnation = max(f.key.Incarnation+1, int(f.now().UnixNano()))
	f.leasing = newLeasing(lease.Timing{Duration: milliseconds(f.deps.Settings.LeaseMs)})
}

// publishLease lets requests read the clock against the lease directly before
// each send.
func (f *Entry) publishLease(now time.Time) {
	until := f.leasing.holder.ValidUntil(now)
	f.sendUntil.Store(&until)
}

// covered says whether the lease holds at this very moment.
func (f *Entry) covered() bool {
	return f.now().Before(*f.sendUntil.Load())
}

// extend asks the members of the hall whose promise would run out soon.
func (f *Entry) extend(ctx context.Context, now time.Time) {
	half := milliseconds(f.deps.Settings.LeaseMs) / 2
	if f.leasing.holder.CoveredByLog(now.Add(half)) {
		return
	}
	for _, peer := range f.leasing.holder.PeersExpiringBefore(now.Add(half)) {
		member, known := f.state.Member(peer.Node)
		if f.leasing.asking[peer] || !known {
			continue
		}
		f.leasing.asking[peer] = true
		client, key := f.peer(member.Address), f.key
		f.group.Go(func() error {
			f.post(askExtension(ctx, client, peer, key, now))
			return nil
		})
	}
}

func askExtension(ctx context.Context, client *call.Client, peer lease.Peer, key fold.SenderKey, asked time.Time) extendedMessage {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply wire.ExtendReply
	err := client.Do(limited, "Keeper.Extend", wire.ExtendArgs{Node: key.Node, Entry: key.Incarnation}, &reply)
	message := extendedMessage{key: key, peer: peer, asked: asked}
	switch {
	case err != nil:
		message.ended = call.ConnectionRefused(err)
	case reply.Keeper != peer.Incarnation:
		message.ended = true
	default:
		message.granted = reply.Granted
	}
	return message
}

func (f *Entry) takeExtended(m extendedMessage) {
	if m.key != f.key {
		// It was granted to the sender that this entry was before its release.
		return
	}
	delete(f.leasing.asking, m.peer)
	switch {
	case m.granted:
		f.leasing.holder = f.leasing.holder.WithExtension(m.peer, m.asked)
		f.deps.Metrics.Add("extensions", 1)
	case m.ended:
		f.leasing.holder = f.leasing.holder.WithPeerExited(m.peer, f.now())
	}
	f.publishLease(f.now())
}

// peer returns the client for an address.
func (f *Entry) peer(address string) *call.Client {
	if f.peers[address] == nil {
		f.peers[address] = call.New(address, f.deps.Dial, f.deps.Clock)
	}
	return f.peers[address]
}
