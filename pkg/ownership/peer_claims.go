package ownership

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"damsonwinch/pkg/wire"
)

// maxClaimsAge is the age of the claims above which a node asks other nodes for newer ones, and the
// largest age at which it accepts theirs. A read that waits a second for new records is answered at
// least every second, so the claims are usually younger.
const maxClaimsAge = 1500 * time.Millisecond

// fetchPeerClaims starts to fetch the claims from another node, a different one each time. A node that
// is cut off only from the store learns in this way which nodes own the cells, and that it no longer
// owns its own.
func (o *Ownership) fetchPeerClaims(now time.Time) {
	s := &o.state
	addresses := o.peerAddresses()
	if len(addresses) == 0 {
		return
	}
	address := addresses[s.fetchCount%len(addresses)]
	s.fetchPending, s.fetchSentAt = true, now
	s.fetchCount++
	o.group.Go(func() error {
		ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
		defer cancel()
		reply, err := o.deps.FetchClaims(ctx, address, wire.ClaimsArgs{Node: o.options.Self.Node})
		o.send(peerClaimsReceived{reply: reply, err: err})
		return nil
	})
}

// peerAddresses returns the addresses of all other members and owners, sorted.
func (o *Ownership) peerAddresses() []string {
	var addresses []string
	add := func(address string) {
		if address != o.options.Self.Address && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	for _, member := range o.state.memberList.members {
		add(member.Address)
	}
	for _, claim := range o.state.claims {
		add(claim.Address)
	}
	slices.Sort(addresses)
	return addresses
}

// handlePeerClaims adopts the newer claims from another node's reply, if the store has confirmed them
// within maxClaimsAge. They are as valid as claims read from the store, but don't confirm this node's
// own claims.
func (o *Ownership) handlePeerClaims(m peerClaimsReceived) {
	s := &o.state
	s.fetchPending = false
	if m.err != nil || m.reply.AgeMs > int(maxClaimsAge.Milliseconds()) {
		o.deps.Metrics.Add("peers_without_claims", 1)
		return
	}
	changed := o.adoptPeerLayout(m.reply.Layout)
	for _, received := range m.reply.Claims {
		if known := s.claims[received.Claim.Cell]; received.Token > known.Token {
			s.claims[received.Claim.Cell] = Claim{CellClaim: received.Claim, Token: received.Token}
			changed = true
		}
	}
	if changed {
		o.invalidateRanking()
		o.deps.Logger.WithFields(logrus.Fields{"claims": len(m.reply.Claims), "age_ms": m.reply.AgeMs}).Info("claims received from another node")
		o.publishView()
	}
}
