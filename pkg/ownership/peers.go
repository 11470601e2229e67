package ownership

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"damsonwinch/pkg/wire"
)

// staleAfter is the age of the claims at which a node asks others for newer ones:
// readings that wait for a second are answered every second.
const staleAfter = 1500 * time.Millisecond

// askPeer asks the next node that is known for the claims. A node that has lost
// only the store learns from others who owns the cells, and that it no longer
// owns its own.
func (o *Ownership) askPeer(now time.Time) {
	s := &o.state
	addresses := o.peerAddresses()
	if len(addresses) == 0 {
		return
	}
	address := addresses[s.asked%len(addresses)]
	s.asking, s.askedAt = true, now
	s.asked++
	o.group.Go(func() error {
		ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
		defer cancel()
		reply, err := o.deps.FetchClaims(ctx, address, wire.ClaimsArgs{Node: o.options.Self.Node})
		o.send(claimsHeard{reply: reply, err: err})
		return nil
	})
}

// peerAddresses returns the addresses of all other nodes that are known.
func (o *Ownership) peerAddresses() []string {
	var addresses []string
	add := func(address string) {
		if address != o.options.Self.Address && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	for _, member := range o.state.roster.members {
		add(member.Address)
	}
	for _, claim := range o.state.claims {
		add(claim.Address)
	}
	slices.Sort(addresses)
	return addresses
}

// hear takes claims from another node that the store has answered lately. They
// are as true as those from the store, but confirm nothing of this node's own.
func (o *Ownership) hear(m claimsHeard) {
	s := &o.state
	s.asking = false
	if m.err != nil || m.reply.AgeMs > int(staleAfter.Milliseconds()) {
		o.deps.Metrics.Add("peers_without_claims", 1)
		return
	}
	changed := o.hearLayout(m.reply.Layout)
	for _, heard := range m.reply.Claims {
		if known := s.claims[heard.Claim.Cell]; heard.Token > known.Token {
			s.claims[heard.Claim.Cell] = Claim{CellClaim: heard.Claim, Token: heard.Token}
			changed = true
		}
	}
	if changed {
		s.watchedOld = true
		o.deps.Logger.WithFields(logrus.Fields{"claims": len(m.reply.Claims), "age_ms": m.reply.AgeMs}).Info("claims heard from another node")
		o.publish()
	}
}
