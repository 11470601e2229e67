package call

import (
	"net/rpc"
	"sync"
	"time"
)

const (
	// checkInterval is the time between two checks of a connection with pending calls. If the peer
	// has been silent for pingAfter, the check sends it a ping. A peer answers most calls within about
	// 20 ms, but calls that wait for a slow store take longer. pingAfter is less than checkInterval
	// since a check may come early.
	checkInterval = 100 * time.Millisecond
	pingAfter     = checkInterval / 2
	// suspectAfter is how long such a connection may be silent before new calls use another one, and
	// deadAfter how long before its pending calls fail. A peer answers a ping within a few
	// milliseconds, and a busy peer within tens of milliseconds.
	suspectAfter = 200 * time.Millisecond
	deadAfter    = 600 * time.Millisecond
)

// connection is one connection to a peer. It also holds the state by which a dead connection is detected.
type connection struct {
	client       *rpc.Client
	mutex        sync.Mutex
	pendingCalls int
	// silentSince is when the last reply came, or when the first of the pending calls was made,
	// whichever is later.
	silentSince time.Time
	// pendingPing is the ping in flight, or nil.
	pendingPing *rpc.Call
}

// beginCall counts a pending call. It returns false, and counts nothing, if the connection may be dead:
// calls are pending, and the peer has been silent for more than suspectAfter.
func (c *connection) beginCall(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.pendingCalls == 0 {
		c.silentSince = now
	}
	if c.silence(now) > suspectAfter {
		return false
	}
	c.pendingCalls++
	return true
}

// endCall counts a call that is no longer pending. It reports whether it was the last one.
func (c *connection) endCall() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pendingCalls--
	return c.pendingCalls == 0
}

// recordReply records that the peer has answered a call at the time now.
func (c *connection) recordReply(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.silentSince = now
}

// checkAlive reports whether the connection is alive, and sends a ping if the peer has been silent for
// pingAfter. The connection is dead once the peer has been silent for deadAfter.
func (c *connection) checkAlive(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	silent := c.silence(now)
	if silent >= pingAfter && c.pendingPing == nil {
		c.pendingPing = c.client.Go(pingMethod, 0, new(int), make(chan *rpc.Call, 1))
	}
	return silent < deadAfter
}

// silence returns how long the peer has been silent. If the pending ping has been answered, it first records
// a reply at the time now. The caller holds the mutex.
func (c *connection) silence(now time.Time) time.Duration {
	if c.pendingPing != nil {
		select {
		case answered := <-c.pendingPing.Done:
			c.pendingPing = nil
			if answered.Error == nil {
				c.silentSince = now
			}
		default:
		}
	}
	return now.Sub(c.silentSince)
}
