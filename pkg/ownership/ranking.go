package ownership

import "damsonwinch/pkg/succession"

// rankingLifetime is how long a ranking is used. Which members are alive also changes as time passes.
const rankingLifetime = tickInterval

// ranking returns the ranking of the live members by the present claims.
func (o *Ownership) ranking() *succession.Ranking {
	s := &o.state
	now := o.deps.Clock.Now()
	if s.ranking == nil || now.Sub(s.rankedAt) >= rankingLifetime {
		s.ranking, s.rankedAt = succession.Rank(o.liveMembers(), o.liveOwners()), now
	}
	return s.ranking
}

// liveOwners returns the names of the owners that are probably alive, by cell.
func (o *Ownership) liveOwners() map[string]string {
	live := map[string]string{}
	for cell, claim := range o.state.claims {
		if o.isOwnerAlive(claim) {
			live[cell] = claim.Node
		}
	}
	return live
}

// invalidateRanking is called when the claims, the members or what is known of their health have
// changed.
func (o *Ownership) invalidateRanking() {
	o.state.ranking, o.state.watchedStale = nil, true
}
