package call

import (
	"net/rpc"
	"sync"
	"time"
)

const (
	// watchTime is the time between two looks at how long a connection with calls on
	// their way has been silent, and silentTime is how long that must be for its peer
	// to be asked whether it is there: it answers most calls within some 20 ms, but
	// those that wait for a slow store only later. Looks may come early.
	watchTime  = 100 * time.Millisecond
	silentTime = watchTime / 2
	// doubtTime is how long such a connection may be silent before new calls go
	// elsewhere, and deadTime before those on their way are given up. A peer answers
	// within some milliseconds that it is there; a busy one within some ten.
	doubtTime = 200 * time.Millisecond
	deadTime  = 600 * time.Millisecond
)

// connection is one connection to a peer and the calls that wait on it.
type connection struct {
	client  *rpc.Client
	mutex   sync.Mutex
	waiting int
	// silentSince is when the last answer came, or when the first of the waiting
	// calls was made, whichever is later.
	silentSince time.Time
	// ping is the question on its way whether the peer is there.
	ping *rpc.Call
}

// begin notes a call. It says no where earlier calls wait for an answer for so long
// that the connection may be dead.
func (c *connection) begin(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.waiting == 0 {
		c.silentSince = now
	}
	if c.silentFor(now) > doubtTime {
		return false
	}
	c.waiting++
	return true
}

// end notes that a call is over, and says whether it was the last.
func (c *connection) end() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.waiting--
	return c.waiting == 0
}

// heard notes an answer.
func (c *connection) heard(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.silentSince = now
}

// lives asks a peer that has been silent for a while whether it is there. It says no
// once the peer has left that unanswered for too long.
func (c *connection) lives(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	silent := c.silentFor(now)
	if silent >= silentTime && c.ping == nil {
		c.ping = c.client.Go(pingMethod, 0, new(int), make(chan *rpc.Call, 1))
	}
	return silent < deadTime
}

// silentFor returns how long the connection has been silent, with the answer to the
// question whether the peer is there.
func (c *connection) silentFor(now time.Time) time.Duration {
	if c.ping != nil {
		select {
		case answered := <-c.ping.Done:
			c.ping = nil
			if answered.Error == nil {
				c.silentSince = now
			}
		default:
		}
	}
	return now.Sub(c.silentSince)
}
