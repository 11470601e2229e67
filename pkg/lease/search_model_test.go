package lease

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// record is a record of the log, or of an append that is in flight.
type record struct {
	kind          byte // 'j' join, 'r' renew, 'x' release.
	keeper        int  // The keeper that joins or proposes the release.
	incarnation   int  // Of the keeper.
	renewal       int  // Number of the renewal, or of the last one that the release's proposer knows.
	senderApplied int  // The sender's applied offset when it issued the renewal.
}

// keeperModel is a keeper of the zone.
type keeperModel struct {
	alive       bool
	incarnation int
	applied     int // Offset of the next log record that the keeper applies.
	skew        int // Ticks by which the keeper's clock is ahead of the sender's.
	grantor     Grantor
	restarts    int
	reply       replyModel
}

// replyModel is a keeper's reply, in flight, to the sender's request for an extension.
type replyModel struct {
	pending     bool
	exited      bool // The incarnation that was asked has exited.
	granted     bool
	requestedAt int // Tick of the request.
	incarnation int // The incarnation that was asked.
}

// world is a state of the search.
type world struct {
	now                int
	holder             Holder
	newestRenewal      int         // Number of the newest renewal that the sender has issued.
	senderApplied      int         // Offset of the next log record that the sender applies.
	senderKnowsRelease bool        // The sender has applied its release.
	senderMembers      map[int]int // Incarnations of the keepers that the sender knows, by keeper.
	log                []record
	inFlight           []record // Appends that the log has not accepted yet.
	keepers            []keeperModel
	// The state that results from applying the log.
	lastRenewal int // Number of the newest renewal in the log.
	lastApplied int // The sender's applied offset when it issued that renewal.
	lastOffset  int // Offset of that renewal's record.
	members     map[int]member
	released    bool
	listed      bool // The log lists the sender.
}

// member is a keeper as the log lists it, with the offset at which it joined.
type member struct {
	incarnation int
	joined      int
}

// at returns the time of a tick.
func at(tick int) time.Time {
	return time.Unix(int64(tick)+searchEpoch, 0)
}

// newWorld returns the first state of the search: all keepers have joined, and all of them and the sender
// have read the sender's first renewal.
func newWorld(keepers int) world {
	timing := Timing{Duration: time.Duration(searchBounds.duration) * time.Second, MaxDrift: time.Duration(searchBounds.drift) * time.Second}
	w := world{holder: New(timing), members: map[int]member{}, senderMembers: map[int]int{}}
	for k := range keepers {
		w.keepers = append(w.keepers, keeperModel{alive: true, incarnation: 1, grantor: NewGrantor(timing)})
		w.apply(record{kind: 'j', keeper: k, incarnation: 1})
	}
	w.newestRenewal = 1
	w.holder = w.holder.WithRenewalIssued(1, at(0))
	w.apply(record{kind: 'r', renewal: 1, senderApplied: keepers})
	for k := range w.keepers {
		w.readByKeeper(k)
	}
	w.readBySender()
	return w
}

// clone returns a copy that shares no changeable data with the original.
func (w world) clone() world {
	w.log = append([]record{}, w.log...)
	w.inFlight = append([]record{}, w.inFlight...)
	w.keepers = append([]keeperModel{}, w.keepers...)
	members, senderMembers := map[int]member{}, map[int]int{}
	for k, m := range w.members {
		members[k] = m
	}
	for k, incarnation := range w.senderMembers {
		senderMembers[k] = incarnation
	}
	w.members, w.senderMembers = members, senderMembers
	return w
}

// apply appends a record to the log and applies it, as package fleetstate does.
func (w *world) apply(r record) {
	offset := len(w.log)
	w.log = append(w.log, r)
	switch r.kind {
	case 'j':
		w.members[r.keeper] = member{incarnation: r.incarnation, joined: offset}
	case 'r':
		if (!w.released || !activeRules.stayReleased) && r.renewal > w.lastRenewal {
			w.listed = true
			w.lastRenewal, w.lastApplied, w.lastOffset = r.renewal, r.senderApplied, offset
		}
	case 'x':
		if m := w.members[r.keeper]; m.incarnation == r.incarnation && r.renewal == w.lastRenewal && w.qualified(m) {
			w.released, w.listed = true, false
		}
	}
}

// qualified reports whether a member may propose the sender's release.
func (w *world) qualified(m member) bool {
	if activeRules.mustBeKnown {
		return KnownToSender(m.joined, w.lastApplied)
	}
	return m.joined < w.lastOffset
}

// readBySender has the sender read and apply the whole log.
func (w *world) readBySender() {
	applied := world{members: map[int]member{}}
	for _, r := range w.log {
		applied.apply(r)
	}
	w.senderApplied = len(w.log)
	w.senderKnowsRelease = applied.released
	w.holder = w.holder.WithRenewalConfirmed(applied.lastRenewal)
	w.senderMembers = map[int]int{}
	var peers []Peer
	for k := range w.keepers {
		if m, known := applied.members[k]; known {
			w.senderMembers[k] = m.incarnation
			peers = append(peers, Peer{Node: fmt.Sprint(k), Incarnation: m.incarnation})
		}
	}
	w.holder = w.holder.WithPeers(peers)
}

// readByKeeper has a keeper read and apply the whole log.
func (w *world) readByKeeper(k int) {
	applied := world{members: map[int]member{}}
	for _, r := range w.log {
		applied.apply(r)
	}
	keeper := &w.keepers[k]
	keeper.applied = len(w.log)
	if !applied.listed {
		keeper.grantor = keeper.grantor.WithoutSender("s")
		return
	}
	keeper.grantor = keeper.grantor.WithRenewalRead("s", applied.lastRenewal, at(w.now+keeper.skew))
}

// key returns an encoding of the state. States with equal keys have the same successors.
func (w world) key() string {
	b := make([]byte, 0, 128)
	b = appendBytes(b, w.now, w.newestRenewal, w.senderApplied, w.lastRenewal, w.lastApplied, w.lastOffset, len(w.log), len(w.inFlight))
	b = append(b, boolByte(w.senderKnowsRelease), boolByte(w.released), boolByte(w.listed))
	inFlight := slices.SortedFunc(slices.Values(w.inFlight), func(a, b record) int { return cmp.Compare(a.sortKey(), b.sortKey()) })
	for _, r := range append(append([]record{}, w.log...), inFlight...) {
		b = appendBytes(append(b, r.kind), r.keeper, r.incarnation, r.renewal, r.senderApplied)
	}
	b = append(b, tickByte(w.holder.logLeaseUntil))
	for renewal := range searchBounds.renewals + 1 {
		b = append(b, tickByte(w.holder.issuedAt[renewal]))
	}
	for k, keeper := range w.keepers {
		for incarnation := range 3 {
			peer := Peer{Node: fmt.Sprint(k), Incarnation: incarnation}
			b = append(b, tickByte(w.holder.extendedUntil[peer]), boolByte(w.holder.exited[peer]))
		}
		sender := keeper.grantor.senders["s"]
		b = appendBytes(b, w.senderMembers[k], keeper.incarnation, keeper.applied, keeper.skew, keeper.restarts, sender.lastRenewal, sender.proposedRenewal)
		b = append(b, tickByte(sender.readAt), tickByte(sender.extendedUntil), boolByte(keeper.alive))
		b = appendBytes(b, keeper.reply.requestedAt, keeper.reply.incarnation)
		b = append(b, boolByte(keeper.reply.pending), boolByte(keeper.reply.exited), boolByte(keeper.reply.granted))
	}
	return string(b)
}

// sortKey returns a number by which key sorts the appends in flight, whose order doesn't matter.
func (r record) sortKey() int {
	return int(r.kind)<<16 + r.keeper<<12 + r.incarnation<<8 + r.renewal<<4 + r.senderApplied
}

// appendBytes appends numbers, one byte each.
func appendBytes(b []byte, numbers ...int) []byte {
	for _, number := range numbers {
		b = append(b, byte(number))
	}
	return b
}

// boolByte returns 1 for true and 0 for false.
func boolByte(value bool) byte {
	if value {
		return 1
	}
	return 0
}

// tickByte returns the tick of a time, or 255 for the zero time.
func tickByte(at time.Time) byte {
	if at.IsZero() {
		return 255
	}
	return byte(at.Unix() - searchEpoch)
}
