package keeper

import (
	"encoding/json"
	"time"

	"damsonwinch/pkg/follow"
	"damsonwinch/pkg/wire"
)

// maxRelayedRecords is the number of records that a keeper holds for its readers. It
// lets them grow by up to a quarter before it drops the oldest ones, so that it doesn't
// copy the records each time one is added.
const maxRelayedRecords = 4096

// relay holds the newest records, and the reads that wait for the next one. The
// readers are entries and other keepers.
type relay struct {
	firstOffset int
	records     []wire.Entry
	waiting     []waitingRead
}

// waitingRead is a read that waits for a record, at most until the time in until.
type waitingRead struct {
	message readMessage
	until   time.Time
}

// add adds the records of an update. If the update's state comes from a snapshot,
// the earlier records are dropped, since those in between are missing.
func (r *relay) add(update follow.Update) {
	if update.Restored {
		r.records = nil
	}
	for _, applied := range update.Records {
		r.records = append(r.records, applied.Record)
	}
	if surplus := len(r.records) - maxRelayedRecords; surplus > maxRelayedRecords/4 {
		r.records = append([]wire.Entry{}, r.records[surplus:]...)
	}
	r.firstOffset = update.State.Offset() - len(r.records)
}

// recordsFrom returns at most maximum records, beginning with the one at an offset. It
// returns false if the relay no longer holds that record.
func (r *relay) recordsFrom(offset, maximum int) ([]wire.Entry, bool) {
	if offset < r.firstOffset {
		return nil, false
	}
	start := min(offset-r.firstOffset, len(r.records))
	end := min(len(r.records), start+maximum)
	return r.records[start:end], true
}

// removeExpired removes and returns the waiting reads whose time is over.
func (r *relay) removeExpired(now time.Time) []waitingRead {
	var expired []waitingRead
	waiting := r.waiting
	r.waiting = nil
	for _, read := range waiting {
		if now.After(read.until) {
			expired = append(expired, read)
			continue
		}
		r.waiting = append(r.waiting, read)
	}
	return expired
}

// handleRead replies to a read, or keeps it until there is a record for it.
func (k *Keeper) handleRead(message readMessage) {
	records, available := k.relay.recordsFrom(message.args.From, message.args.Max)
	switch {
	case !available:
		message.reply(k.snapshotReply())
	case len(records) == 0 && message.args.WaitMs > 0:
		until := k.now().Add(milliseconds(message.args.WaitMs))
		k.relay.waiting = append(k.relay.waiting, waitingRead{message: message, until: until})
	default:
		message.reply(k.readReply(records))
	}
}

// replyToWaiting replies to the waiting reads for which there are records now.
func (k *Keeper) replyToWaiting() {
	waiting := k.relay.waiting
	k.relay.waiting = nil
	for _, read := range waiting {
		if read.message.args.From >= k.state.Offset() {
			k.relay.waiting = append(k.relay.waiting, read)
			continue
		}
		k.handleRead(read.message)
	}
}

// readReply returns the reply to a read, with the given records.
func (k *Keeper) readReply(records []wire.Entry) wire.ReadReply {
	return wire.ReadReply{Entries: records, Avoid: k.list.leavingBoxes(), AvoidKnown: k.list.wasRead(), LogFresh: k.isLogFresh()}
}

// snapshotReply returns the reply to a read whose records the relay no longer holds.
func (k *Keeper) snapshotReply() wire.ReadReply {
	snapshot, err := k.state.Snapshot()
	if err != nil {
		return wire.ReadReply{}
	}
	text, err := json.Marshal(snapshot)
	if err != nil {
		return wire.ReadReply{}
	}
	reply := k.readReply([]wire.Entry{})
	reply.Snapshot = string(text)
	return reply
}

// replyToExpired replies without records to the waiting reads whose time is over.
func (k *Keeper) replyToExpired() {
	for _, read := range k.relay.removeExpired(k.now()) {
		read.message.reply(k.readReply([]wire.Entry{}))
	}
}
