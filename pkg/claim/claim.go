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
	"damsonwinch/pkg/pace"
	"damsonwinch/pkg/wire"
)

const (
	pageRecords   = 500
	waitMs        = 1000
	readTimeout   = 3 * time.Second
	appendTimeout = 2 * time.Second
	retryPause    = 100 * time.Millisecond
	busyTick      = 10 * time.Millisecond
	idleTick      = time.Second
	inboxLength   = 256
	// spacing is the time between two appends for each entry there is, so that
	// all of them together leave most of the log's rate to others.
	spacing     = 20 * time.Millisecond
	mostSpacing = 2 * time.Second
)

// State is what became of a wish for a key.
type State int

// States of a key.
const (
	// Won: the request may be sent until its deadline.
	Won State = iota
	// Taken: another claim was first; its outcome, if known, is in the verdict.
	Taken
	// Mismatch: the key was used for a request with another body.
	Mismatch
	// Unavailable: the log has not answered in time. The request did not run.
	Unavailable
)

// Result is the answer to a claim.
type Result struct {
	State State
	// Owner names the claim that was won.
	Owner   string
	Outcome wire.Outcome
	Status  int
}

// Deps is what the claims need.
type Deps struct {
	Log         damsonwinch.Log
	Clock       damsonwinch.Clock
	Node        string
	Incarnation int
	Metrics     *metrics.Set
	// EntryCount returns how many entries append claims now.
	EntryCount func() int
}

// Claimer claims keys for one entry. One task owns its state.
type Claimer struct {
	deps   Deps
	inbox  chan any
	cancel context.CancelFunc
	group  *errgroup.Group
	ended  chan struct{}

	// What follows is the loop's own.
	ledger    *ledger
	attempts  int
	waiting   map[string]*wish
	abandoned map[string]string // Owner by key.
	outbox    []wire.Claim
	inFlight  bool
	next      time.Time
}

// wish is a claim on its way.
type wish struct {
	claim wire.Claim
	until time.Time // When the wish is given up.
	reply chan<- Result
}

// Messages to the loop.
type (
	acquireMessage struct {
		key, digest string
		until       time.Time
		deadline    time.Time
		reply       chan<- Result
	}
	settleMessage struct {
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

// New starts to follow the claims stream.
func New(deps Deps) *Claimer {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	b := &Claimer{
		deps:      deps,
		inbox:     make(chan any, inboxLength),
		cancel:    cancel,
		group:     group,
		ended:     make(chan struct{}),
		ledger:    newLedger(),
		waiting:   map[string]*wish{},
		abandoned: map[string]string{},
	}
	group.Go(func() error { return b.follow(ctx) })
	group.Go(func() error { return b.run(ctx) })
	return b
}

// Close stops the book and waits for its goroutines.
func (b *Claimer) Close() error {
	b.cancel()
	return b.group.Wait()
}

// Acquire claims a key for a request with the given digest and deadline. It
// waits until the log has decided, at most until the given time. Both times are
// on this process's clock.
func (b *Claimer) Acquire(key, digest string, until, deadline time.Time) Result {
	reply := make(chan Result, 1)
	select {
	case b.inbox <- acquireMessage{key: key, digest: digest, until: until, deadline: deadline, reply: reply}:
	case <-b.ended:
		return Result{State: Unavailable}
	}
	// The loop answers every wish by its time; a caller that left before would
	// leave a claim behind whose owner nobody is.
	select {
	case verdict := <-reply:
		return verdict
	case <-b.ended:
	}
	select {
	case verdict := <-reply:
		return verdict
	default:
		return Result{State: Unavailable}
	}
}

// RecordOutcome records the outcome of a claim that was won.
func (b *Claimer) RecordOutcome(key, owner string, outcome wire.Outcome, status int) {
	claim := wire.Claim{Key: key, Owner: owner, Outcome: outcome, Status: status}
	select {
	case b.inbox <- settleMessage{claim: claim}:
	case <-b.ended:
	}
}

func (b *Claimer) run(ctx context.Context) error {
	ticker := pace.New(b.deps.Clock, busyTick, idleTick)
	defer ticker.Stop()
	for {
		ticker.SetBusy(len(b.waiting) > 0 || len(b.outbox) > 0)
		select {
		case <-ctx.Done():
			b.giveUpAll()
			close(b.ended)
			return nil
		case message := <-b.inbox:
			b.take(message)
		case <-ticker.Chan():
			b.giveUpLate()
		}
		b.flush(ctx)
	}
}

func (b *Claimer) take(message any) {
	switch m := message.(type) {
	case acquireMessage:
		b.acquire(m)
	case settleMessage:
		b.outbox = append(b.outbox, m.claim)
	case recordsMessage:
		for _, record := range m.records {
			b.takeRecord(record)
		}
	case appendedMessage:
		b.takeAppended(m)
	}
}

func (b *Claimer) acquire(m acquireMessage) {
	if held, known := b.ledger.keys[m.key]; known && held.outcome != wire.OutcomeNotRun {
		m.reply <- taken(held, m.digest)
		return
	}
	if b.waiting[m.key] != nil {
		m.reply <- Result{State: Taken}
		return
	}
	b.attempts++
	owner := b.deps.Node + "/" + strconv.Itoa(b.deps.Incarnation) + "/" + strconv.Itoa(b.attempts)
	claim := wire.Claim{Key: m.key, Owner: owner, Until: int(m.deadline.UnixMilli()), Digest: m.digest}
	b.waiting[m.key] = &wish{claim: claim, until: m.until, reply: m.reply}
	b.outbox = append(b.outbox, claim)
	b.deps.Metrics.Add("claims", 1)
}

func taken(held holding, digest string) Result {
	if held.digest != digest {
		return Result{State: Mismatch}
	}
	return Result{State: Taken, Outcome: held.outcome, Status: held.status}
}

func (b *Claimer) takeRecord(record wire.Entry) {
	claims := b.ledger.fold(record)
	for _, claim := range claims {
		if claim.Outcome != "" {
			b.deps.Metrics.Add("claim_outcomes", 1)
		}
	}
	b.takeClaims(claims)
}

// takeClaims decides the wishes for keys that a folded record names.
func (b *Claimer) takeClaims(claims []wire.Claim) {
	for _, claim := range claims {
		held := b.ledger.keys[claim.Key]
		if b.abandoned[claim.Key] == held.owner && held.owner != "" && held.outcome == "" {
			// It landed after its caller was told "not run": make that so for
			// whoever tries the key again.
			b.outbox = append(b.outbox, wire.Claim{Key: claim.Key, Owner: held.owner, Outcome: wire.OutcomeNotRun})
			delete(b.abandoned, claim.Key)
		}
		wish := b.waiting[claim.Key]
		if wish == nil || claim.Outcome != "" {
			continue
		}
		if held.owner == wish.claim.Owner {
			b.answer(wish, Result{State: Won, Owner: held.owner})
			continue
		}
		b.answer(wish, taken(held, wish.claim.Digest))
	}
}

func (b *Claimer) answer(wish *wish, verdict Result) {
	delete(b.waiting, wish.claim.Key)
	wish.reply <- verdict
}

// giveUpLate answers wishes whose time is over.
func (b *Claimer) giveUpLate() {
	now := b.deps.Clock.Now()
	for _, wish := range b.waiting {
		if !now.Before(wish.until) {
			b.giveUp(wish)
		}
	}
}

func (b *Claimer) giveUpAll() {
	for _, wish := range b.waiting {
		b.giveUp(wish)
	}
}

func (b *Claimer) giveUp(wish *wish) {
	b.abandoned[wish.claim.Key] = wish.claim.Owner
	b.dropUnsent(wish.claim)
	b.deps.Metrics.Add("claims_unavailable", 1)
	b.answer(wish, Result{State: Unavailable})
}

// dropUnsent takes a claim that was never appended out of the outbox.
func (b *Claimer) dropUnsent(claim wire.Claim) {
	for i, waiting := range b.outbox {
		if waiting.Owner == claim.Owner && waiting.Outcome == "" {
			b.outbox = append(b.outbox[:i], b.outbox[i+1:]...)
			delete(b.abandoned, claim.Key)
			return
		}
	}
}

// flush appends what waits as one record: group commit.
func (b *Claimer) flush(ctx context.Context) {
	now := b.deps.Clock.Now()
	if b.inFlight || len(b.outbox) == 0 || now.Before(b.next) {
		return
	}
	claims := b.outbox
	b.outbox = nil
	id := fmt.Sprintf("%s/%d/%d", b.deps.Node, b.deps.Incarnation, b.attempts)
	data, err := json.Marshal(wire.ClaimBatch{Id: id, Claims: claims})
	if err != nil {
		return
	}
	b.inFlight = true
	b.deps.Metrics.Add("claim_appends", 1)
	b.group.Go(func() error {
		limited, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		_, err := b.deps.Log.Append(limited, damsonwinch.StreamClaims, string(data))
		select {
		case b.inbox <- appendedMessage{claims: claims, err: err}:
		case <-ctx.Done():
		}
		return nil
	})
}

// takeAppended says outcomes again that may not have landed. Claims are not
// said again: their wishes end by their own time.
func (b *Claimer) takeAppended(m appendedMessage) {
	b.inFlight = false
	pause := min(mostSpacing, spacing*time.Duration(max(1, b.deps.EntryCount())))
	if m.err != nil {
		b.deps.Metrics.Add("claim_append_failures", 1)
		pause = max(pause, retryPause)
		for _, claim := range m.claims {
			if claim.Outcome != "" {
				b.outbox = append(b.outbox, claim)
			}
		}
	}
	b.next = b.deps.Clock.Now().Add(pause)
}

// follow reads the claims stream from the oldest record on.
func (b *Claimer) follow(ctx context.Context) error {
	from := 0
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, readTimeout)
		page, err := b.deps.Log.Read(limited, damsonwinch.StreamClaims, from, pageRecords, waitMs)
		cancel()
		if err != nil {
			select {
			case <-b.deps.Clock.After(retryPause):
			case <-ctx.Done():
			}
			continue
		}
		from = max(from, page.First)
		if len(page.Records) == 0 {
			continue
		}
		from = page.Records[len(page.Records)-1].Offset + 1
		select {
		case b.inbox <- recordsMessage{records: page.Records}:
		case <-ctx.Done():
		}
	}
	return nil
}
