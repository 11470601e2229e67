package cell

import (
	"fmt"

	"damsonwinch"
)

// checkReplyingLife counts and logs the reply to a poll of e that another life with the same ID has sent. If that life has
// received the poll itself, it has discarded its results up to the number that the poll acknowledged to e.
func (c *Cell) checkReplyingLife(e *endpoint, sent *sentPoll, reply damsonwinch.PollReply) {
	replying := e.info.Life.WithStarted(reply.StartedUnixMs)
	if replying.MayBeSame(e.info.Life) {
		return
	}
	acked, renewed := sent.ackedSequence, sent.renewsLeases
	if reply.IdentifiedOnly {
		acked, renewed = 0, false
	}
	c.stats.OtherLifeReplies++
	if acked > 0 {
		c.stats.OtherLifeAcks++
	}
	// A silent endpoint is polled every 0.3 s. Polls that have changed nothing in the same other life are logged once.
	if acked == 0 && !renewed && e.polls.loggedOtherLife == replying {
		return
	}
	e.polls.loggedOtherLife = replying
	c.logEndpoint("poll answered by another life", e, fmt.Sprintf("%s, sent %d ms ago; results acknowledged to it up to number %d, leases renewed %t, only identified %t",
		replying, c.now.Sub(sent.sentAt).Milliseconds(), acked, renewed, reply.IdentifiedOnly))
}
