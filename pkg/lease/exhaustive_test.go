package lease

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The search below tries every order of events of a small hall: one sender and
// the keepers that may release it, over one log that takes appends late, loses
// their answers or never takes them. A cut in any direction is a read or a
// question that does not happen; a pause is a process that does nothing for a
// while.

// bounds are the ticks of a lease, of its drift and of the whole search, and the
// renewals that the sender issues.
type bounds struct {
	length, drift, horizon, seqs, restarts int
}

var searchBounds = bounds{length: 1, drift: 0, horizon: 4, seqs: 2, restarts: 1}

const searchEpoch = 1000

// rules are the parts of the rule that the search can leave out, to show that it
// finds the hole that each of them closes.
type rules struct {
	boundByFolded    bool // Qualify by what the sender had folded, not by its record.
	endedWhileBound  bool // Take an ended peer as harmless only while it was bound.
	denyAfterRelease bool // Deny extensions while a release may still land.
	denyUnknown      bool // Deny extensions to a sender that the log doesn't show.
	stayReleased     bool // A late renewal doesn't make a released sender anew.
}

func wholeRule() rules {
	return rules{boundByFolded: true, endedWhileBound: true, denyAfterRelease: true, denyUnknown: true, stayReleased: true}
}

// record is one entry of the log, or of the appends still on their way.
type record struct {
	kind   byte // 'j' join, 'r' renew, 'x' release.
	keeper int
	inc    int
	seq    int
	folded int
}

// keeperModel is one keeper of the hall.
type keeperModel struct {
	alive    bool
	inc      int
	read     int
	skew     int
	witness  Grantor
	restarts int
	pending  answerModel
}

// answerModel is an answer to the sender's question that is on its way.
type answerModel struct {
	waits   bool
	ended   bool
	granted bool
	asked   int
	inc     int
}

// world is one state of the search.
type world struct {
	now       int
	holder    Holder
	senderSeq int
	folded    int
	knows     bool // The sender has folded its release.
	roster    map[int]int
	log       []record
	flying    []record
	keepers   []keeperModel
	// What the fold makes of the log.
	lastSeq    int
	lastFolded int
	lastOffset int
	members    map[int]member
	released   bool
	listed     bool // The log shows the sender.
}

type member struct {
	inc    int
	joined int
}

func at(tick int) time.Time {
	return time.Unix(int64(tick)+searchEpoch, 0)
}

func newWorld(keepers int) world {
	terms := Timing{Duration: time.Duration(searchBounds.length) * time.Second, MaxDrift: time.Duration(searchBounds.drift) * time.Second}
	w := world{holder: NewHolder(terms), members: map[int]member{}, roster: map[int]int{}}
	for k := range keepers {
		w.keepers = append(w.keepers, keeperModel{alive: true, inc: 1, witness: NewGrantor(terms)})
		w.land(record{kind: 'j', keeper: k, inc: 1})
	}
	w.senderSeq = 1
	w.holder = w.holder.WithRenewalIssued(1, at(0))
	w.land(record{kind: 'r', seq: 1, folded: keepers})
	for k := range w.keepers {
		w.readKeeper(k)
	}
	w.readSender()
	return w
}

func (w world) clone() world {
	w.log = append([]record{}, w.log...)
	w.flying = append([]record{}, w.flying...)
	w.keepers = append([]keeperModel{}, w.keepers...)
	members, roster := map[int]member{}, map[int]int{}
	for k, m := range w.members {
		members[k] = m
	}
	for k, inc := range w.roster {
		roster[k] = inc
	}
	w.members, w.roster = members, roster
	return w
}

// land folds one record, as pkg/fold does.
func (w *world) land(r record) {
	offset := len(w.log)
	w.log = append(w.log, r)
	switch r.kind {
	case 'j':
		w.members[r.keeper] = member{inc: r.inc, joined: offset}
	case 'r':
		if (!w.released || !searchRules.stayReleased) && r.seq > w.lastSeq {
			w.listed = true
			w.lastSeq, w.lastFolded, w.lastOffset = r.seq, r.folded, offset
		}
	case 'x':
		if m := w.members[r.keeper]; m.inc == r.inc && r.seq == w.lastSeq && w.qualified(m) {
			w.released, w.listed = true, false
		}
	}
}

var searchRules = wholeRule()

func (w *world) qualified(m member) bool {
	if searchRules.boundByFolded {
		return KnownToSender(m.joined, w.lastFolded)
	}
	return m.joined < w.lastOffset
}

func (w *world) readSender() {
	seen := world{members: map[int]member{}}
	for _, r := range w.log {
		seen.land(r)
	}
	w.folded = len(w.log)
	w.knows = seen.released
	w.holder = w.holder.WithRenewalConfirmed(seen.lastSeq)
	w.roster = map[int]int{}
	var roster []Peer
	for k := range w.keepers {
		if m, known := seen.members[k]; known {
			w.roster[k] = m.inc
			roster = append(roster, Peer{Node: fmt.Sprint(k), Incarnation: m.inc})
		}
	}
	w.holder = w.holder.WithPeers(roster)
}

func (w *world) readKeeper(k int) {
	seen := world{members: map[int]member{}}
	for _, r := range w.log {
		seen.land(r)
	}
	keeper := &w.keepers[k]
	keeper.read = len(w.log)
	if !seen.listed {
		keeper.witness = keeper.witness.WithoutSender("s")
		return
	}
	keeper.witness = keeper.witness.WithRenewalRead("s", seen.lastSeq, at(w.now+keeper.skew))
}

// key names the state; equal keys have equal futures.
func (w world) key() string {
	b := make([]byte, 0, 128)
	b = add(b, w.now, w.senderSeq, w.folded, w.lastSeq, w.lastFolded, w.lastOffset, len(w.log), len(w.flying))
	b = append(b, flag(w.knows), flag(w.released), flag(w.listed))
	flying := slices.SortedFunc(slices.Values(w.flying), func(a, b record) int { return cmp.Compare(a.weight(), b.weight()) })
	for _, r := range append(append([]record{}, w.log...), flying...) {
		b = add(append(b, r.kind), r.keeper, r.inc, r.seq, r.folded)
	}
	b = append(b, tickOf(w.holder.until))
	for seq := range searchBounds.seqs + 1 {
		b = append(b, tickOf(w.holder.issued[seq]))
	}
	for k, keeper := range w.keepers {
		for inc := range 3 {
			peer := Peer{Node: fmt.Sprint(k), Incarnation: inc}
			b = append(b, tickOf(w.holder.grants[peer]), flag(w.holder.ended[peer]))
		}
		s := keeper.witness.sights["s"]
		b = add(b, w.roster[k], keeper.inc, keeper.read, keeper.skew, keeper.restarts, s.seq, s.proposed)
		b = append(b, tickOf(s.read), tickOf(s.promised), flag(keeper.alive))
		b = add(b, keeper.pending.asked, keeper.pending.inc)
		b = append(b, flag(keeper.pending.waits), flag(keeper.pending.ended), flag(keeper.pending.granted))
	}
	return string(b)
}

// weight orders records; the order of appends on their way doesn't matter.
func (r record) weight() int {
	return int(r.kind)<<16 + r.keeper<<12 + r.inc<<8 + r.seq<<4 + r.folded
}

func add(b []byte, numbers ...int) []byte {
	for _, number := range numbers {
		b = append(b, byte(number))
	}
	return b
}

func flag(set bool) byte {
	if set {
		return 1
	}
	return 0
}

func tickOf(moment time.Time) byte {
	if moment.IsZero() {
		return 255
	}
	return byte(moment.Unix() - searchEpoch)
}

func (w world) broken() bool {
	return w.released && !w.knows && w.holder.MaySend(at(w.now))
}

// next returns every state that one event can lead to.
func (w world) next() []world {
	if w.knows {
		// The sender has stopped for good: nothing can go wrong any more.
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
	if w.senderSeq < searchBounds.seqs {
		do(func(n *world) {
			n.senderSeq++
			n.holder = n.holder.WithRenewalIssued(n.senderSeq, at(n.now))
			n.flying = append(n.flying, record{kind: 'r', seq: n.senderSeq, folded: n.folded})
		})
	}
	for i := range w.flying {
		do(func(n *world) {
			r := n.flying[i]
			n.flying = append(n.flying[:i:i], n.flying[i+1:]...)
			n.land(r)
		})
	}
	if w.folded < len(w.log) {
		do(func(n *world) { n.readSender() })
	}
	for k := range w.keepers {
		all = append(all, w.nextKeeper(k, do)...)
	}
	return all
}

func (w world) nextKeeper(k int, do func(func(n *world))) []world {
	keeper := w.keepers[k]
	if inc, listed := w.roster[k]; listed && !keeper.pending.waits {
		do(func(n *world) { n.ask(k, inc) })
	}
	if keeper.pending.waits {
		do(func(n *world) { n.hear(k) })
	}
	if !keeper.alive {
		if keeper.restarts < searchBounds.restarts {
			do(func(n *world) {
				next := &n.keepers[k]
				next.alive, next.read = true, 0
				next.restarts++
				next.inc++
				next.witness = NewGrantor(keeper.witness.terms)
				n.flying = append(n.flying, record{kind: 'j', keeper: k, inc: next.inc})
			})
		}
		return nil
	}
	if keeper.read < len(w.log) {
		do(func(n *world) { n.readKeeper(k) })
	}
	if keeper.restarts < searchBounds.restarts {
		do(func(n *world) { n.keepers[k].alive = false })
	}
	if keeper.skew < searchBounds.drift {
		do(func(n *world) { n.keepers[k].skew++ })
	}
	release := record{kind: 'x', keeper: k, inc: keeper.inc, seq: keeper.witness.LastRenewal("s")}
	// A second copy of a release is refused like a stale one.
	proposed := slices.Contains(w.flying, release) || slices.Contains(w.log, release)
	if !proposed && keeper.witness.MayRelease("s", at(w.now+keeper.skew)) {
		do(func(n *world) {
			kept := &n.keepers[k]
			n.flying = append(n.flying, release)
			if searchRules.denyAfterRelease {
				kept.witness = kept.witness.WithReleaseProposed("s")
			}
		})
	}
	return nil
}

// ask is the sender's question; the answer may arrive at any later time.
func (w *world) ask(k, inc int) {
	keeper := &w.keepers[k]
	answer := answerModel{waits: true, asked: w.now, inc: inc}
	switch {
	case !keeper.alive || keeper.inc != inc:
		answer.ended = true
	case len(keeper.witness.sights) == 0 && !searchRules.denyUnknown:
		answer.granted = true
	default:
		keeper.witness, answer.granted = keeper.witness.Extend("s", at(w.now+keeper.skew))
	}
	keeper.pending = answer
}

func (w *world) hear(k int) {
	answer := w.keepers[k].pending
	w.keepers[k].pending = answerModel{}
	peer := Peer{Node: fmt.Sprint(k), Incarnation: answer.inc}
	switch {
	case answer.granted:
		w.holder = w.holder.WithExtension(peer, at(answer.asked))
	case answer.ended && searchRules.endedWhileBound:
		w.holder = w.holder.WithPeerExited(peer, at(w.now))
	case answer.ended:
		w.holder = w.holder.WithPeerExited(peer, at(-searchBounds.horizon))
	}
}

// search visits every state and returns how many there are, and a state in which
// two senders may send.
func search(keepers, mostStates int) (int, *world) {
	start := newWorld(keepers)
	seen := map[string]bool{start.key(): true}
	queue := []world{start}
	for len(queue) > 0 && len(seen) < mostStates {
		w := queue[0]
		queue = queue[1:]
		if w.broken() {
			return len(seen), &w
		}
		for _, n := range w.next() {
			if key := n.key(); !seen[key] {
				seen[key] = true
				queue = append(queue, n)
			}
		}
	}
	return len(seen), nil
}

func TestNoScheduleLetsTwoSendersSend(t *testing.T) {
	const everything = 4_000_000
	states, found := search(1, everything)
	t.Logf("one keeper: %d states", states)
	assert.Assert(t, found == nil, "two senders may send: %+v", found)
	assert.Assert(t, states < everything, "the search was cut short")
}

func TestEachPartOfTheRuleClosesAHole(t *testing.T) {
	const most = 400_000
	for name, leaveOut := range map[string]func(*rules){
		"a member that joined late":                  func(r *rules) { r.boundByFolded = false },
		"a peer that ended after its promise":        func(r *rules) { r.endedWhileBound = false },
		"a promise beside a release that is landing": func(r *rules) { r.denyAfterRelease = false },
		"a promise to a sender already released":     func(r *rules) { r.denyUnknown = false },
		"a late renewal of a released sender":        func(r *rules) { r.stayReleased = false },
	} {
		t.Run(name, func(t *testing.T) {
			leaveOut(&searchRules)
			defer func() { searchRules = wholeRule() }()
			states, found := search(1, most)
			t.Logf("%d states", states)
			assert.Assert(t, found != nil, "the hole was not found")
		})
	}
}

// TestLongRandomSchedules walks a larger hall for longer than the search can:
// two keepers, a drift, more renewals and restarts. The seed names the walk.
func TestLongRandomSchedules(t *testing.T) {
	const walks, mostSteps = 4000, 120
	searchBounds = bounds{length: 2, drift: 1, horizon: 16, seqs: 7, restarts: 3}
	defer func() { searchBounds = bounds{length: 1, drift: 0, horizon: 4, seqs: 2, restarts: 1} }()
	releases, sends := 0, 0
	for seed := range uint64(walks) {
		random := rand.New(rand.NewPCG(seed, seed))
		w := newWorld(2)
		for step := range mostSteps {
			next := w.next()
			if len(next) == 0 {
				break
			}
			w = next[random.IntN(len(next))]
			assert.Assert(t, !w.broken(), "seed %d, step %d: two senders may send: %+v", seed, step, w)
			if w.holder.MaySend(at(w.now)) && !w.holder.CoveredByLog(at(w.now)) {
				sends++
			}
		}
		if w.released {
			releases++
		}
	}
	t.Logf("%d walks: %d released, %d states in which the sender went on by its hall", walks, releases, sends)
	assert.Assert(t, releases > 0 && sends > 0, "the walks showed nothing: %d releases, %d sends by the hall", releases, sends)
}
