package cell_test

import (
	"errors"
	"slices"
	"time"

	"damsonwinch"
)

// Probabilities and times of calls over simulated connections.
const (
	// slowConnectShare is the share of new connections that take up to the timeout of their call, while calls that came later
	// overtake it. slowReplyShare is the share of replies that take up to slowReplyTime and are overtaken by others.
	slowConnectShare = 0.15
	slowReplyShare   = 0.2
	slowReplyTime    = 250 * time.Millisecond
	// closedShare is the share of calls on reused connections that the endpoint closes before it sends a byte of the reply. It
	// may carry out the request within maxClosedDelay.
	closedShare    = 0.08
	maxClosedDelay = 400 * time.Millisecond
	// maxCutDelivery is how long a request that was sent during a cut is transmitted again and again.
	maxCutDelivery = 3 * time.Second
)

// simConnections are the connections of owners to lives of endpoints, as nodes keep them: a new one is identified before a call
// is sent on it, an unused one is used again, and a call on a reused one that was closed is sent once more on a new one.
type simConnections struct {
	world *world
	// resets makes cuts reset the connections. Otherwise requests and replies wait for the end of the cut, or get lost.
	resets bool
	// idle holds the unused connections by owner and life, and inFlight the requests by owner and box.
	idle     map[string][]*simConnection
	inFlight map[string][]*simRequest
	// repeated counts the calls that were sent twice.
	repeated int
}

// simConnection is a connection to a life.
type simConnection struct {
	endpoint *simEndpoint
	used     bool
	closed   bool
}

// simRequest is a copy of a call's request that was sent on a connection.
type simRequest struct {
	call *simCall
	conn *simConnection
	// reused is set if the connection had been used before.
	reused bool
	// broken is set once the connection has been closed or reset.
	broken bool
}

// simCall is a call to a life.
type simCall struct {
	connections *simConnections
	owner       *simOwner
	life        damsonwinch.Life
	timeout     time.Duration
	handle      func(e *simEndpoint) func() error
	done        func(err error)
	ended       bool
	// sent is set once a copy of the request was written to a connection, and repeated once it was sent again.
	sent     bool
	repeated bool
}

func newSimConnections(w *world, resets bool) *simConnections {
	return &simConnections{world: w, resets: resets, idle: map[string][]*simConnection{}, inFlight: map[string][]*simRequest{}}
}

// call makes a call over an unused connection to the life, or a new one.
func (s *simConnections) call(o *simOwner, life damsonwinch.Life, timeout time.Duration, handle func(e *simEndpoint) func() error, done func(err error)) {
	c := &simCall{connections: s, owner: o, life: life, timeout: timeout, handle: handle, done: done}
	s.world.after(timeout, func() { c.end(c.unanswered()) })
	key := o.name + life.String()
	if last := len(s.idle[key]) - 1; last >= 0 {
		conn := s.idle[key][last]
		s.idle[key] = s.idle[key][:last]
		c.send(conn)
		return
	}
	c.open()
}

// cut cuts an owner and a box off from each other for a time that begins after a delay. It resets the connections between
// them, if cuts do.
func (s *simConnections) cut(owner, box string, delay, duration time.Duration) {
	w, key := s.world, owner+box
	w.after(delay, func() {
		w.cuts[key] = w.faultsOn
		if !s.resets || !w.faultsOn {
			return
		}
		for _, e := range w.endpoints {
			if e.info.Box == box {
				for _, conn := range s.idle[owner+e.info.Life.String()] {
					conn.closed = true
				}
			}
		}
		for _, request := range s.inFlight[key] {
			w.after(w.randomDuration(0, 30*time.Millisecond), request.breakConnection)
		}
		s.inFlight[key] = nil
	})
	w.after(delay+duration, func() { delete(w.cuts, key) })
}

// end ends a call, unless it has ended.
func (c *simCall) end(err error) {
	if !c.ended {
		c.ended = true
		c.done(err)
	}
}

// unanswered returns the error of a call without an answer. It says whether the call was sent.
func (c *simCall) unanswered() error {
	if c.sent {
		return errNoReply
	}
	return damsonwinch.ErrNotSent
}

// isCut reports whether the call's owner can't reach an endpoint.
func (c *simCall) isCut(e *simEndpoint) bool {
	return c.connections.world.cuts[c.owner.name+e.info.Box]
}

// open opens a connection, has the life identified that it leads to, and sends the request.
func (c *simCall) open() {
	w := c.connections.world
	connectTime := w.randomDuration(time.Millisecond, 10*time.Millisecond)
	if w.chance(slowConnectShare) {
		connectTime = w.randomDuration(0, c.timeout)
	}
	w.after(connectTime, func() {
		e := w.newestLife(c.life.ID)
		if c.ended || c.failsToConnect(e) {
			return
		}
		w.after(c.travelTime(), func() {
			if c.ended || c.failsToConnect(e) {
				return
			}
			if !e.receives(c.life) {
				// The life that answers the identification has not received the call.
				result := c.handle(e)
				w.after(c.travelTime(), func() { c.end(result()) })
				return
			}
			if !e.acceptToken(c.owner.token) {
				w.after(c.travelTime(), func() { c.end(damsonwinch.ErrStaleToken) })
				return
			}
			w.after(c.travelTime(), func() {
				if !c.ended {
					c.send(&simConnection{endpoint: e})
				}
			})
		})
	})
}

// failsToConnect reports whether a connection to a life can't be opened. Then the call ends, or tries again.
func (c *simCall) failsToConnect(e *simEndpoint) bool {
	w := c.connections.world
	isCut := c.isCut(e)
	switch {
	case !isCut && !e.exited:
		return false
	case isCut && c.connections.resets, !isCut && w.resetsOnExit:
		c.end(c.unanswered())
	default:
		w.after(w.randomDuration(20*time.Millisecond, 200*time.Millisecond), func() {
			if !c.ended {
				c.open()
			}
		})
	}
	return true
}

// travelTime returns how long a message takes.
func (c *simCall) travelTime() time.Duration {
	return c.connections.world.randomDuration(time.Millisecond, 10*time.Millisecond)
}

// send sends the request on a connection.
func (c *simCall) send(conn *simConnection) {
	w, s := c.connections.world, c.connections
	request := &simRequest{call: c, conn: conn, reused: conn.used}
	c.sent = true
	if conn.closed {
		w.after(c.travelTime(), request.breakConnection)
		return
	}
	key := c.owner.name + conn.endpoint.info.Box
	s.inFlight[key] = append(s.inFlight[key], request)
	delay := c.travelTime()
	if conn.used && w.chance(closedShare) {
		w.after(delay, request.breakConnection)
		if w.random.Float64() < 0.5 {
			return
		}
		delay = w.randomDuration(0, maxClosedDelay)
	}
	w.after(delay, func() { request.arrive(w.now.Add(maxCutDelivery)) })
}

// breakConnection ends the connection of a request whose answer hasn't begun to arrive. If the connection had been used before,
// the request is sent once more.
func (r *simRequest) breakConnection() {
	c := r.call
	if r.broken || c.ended {
		return
	}
	r.broken = true
	if !r.reused || c.repeated {
		c.end(errNoReply)
		return
	}
	c.repeated = true
	c.connections.repeated++
	c.open()
}

// arrive has the endpoint carry out a request. During a cut it arrives later, unless that lasts until giveUpAt.
func (r *simRequest) arrive(giveUpAt time.Time) {
	c, e := r.call, r.conn.endpoint
	w := c.connections.world
	switch {
	case e.exited:
		if w.resetsOnExit {
			r.breakConnection()
		}
		return
	case c.isCut(e):
		if !c.connections.resets && w.now.Before(giveUpAt) {
			w.after(w.randomDuration(50*time.Millisecond, 200*time.Millisecond), func() { r.arrive(giveUpAt) })
		}
		return
	}
	w.requestDelayed = c.ended || r.broken
	result := c.handle(e)
	w.requestDelayed = false
	delay := c.travelTime()
	if w.chance(slowReplyShare) {
		delay = w.randomDuration(0, slowReplyTime)
	}
	w.after(delay, func() { r.answer(result) })
}

// answer passes the answer to a request to its call. A refused second copy doesn't show that the first one had no effect.
func (r *simRequest) answer(result func() error) {
	c := r.call
	s := c.connections
	key := c.owner.name + r.conn.endpoint.info.Box
	if r.broken || c.ended || c.isCut(r.conn.endpoint) {
		return
	}
	s.inFlight[key] = slices.DeleteFunc(s.inFlight[key], func(other *simRequest) bool { return other == r })
	r.conn.used = true
	idleKey := c.owner.name + c.life.String()
	s.idle[idleKey] = append(s.idle[idleKey], r.conn)
	err := result()
	if err != nil && c.repeated && !errors.Is(err, damsonwinch.ErrOtherLife) && !errors.Is(err, damsonwinch.ErrStaleToken) {
		err = errNoReply
	}
	c.end(err)
}
