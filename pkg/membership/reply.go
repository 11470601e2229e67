package membership

import (
	"errors"
	"time"

	"damsonwinch/pkg/wire"
)

// maxReplyAge is the age above which a list of another node isn't used. That node's own heartbeats
// confirm its list every 300 ms.
const maxReplyAge = 1500 * time.Millisecond

// errMembersUnknown means that the other node hasn't read the members, or not lately.
var errMembersUnknown = errors.New("the node doesn't know the present members")

// Request returns the request to another node for a list that is newer than this one, which shows the
// given generation of the group.
func (l List) Request(generation int) wire.MembersArgs {
	return wire.MembersArgs{Generation: generation, Digest: l.digest}
}

// Reply returns the reply to another node's request. This list shows the given generation of the group,
// and was last known to be the newest one an age ago.
func (l List) Reply(request wire.MembersArgs, generation int, age time.Duration) wire.MembersReply {
	reply := wire.MembersReply{
		Known: true, Generation: generation, Digest: l.digest, Topics: l.topicCount, NearlyFull: l.nearlyFull,
		AgeMs: int(age / time.Millisecond),
	}
	if request == l.Request(generation) {
		reply.Unchanged = true
		return reply
	}
	for _, member := range l.members {
		reply.Members = append(reply.Members, member.Name())
	}
	return reply
}

// FromReply returns the list in another node's reply and its age, or an error if that node doesn't know the
// present members. If the reply says that the list is unchanged, it holds none.
func FromReply(reply wire.MembersReply, self Member) (List, time.Duration, error) {
	age := time.Duration(reply.AgeMs) * time.Millisecond
	if !reply.Known || age > maxReplyAge {
		return List{}, age, errMembersUnknown
	}
	return NewList(reply.Members, reply.Topics, reply.NearlyFull, self), age, nil
}
