package call

import (
	"net/rpc"
	"sync"
	"time"
)

// doubtTime is how long a connection with calls on their way may be silent before
// new calls go elsewhere: peers answer within some 20 ms. Where the store is slow
// they take longer, and then a new connection costs a few milliseconds.
const doubtTime = 200 * time.Millisecond

// connection is one connection to a peer and the calls that wait on it.
type connection struct {
	client  *rpc.Client
	mutex   sync.Mutex
	waiting int
	// silentSince is when the last answer came, or when the first of the waiting
	// calls was made, whichever is later.
	silentSince time.Time
	// answered counts answers, to tell a dead connection from a slow call.
	answered int
}

// begin notes a call. It says no where earlier calls wait for an answer for so long
// that the connection may be dead.
func (c *connection) begin(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.waiting == 0 {
		c.silentSince = now
	}
	if now.Sub(c.silentSince) > doubtTime {
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
	c.answered++
	c.silentSince = now
}

// answers counts the answers so far.
func (c *connection) answers() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.answered
}
