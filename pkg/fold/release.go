package fold

import (
	"fmt"

	"damsonwinch/pkg/lease"
	"damsonwinch/pkg/wire"
)

// release frees the boxes of a lost sender. Who may propose it is the rule of
// docs/design/senders-and-cuts.md.
func (s State) release(proposal wire.Proposal, where step) (State, string, error) {
	if proposal.Release == nil {
		return s, "", refuse("a release needs its sender")
	}
	release := *proposal.Release
	key := SenderKey{Node: release.Node, Incarnation: release.Entry}
	sender, known := s.senders.Get(key.String())
	if !known {
		return s, "", refuse("%s holds nothing", key)
	}
	if sender.Seq != release.Seq {
		return s, "", refuse("%s renewed as %d after the proposer read %d", key, sender.Seq, release.Seq)
	}
	if err := s.mayRelease(sender, release, where); err != nil {
		return s, "", err
	}
	freed := 0
	for _, box := range s.Boxes() {
		if box.Sender == key {
			s = s.withBox(s.freed(box, where))
			freed++
		}
	}
	s.senders = s.senders.Delete(key.String())
	newest, _ := s.released.Get(key.Node)
	s.released = s.released.Set(key.Node, max(newest, key.Incarnation))
	return s, fmt.Sprintf("%d boxes of %s are free for another sender", freed, key), nil
}

// mayRelease checks that the writer is bound by every promise that the sender
// may still rely on.
func (s State) mayRelease(sender Sender, release wire.Release, where step) error {
	writer, known := s.members.Get(where.batch.Node)
	if !known || writer.KeeperIncarnation != where.batch.Incarnation {
		return refuse("%s incarnation %d is not in the roster", where.batch.Node, where.batch.Incarnation)
	}
	// The sender asks for extensions by the roster it folded. A writer that
	// joined after that isn't asked, so it may not rely on its own waiting.
	qualified := writer.Zone == sender.Zone && lease.KnownToSender(writer.JoinedOffset, sender.AppliedOffset)
	switch release.How {
	case wire.ReleaseHowTime:
		if !qualified {
			return refuse("%s is not bound by the promises to %s: it joined at %d, the sender had folded %d",
				writer.Node, sender.Key, writer.JoinedOffset, sender.AppliedOffset)
		}
		return nil
	case wire.ReleaseHowEnded:
		if writer.Node != sender.Key.Node {
			return refuse("only the keeper beside %s can see it end", sender.Key)
		}
		return nil
	case wire.ReleaseHowList:
		if writer.Zone != sender.Zone && s.hasPeers(sender) {
			return refuse("hall %s has members left to release %s", sender.Zone, sender.Key)
		}
		return nil
	}
	return refuse("unknown way %q to know that %s has ended", release.How, sender.Key)
}

// hasPeers says whether the sender's hall has members on other nodes.
func (s State) hasPeers(sender Sender) bool {
	for _, member := range s.MembersInZone(sender.Zone) {
		if member.Node != sender.Key.Node {
			return true
		}
	}
	return false
}

// Releasable says whether somebody on another box of the sender's hall could
// release it by waiting. A sender that has not yet folded its hall's roster is
// nobody's to release; given boxes, they would stand still if it were lost.
func (s State) Releasable(sender Sender) bool {
	if !s.hasPeers(sender) {
		return true
	}
	for _, member := range s.MembersInZone(sender.Zone) {
		if member.Node != sender.Key.Node && lease.KnownToSender(member.JoinedOffset, sender.AppliedOffset) {
			return true
		}
	}
	return false
}

// freed returns a box without its lost sender. Requests that the sender left
// behind may run on, so the box can't be emptied before they have ended.
func (s State) freed(box Box, where step) Box {
	if box.Phase == Draining {
		box = box.withdrawn(where.offset, where.at)
	} else {
		box = box.moved(where.offset, where.at)
	}
	box.Sender = SenderKey{}
	box.HeldUntil = where.at + s.longestRun(box.Pool)
	return box
}

// longestRun returns the longest that one attempt runs in a pool, in
// milliseconds.
func (s State) longestRun(pool string) int {
	longest := 0
	for _, service := range s.table.ServicesInPool(pool) {
		row, _ := s.table.Row(service)
		longest = max(longest, row.RunMs)
	}
	return longest
}
