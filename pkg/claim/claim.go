package claim

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"damsonwinch"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/ticker"
	"damsonwinch/pkg/wire"
)

const (
	pageRecords   = 500  // Largest number of records in the response to one read.
	readWaitMs    = 1000 // How long the log waits for a record before it answers a read.
	readTimeout   = 3 * time.Second
	appendTimeout = 2 * time.Second
	retryInterval = 100 * time.Millisecond // Least time from a failed call to the next one.
	busyInterval  = 10 * time.Millisecond  // Time between two checks of the pending claims and the outbox.
	idleInterval  = time.Second            // The same while both are empty.
	inboxCapacity = 256
	// appendIntervalPerEntry, times the number of entries, is the time between two
	// appends of one entry. So all entries together leave most of the log's append
	// rate to other processes.
	appendIntervalPerEntry = 20 * time.Millisecond
	maxAppendInterval      = 2 * time.Second
)

// State says how an attempt to claim a key ended.
type State int

// States in which an attempt to claim a key can end.
const (
	// Won means that the request may be sent to an endpoint until its deadline.
	Won State = iota
	// Taken means that another request has claimed the key before. The outcome of
	// that request, if it is known, is in the Result.
	Taken
	// Mismatch means that the key was claimed for a request with another body.
	Mismatch
	// Unavailable means that the log has not answered in time. The request must not
	// be sent.
	Unavailable
)

// Result is the result of Acquire.
type Result struct {
	State State
	// Owner identifies the claim that won. It is set if State is Won.
	Owner string
	// Outcome and Status are the outcome and the HTTP status of the other request
	// that has claimed the key. They are set if State is Taken and they are known.
	Outcome wire.Outcome
	Status  int
}

// Deps are the dependencies and the identity of a Claimer.
type Deps struct {
	Log         damsonwinch.Log
	Clock       damsonwinch.Clock
	Node        string
	Incarnation int // Tells the runs of the entry's process apart.
	Metrics     *metrics.Set
	// EntryCount returns the number of entries that append claims, or 0 while it isn't known.
	EntryCount func() int
}

// Claimer claims keys for one entry. A single goroutine, run, owns its state; the
// methods send messages to it.
type Claimer struct {
	deps    Deps
	inbox   chan any
	cancel  context.CancelFunc
	group   *errgroup.Group
	stopped chan struct{} // Closed when run has ended.

	// The fields below are used by run only.
	keys       *keyIndex
	attempts   int                      // Number of the last claim.
	pending    map[string]*pendingClaim // By key.
	abandoned  map[string]string        // Owners of claims that were given up and may still be appended, by key.
	outbox     []wire.Claim             // Claims and outcomes to append.
	inFlight   bool                     // An append is under way.
	nextAppend time.Time                // When the next append may start.
}

// pendingClaim is a claim that the log has not decided yet.
type pendingClaim struct {
	claim wire.Claim
	until time.Time // When the claim is given up.
	reply chan<- Result
}

// The goroutine of run handles these messages, and alone holds the claims.
type (
	acquireMessage struct {
		key, digest string
		until       time.Time
		deadline    time.Time
		reply       chan<- Result
	}
	outcomeMessage struct {
		claim wire.Claim
	}
	recordsMessage struct {
		records []wire.Entry
	}
	appendedMessage struct {
		claims []wire.Claim
		err    error
	}
)

// New returns a Claimer that reads the claims stream and appends claims until
// Close is called.
func New(deps Deps) *Claimer {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	c := &Claimer{
		deps:      deps,
		inbox:     make(chan any, inboxCapacity),
		cancel:    cancel,
		group:     group,
		stopped:   make(chan struct{}),
		keys:      newKeyIndex(),
		pending:   map[string]*pendingClaim{},
		abandoned: map[string]string{},
	}
	group.Go(func() error { return c.readStream(ctx) })
	group.Go(func() error { return c.run(ctx) })
	return c
}

// Close gives up all pending claims, stops the goroutines and waits for them.
func (c *Claimer) Close() error {
	c.cancel()
	return c.group.Wait()
}

// Acquire claims a key for a request whose body has the given digest. It returns
// once the log has decided which claim was first or, with the state Unavailable,
// when the time until has come. If the claim wins, the request may be sent until
// deadline. Both times are on this process's clock.
func (c *Claimer) Acquire(key, digest string, until, deadline time.Time) Result {
	reply := make(chan Result, 1)
	select {
	case c.inbox <- acquireMessage{key: key, digest: digest, until: until, deadline: deadline, reply: reply}:
	case <-c.stopped:
		return Result{State: Unavailable}
	}
	// Wait for the reply, which run sends even if the log hasn't decided in time.
	// Otherwise a claim could win after its caller has gone, and nobody would record
	// its outcome.
	select {
	case result := <-reply:
		return result
	case <-c.stopped:
	}
	select {
	case result := <-reply:
		return result
	default:
		return Result{State: Unavailable}
	}
}

// RecordOutcome appends the outcome and HTTP status of a request to the log. owner
// is the Owner of the Result with which the request's key was won.
func (c *Claimer) RecordOutcome(key, owner string, outcome wire.Outcome, status int) {
	claim := wire.Claim{Key: key, Owner: owner, Outcome: outcome, Status: status}
	select {
	case c.inbox <- outcomeMessage{claim: claim}:
	case <-c.stopped:
	}
}

// run handles the messages, appends claims and outcomes, and gives up claims whose
// time has come. It returns when ctx is cancelled.
func (c *Claimer) run(ctx context.Context) error {
	loopTicker := ticker.New(c.deps.Clock, busyInterval, idleInterval)
	defer loopTicker.Stop()
	for {
		loopTicker.SetBusy(len(c.pending) > 0 || len(c.outbox) > 0)
		select {
		case <-ctx.Done():
			c.giveUpAll()
			close(c.stopped)
			return nil
		case message := <-c.inbox:
			c.handle(message)
		case <-loopTicker.Chan():
			c.giveUpExpired()
		}
		c.flush(ctx)
	}
}

func (c *Claimer) handle(message any) {
	switch m := message.(type) {
	case acquireMessage:
		c.acquire(m)
	case outcomeMessage:
		c.outbox = append(c.outbox, m.claim)
	case recordsMessage:
		for _, record := range m.records {
			c.applyRecord(record)
		}
	case appendedMessage:
		c.handleAppended(m)
	}
}

// acquire starts to claim a key. It replies at once if the key has an owner or if
// this process is already claiming it.
func (c *Claimer) acquire(m acquireMessage) {
	if state, known := c.keys.states[m.key]; known && state.outcome != wire.OutcomeNotRun {
		m.reply <- takenResult(state, m.digest)
		return
	}
	if c.pending[m.key] != nil {
		m.reply <- Result{State: Taken}
		return
	}
	c.attempts++
	owner := c.deps.Node + "/" + strconv.Itoa(c.deps.Incarnation) + "/" + strconv.Itoa(c.attempts)
	claim := wire.Claim{Key: m.key, Owner: owner, Until: int(m.deadline.UnixMilli()), Digest: m.digest}
	c.pending[m.key] = &pendingClaim{claim: claim, until: m.until, reply: m.reply}
	c.outbox = append(c.outbox, claim)
	c.deps.Metrics.Add("claims", 1)
}

// takenResult returns the result for a request whose key has an owner: Mismatch
// if the owner's request has another digest, otherwise Taken.
func takenResult(state keyState, digest string) Result {
	if state.digest != digest {
		return Result{State: Mismatch}
	}
	return Result{State: Taken, Outcome: state.outcome, Status: state.status}
}

// applyRecord applies a record of the stream and replies to the claims that it
// decides.
func (c *Claimer) applyRecord(record wire.Entry) {
	claims := c.keys.apply(record)
	for _, claim := range claims {
		if claim.Outcome != "" {
			c.deps.Metrics.Add("claim_outcomes", 1)
		}
	}
	c.resolvePending(claims)
}

// resolvePending replies to the pending claims that an applied record decides.
// claims are the claims of that record.
func (c *Claimer) resolvePending(claims []wire.Claim) {
	for _, claim := range claims {
		state := c.keys.states[claim.Key]
		if c.abandoned[claim.Key] == state.owner && state.owner != "" && state.outcome == "" {
			// The claim reached the log after its caller was told that the log is
			// unavailable, so that the request was not sent. The outcome says so, and
			// the key can be claimed again.
			c.outbox = append(c.outbox, wire.Claim{Key: claim.Key, Owner: state.owner, Outcome: wire.OutcomeNotRun})
			delete(c.abandoned, claim.Key)
		}
		pending := c.pending[claim.Key]
		if pending == nil || claim.Outcome != "" {
			continue
		}
		if state.owner == pending.claim.Owner {
			c.reply(pending, Result{State: Won, Owner: state.owner})
			continue
		}
		c.reply(pending, takenResult(state, pending.claim.Digest))
	}
}

// reply sends the result of a claim, which is then no longer pending.
func (c *Claimer) reply(pending *pendingClaim, result Result) {
	delete(c.pending, pending.claim.Key)
	pending.reply <- result
}

// giveUpExpired gives up the pending claims whose time has come.
func (c *Claimer) giveUpExpired() {
	now := c.deps.Clock.Now()
	for _, pending := range c.pending {
		if !now.Before(pending.until) {
			c.giveUp(pending)
		}
	}
}

// giveUpAll gives up all pending claims.
func (c *Claimer) giveUpAll() {
	for _, pending := range c.pending {
		c.giveUp(pending)
	}
}

// giveUp replies to a claim that the log is unavailable. The claim may still reach
// the log if its append has been started; resolvePending deals with that.
func (c *Claimer) giveUp(pending *pendingClaim) {
	c.abandoned[pending.claim.Key] = pending.claim.Owner
	c.dropUnsent(pending.claim)
	c.deps.Metrics.Add("claims_unavailable", 1)
	c.reply(pending, Result{State: Unavailable})
}

// dropUnsent removes a claim that is given up from the outbox, if it is still
// there. Such a claim never reaches the log and needs no outcome.
func (c *Claimer) dropUnsent(claim wire.Claim) {
	for i, queued := range c.outbox {
		if queued.Owner == claim.Owner && queued.Outcome == "" {
			c.outbox = append(c.outbox[:i], c.outbox[i+1:]...)
			delete(c.abandoned, claim.Key)
			return
		}
	}
}

// flush starts to append the whole outbox as one record (group commit), unless an
// append is under way or the time for the next one has not come.
func (c *Claimer) flush(ctx context.Context) {
	now := c.deps.Clock.Now()
	if c.inFlight || len(c.outbox) == 0 || now.Before(c.nextAppend) {
		return
	}
	claims := c.outbox
	c.outbox = nil
	id := fmt.Sprintf("%s/%d/%d", c.deps.Node, c.deps.Incarnation, c.attempts)
	data, err := json.Marshal(wire.ClaimBatch{Id: id, Claims: claims})
	if err != nil {
		return
	}
	c.inFlight = true
	c.deps.Metrics.Add("claim_appends", 1)
	c.group.Go(func() error {
		appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		_, err := c.deps.Log.Append(appendCtx, damsonwinch.StreamClaims, string(data))
		select {
		case c.inbox <- appendedMessage{claims: claims, err: err}:
		case <-ctx.Done():
		}
		return nil
	})
}

// handleAppended sets the time of the next append. After a failed append, whose
// record may or may not be in the log, it queues the outcomes again. It doesn't
// queue the claims again: they are given up when their time has come.
func (c *Claimer) handleAppended(m appendedMessage) {
	c.inFlight = false
	interval := min(maxAppendInterval, appendIntervalPerEntry*time.Duration(max(1, c.deps.EntryCount())))
	if m.err != nil {
		c.deps.Metrics.Add("claim_append_failures", 1)
		interval = max(interval, retryInterval)
		for _, claim := range m.claims {
			if claim.Outcome != "" {
				c.outbox = append(c.outbox, claim)
			}
		}
	}
	c.nextAppend = c.deps.Clock.Now().Add(interval)
}

// readStream reads the claims stream from the oldest record on, again and again
// until the context is cancelled.
func (c *Claimer) readStream(ctx context.Context) error {
	next := 0
	for ctx.Err() == nil {
		readCtx, cancel := context.WithTimeout(ctx, readTimeout)
		page, err := c.deps.Log.Read(readCtx, damsonwinch.StreamClaims, next, pageRecords, readWaitMs)
		cancel()
		if err != nil {
			select {
			case <-c.deps.Clock.After(retryInterval):
			case <-ctx.Done():
			}
			continue
		}
		next = max(next, page.First)
		if len(page.Records) == 0 {
			continue
		}
		next = page.Records[len(page.Records)-1].Offset + 1
		select {
		case c.inbox <- recordsMessage{records: page.Records}:
		case <-ctx.Done():
		}
	}
	return nil
}
