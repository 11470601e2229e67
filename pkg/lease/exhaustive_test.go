package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// The search below tries every order of events for one sender and the keepers of its zone, which may
// release it. They share a log that accepts appends late, loses the responses to them or never accepts
// them. The search models a network partition, in any direction, by reads or requests that don't happen,
// and a suspended process by one that does nothing for a time.

// bounds limit the search. The duration of a lease, the clock drift and the end of the search (horizon)
// are in ticks. The others are the number of renewals that the sender issues and the number of restarts
// of each keeper.
type bounds struct {
	duration, drift, horizon, renewals, restarts int
}

var searchBounds = bounds{duration: 1, drift: 0, horizon: 4, renewals: 2, restarts: 1}

// searchEpoch is the Unix time of tick 0, in seconds.
const searchEpoch = 1000

// ruleSet holds the rules that the search can leave out, to show that it finds the fault that each of
// them prevents.
type ruleSet struct {
	mustBeKnown         bool // Only a member that the sender knew may release it. Without the rule, any that joined before the last renewal's record may.
	exitedBeforeRelease bool // An exited peer counts only if it exited before it could propose a release.
	denyAfterProposal   bool // No extensions while a release may still be accepted.
	denyUnlisted        bool // No extensions for a sender that the log doesn't list.
	stayReleased        bool // A late renewal doesn't register a released sender again.
}

// allRules returns the rules as they are in use.
func allRules() ruleSet {
	return ruleSet{mustBeKnown: true, exitedBeforeRelease: true, denyAfterProposal: true, denyUnlisted: true, stayReleased: true}
}

// activeRules are the rules that the search uses.
var activeRules = allRules()

// violated reports whether the sender may send although it has been released. Another sender may have
// its boxes by then.
func (w world) violated() bool {
	return w.released && !w.senderKnowsRelease && w.holder.MaySend(at(w.now))
}

// successors returns all states to which one event can lead.
func (w world) successors() []world {
	if w.senderKnowsRelease {
		// The sender has stopped for good, so no later state can violate the rule.
		return nil
	}
	var all []world
	do := func(change func(n *world)) {
		n := w.clone()
		change(&n)
		all = append(all, n)
	}
	if w.now < searchBounds.horizon {
		do(func(n *world) { n.now++ })
	}
	if w.newestRenewal < searchBounds.renewals {
		do(func(n *world) {
			n.newestRenewal++
			n.holder = n.holder.WithRenewalIssued(n.newestRenewal, at(n.now))
			n.inFlight = append(n.inFlight, record{kind: 'r', renewal: n.newestRenewal, senderApplied: n.senderApplied})
		})
	}
	for i := range w.inFlight {
		do(func(n *world) {
			r := n.inFlight[i]
			n.inFlight = append(n.inFlight[:i:i], n.inFlight[i+1:]...)
			n.apply(r)
		})
	}
	if w.senderApplied < len(w.log) {
		do(func(n *world) { n.readBySender() })
	}
	for k := range w.keepers {
		all = append(all, w.keeperSuccessors(k, do)...)
	}
	return all
}

// keeperSuccessors passes to do each event that involves a keeper. It returns no states itself.
func (w world) keeperSuccessors(k int, do func(func(n *world))) []world {
	keeper := w.keepers[k]
	if incarnation, listed := w.senderMembers[k]; listed && !keeper.reply.pending {
		do(func(n *world) { n.requestExtension(k, incarnation) })
	}
	if keeper.reply.pending {
		do(func(n *world) { n.receiveReply(k) })
	}
	if !keeper.alive {
		if keeper.restarts < searchBounds.restarts {
			do(func(n *world) {
				restarted := &n.keepers[k]
				restarted.alive, restarted.applied = true, 0
				restarted.restarts++
				restarted.incarnation++
				restarted.grantor = NewGrantor(keeper.grantor.timing)
				n.inFlight = append(n.inFlight, record{kind: 'j', keeper: k, incarnation: restarted.incarnation})
			})
		}
		return nil
	}
	if keeper.applied < len(w.log) {
		do(func(n *world) { n.readByKeeper(k) })
	}
	if keeper.restarts < searchBounds.restarts {
		do(func(n *world) { n.keepers[k].alive = false })
	}
	if keeper.skew < searchBounds.drift {
		do(func(n *world) { n.keepers[k].skew++ })
	}
	release := record{kind: 'x', keeper: k, incarnation: keeper.incarnation, renewal: keeper.grantor.LastRenewal("s")}
	// The log would refuse a second copy of a release, as it refuses an outdated one.
	proposed := slices.Contains(w.inFlight, release) || slices.Contains(w.log, release)
	if !proposed && keeper.grantor.MayRelease("s", at(w.now+keeper.skew)) {
		do(func(n *world) {
			proposer := &n.keepers[k]
			n.inFlight = append(n.inFlight, release)
			if activeRules.denyAfterProposal {
				proposer.grantor = proposer.grantor.WithReleaseProposed("s")
			}
		})
	}
	return nil
}

// requestExtension has the sender request an extension from an incarnation of a keeper. The reply may
// arrive at any later time.
func (w *world) requestExtension(k, incarnation int) {
	keeper := &w.keepers[k]
	reply := replyModel{pending: true, requestedAt: w.now, incarnation: incarnation}
	switch {
	case !keeper.alive || keeper.incarnation != incarnation:
		reply.exited = true
	case len(keeper.grantor.senders) == 0 && !activeRules.denyUnlisted:
		reply.granted = true
	default:
		keeper.grantor, reply.granted = keeper.grantor.Extend("s", at(w.now+keeper.skew))
	}
	keeper.reply = reply
}

// receiveReply has the sender receive the reply of a keeper.
func (w *world) receiveReply(k int) {
	reply := w.keepers[k].reply
	w.keepers[k].reply = replyModel{}
	peer := Peer{Node: fmt.Sprint(k), Incarnation: reply.incarnation}
	switch {
	case reply.granted:
		w.holder = w.holder.WithExtension(peer, at(reply.requestedAt))
	case reply.exited && activeRules.exitedBeforeRelease:
		w.holder = w.holder.WithPeerExited(peer, at(w.now))
	case reply.exited:
		w.holder = w.holder.WithPeerExited(peer, at(-searchBounds.horizon))
	}
}

// searchStates visits all states, up to maxStates, in breadth-first order. It returns how many it has
// seen and, if it finds one, a state in which the sender may send although it has been released.
func searchStates(keepers, maxStates int) (int, *world) {
	start := newWorld(keepers)
	visited := map[string]bool{start.key(): true}
	queue := []world{start}
	for len(queue) > 0 && len(visited) < maxStates {
		w := queue[0]
		queue = queue[1:]
		if w.violated() {
			return len(visited), &w
		}
		for _, n := range w.successors() {
			if key := n.key(); !visited[key] {
				visited[key] = true
				queue = append(queue, n)
			}
		}
	}
	return len(visited), nil
}

// TestNoScheduleLetsReleasedSenderSend visits all states with one keeper.
func TestNoScheduleLetsReleasedSenderSend(t *testing.T) {
	const maxStates = 4_000_000
	states, found := searchStates(1, maxStates)
	t.Logf("one keeper: %d states", states)
	assert.Assert(t, found == nil, "a released sender may send: %+v", found)
	assert.Assert(t, states < maxStates, "the search has not visited all states")
}

// TestSearchFindsFaultWithoutEachRule leaves out one rule at a time. The search must then find the fault
// that the rule prevents, which the case is named after.
func TestSearchFindsFaultWithoutEachRule(t *testing.T) {
	const maxStates = 400_000
	for name, leaveOut := range map[string]func(*ruleSet){
		"release by a member that the sender does not know": func(r *ruleSet) { r.mustBeKnown = false },
		"peer exited after it could propose a release":      func(r *ruleSet) { r.exitedBeforeRelease = false },
		"extension while a release is in flight":            func(r *ruleSet) { r.denyAfterProposal = false },
		"extension for a released sender":                   func(r *ruleSet) { r.denyUnlisted = false },
		"late renewal of a released sender":                 func(r *ruleSet) { r.stayReleased = false },
	} {
		t.Run(name, func(t *testing.T) {
			leaveOut(&activeRules)
			defer func() { activeRules = allRules() }()
			states, found := searchStates(1, maxStates)
			t.Logf("%d states", states)
			assert.Assert(t, found != nil, "the fault was not found")
		})
	}
}

// TestRandomSchedulesLetNoReleasedSenderSend takes random walks through a larger zone for longer than
// the search can: two keepers, clock drift, more renewals and restarts. The seed identifies a walk.
func TestRandomSchedulesLetNoReleasedSenderSend(t *testing.T) {
	const walks, maxSteps = 4000, 120
	searchBounds = bounds{duration: 2, drift: 1, horizon: 16, renewals: 7, restarts: 3}
	defer func() { searchBounds = bounds{duration: 1, drift: 0, horizon: 4, renewals: 2, restarts: 1} }()
	releases, extendedStates := 0, 0
	for seed := range uint64(walks) {
		random := rand.New(rand.NewPCG(seed, seed))
		w := newWorld(2)
		for step := range maxSteps {
			successors := w.successors()
			if len(successors) == 0 {
				break
			}
			w = successors[random.IntN(len(successors))]
			assert.Assert(t, !w.violated(), "seed %d, step %d: a released sender may send: %+v", seed, step, w)
			if w.holder.MaySend(at(w.now)) && !w.holder.CoveredByLog(at(w.now)) {
				extendedStates++
			}
		}
		if w.released {
			releases++
		}
	}
	t.Logf("%d walks: %d released, %d states in which the sender relied on extensions", walks, releases, extendedStates)
	assert.Assert(t, releases > 0 && extendedStates > 0, "the walks showed nothing: %d releases, %d states with extensions", releases, extendedStates)
}
