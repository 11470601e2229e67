package keeper

import (
	"encoding/json"
	"time"

	"damsonwinch/pkg/follow"
	"damsonwinch/pkg/wire"
)

// mostRelayed is the number of records that a keeper holds for its peers.
const mostRelayed = 4096

// relay holds the newest records and the readers that wait for the next one.
type relay struct {
	first   int
	entries []wire.Entry
	waiting []waitingRead
}

type waitingRead struct {
	message readMessage
	until   time.Time
}

// take adds folded records. After a snapshot the earlier ones no longer join up.
func (r *relay) take(update follow.Update) {
	if update.Restored {
		r.entries = nil
	}
	for _, folded := range update.Records {
		r.entries = append(r.entries, folded.Record)
	}
	if over := len(r.entries) - mostRelayed; over > mostRelayed/4 {
		r.entries = append([]wire.Entry{}, r.entries[over:]...)
	}
	r.first = update.State.Offset() - len(r.entries)
}

// from returns records from an offset on, and false if they are held no more.
func (r *relay) from(offset, most int) ([]wire.Entry, bool) {
	if offset < r.first {
		return nil, false
	}
	start := min(offset-r.first, len(r.entries))
	end := min(len(r.entries), start+most)
	return r.entries[start:end], true
}

// expired removes and returns the readers whose time is over.
func (r *relay) expired(now time.Time) []waitingRead {
	var over []waitingRead
	waiting := r.waiting
	r.waiting = nil
	for _, read := range waiting {
		if now.After(read.until) {
			over = append(over, read)
			continue
		}
		r.waiting = append(r.waiting, read)
	}
	return over
}

// answerRead answers a peer or an entry now, or keeps its question until there
// is a record for it.
func (k *Keeper) answerRead(message readMessage) {
	entries, held := k.relay.from(message.args.From, message.args.Max)
	switch {
	case !held:
		message.reply(k.snapshotReply())
	case len(entries) == 0 && message.args.WaitMs > 0:
		until := k.now().Add(milliseconds(message.args.WaitMs))
		k.relay.waiting = append(k.relay.waiting, waitingRead{message: message, until: until})
	default:
		message.reply(k.readReply(entries))
	}
}

// answerWaiting answers every reader for whom there are records now.
func (k *Keeper) answerWaiting() {
	waiting := k.relay.waiting
	k.relay.waiting = nil
	for _, read := range waiting {
		if read.message.args.From >= k.state.Offset() {
			k.relay.waiting = append(k.relay.waiting, read)
			continue
		}
		k.answerRead(read.message)
	}
}

func (k *Keeper) readReply(entries []wire.Entry) wire.ReadReply {
	return wire.ReadReply{Entries: entries, Avoid: k.list.avoid(), AvoidKnown: k.list.known(), LogFresh: k.logFresh()}
}

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

// answerExpired tells readers whose time is over that there is nothing new.
func (k *Keeper) answerExpired() {
	for _, read := range k.relay.expired(k.now()) {
		read.message.reply(k.readReply([]wire.Entry{}))
	}
}
