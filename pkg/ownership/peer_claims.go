package ownership

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"damsonwinch/pkg/cellclaim"
	"damsonwinch/pkg/wire"
)

const (
	// maxClaimsAge is the age of the claims above which a node asks other nodes for newer ones, and the
	// largest age at which it accepts theirs. The age counts from when a read was sent. While nothing
	// changes a read is answered after claimReadWait, and the next one as much later.
	maxClaimsAge = 2*claimReadWait + 500*time.Millisecond
	// cutOffClaimsAge is the age from which a node asks other nodes if the store has not answered any of
	// its calls for maxStoreAge either.
	cutOffClaimsAge = claimReadWait + 500*time.Millisecond
)

// claimsOverdue reports whether this node should ask other nodes for the claims.
func (o *Ownership) claimsOverdue(now time.Time) bool {
	age := now.Sub(o.state.confirmedAt)
	return age >= maxClaimsAge || age >= cutOffClaimsAge && now.Sub(o.StoreAnsweredAt()) >= maxStoreAge
}

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
	for _, member := range o.state.memberList.Members() {
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
		changed = o.adoptClaim(received.Claim.Cell, cellclaim.Claim{CellClaim: received.Claim, Token: received.Token}) || changed
	}
	if changed {
		o.invalidateRanking()
		o.deps.Logger.WithFields(logrus.Fields{"claims": len(m.reply.Claims), "age_ms": m.reply.AgeMs}).Info("claims received from another node")
		o.publishView()
	}
}
