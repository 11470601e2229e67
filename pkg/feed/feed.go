// Package feed follows a keyed stream of the store: all newest records first,
// then what is added.
package feed

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"damsonwinch"
	"damsonwinch/pkg/idle"
	"damsonwinch/pkg/metrics"
)

// Times of a feed.
const (
	// retryPause is the time between tries while the store doesn't answer.
	retryPause = 200 * time.Millisecond
	// answerMargin is how long a reading may be silent beyond its wait, and between two
	// parts of its answer, before it is given up: the store answers in a few
	// milliseconds, and 70 times as slow on a bad day. It bounds no whole answer: of a
	// configuration of 870 KB a link of 10 Mbit/s brings 600 KB in this time, and 35 of
	// 43 nodes read them over and over without ever having all.
	answerMargin = 600 * time.Millisecond
	// farBehind is by how many records a reader is behind that had better read the newest
	// ones anew: those are a third larger on the way, in base64, but come once.
	farBehind = 2
	// reportEvery is the time between two log lines on a stream that stays lost.
	reportEvery = 5 * time.Second
)

// Deps are what a feed works with.
type Deps struct {
	Store   damsonwinch.Store
	Clock   damsonwinch.Clock
	Logger  logrus.FieldLogger
	Metrics *metrics.Set
	// StoreAnsweredAt tells when the store has last answered any call of this node; nil where
	// nobody knows.
	StoreAnsweredAt func() time.Time
}

// Options say what is followed, and how closely.
type Options struct {
	Stream damsonwinch.Stream
	// Wait is how long a reading waits for news at the store.
	Wait time.Duration
	// Pause returns the time until the next reading, for streams that move all the
	// time and are not needed to the millisecond; nil means none. Wake ends it.
	Pause func() time.Duration
	// Wanted says whether anybody needs the stream now; nil means always. While
	// nobody does, nothing is read, and Wake ends the wait. What is then there comes
	// as a snapshot.
	Wanted func() bool
	Wake   <-chan struct{}
	// NewestOnly says that of the records of a key only the newest matters. A reader that
	// is behind by more than one page then goes on with the newest records, not with
	// those in between: a node with a slow link would fall ever further behind.
	NewestOnly bool
	// OnSnapshot is given all newest records, at first and whenever the store has
	// dropped what came after the last reading. AskedAt is when the first page was asked
	// for: a record is as it was at that time or later.
	OnSnapshot func(records []damsonwinch.Record, end int, askedAt time.Time)
	// OnRecords is given what was added, in order. It may be empty: the store has
	// answered that there is nothing new. AskedAt is when the reading was sent.
	OnRecords func(records []damsonwinch.Record, end int, askedAt time.Time)
}

// Feed follows a stream.
type Feed struct {
	Deps
	options Options
	started bool
	next    int
	failing bool
	// answeredAt is when the last reading was answered, and reportedAt when the log was
	// last told that none is.
	answeredAt time.Time
	reportedAt time.Time
	// reading is the reading on its way.
	reading atomic.Pointer[reading]
	// scan is the reading of all newest records on its way.
	scan     *Scan
	patience patience
}

// reading is a call on its way and what ends it.
type reading struct {
	ctx context.Context
	end context.CancelCauseFunc
}

// errRefreshed ends a reading in whose place another is to be sent.
var errRefreshed = errors.New("read anew")

// New returns a feed that reads nothing before Run.
func New(deps Deps, options Options) *Feed {
	return &Feed{Deps: deps, options: options, patience: newPatience()}
}

// Run follows the stream until the context ends.
func (f *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.options.Wanted != nil && !f.options.Wanted() {
			f.started, f.scan = false, nil
			f.rest(ctx)
			continue
		}
		if err := f.step(ctx); err != nil {
			f.report(ctx, err)
			f.pause(ctx, f.patience.rest())
			continue
		}
		f.recovered()
		if f.options.Pause != nil {
			f.pause(ctx, f.options.Pause())
		}
	}
}

// Refresh has the stream read at once, on another connection than that of the
// reading on its way: somebody has seen that there is news. A reading whose answer is
// coming is left alone; it may be large, and would never end if it were begun anew.
func (f *Feed) Refresh() {
	if r := f.reading.Load(); r != nil && !idle.AnswerStarted(r.ctx) {
		r.end(errRefreshed)
	}
}

func (f *Feed) step(ctx context.Context) error {
	if !f.started {
		return f.restart(ctx)
	}
	wait := f.options.Wait
	if f.failing {
		// Whether the store is back is worth knowing before there is news.
		wait = 0
	}
	askedAt := f.Clock.Now()
	limited, end := idle.WithTimeout(ctx, f.Clock, wait+f.patience.silence, answerMargin)
	defer end(nil)
	f.reading.Store(&reading{ctx: limited, end: end})
	page, err := f.Store.Read(limited, f.options.Stream, f.next, wait)
	f.reading.Store(nil)
	switch {
	case errors.Is(err, damsonwinch.ErrExpired):
		f.started = false
		return nil
	case err != nil && errors.Is(context.Cause(limited), errRefreshed):
		return nil
	case err != nil:
		f.patience.failed(limited, err, f.storeAnswers(askedAt))
		return err
	}
	f.next += len(page.Records)
	f.options.OnRecords(page.Records, page.End, askedAt)
	if f.options.NewestOnly && page.End-f.next >= farBehind {
		f.started = false
	}
	return nil
}

// restart reads the newest record of each key.
func (f *Feed) restart(ctx context.Context) error {
	if f.scan == nil {
		f.scan = NewScan(f.Store, f.Clock, f.options.Stream)
		f.scan.alive = f.storeAnswers
	}
	f.scan.patience = f.patience
	err := f.scan.Run(ctx)
	f.patience = f.scan.patience
	if err != nil {
		return err
	}
	records, end, askedAt := f.scan.Records()
	f.scan, f.started, f.next = nil, true, end
	f.options.OnSnapshot(records, end, askedAt)
	return nil
}

// storeAnswers says whether the store has answered another call since a time.
func (f *Feed) storeAnswers(since time.Time) bool {
	return f.StoreAnsweredAt != nil && f.StoreAnsweredAt().After(since)
}

// rest waits until somebody needs the stream.
func (f *Feed) rest(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.options.Wake:
	}
}

// report counts a failed reading, and logs a lost dependency: at first, and while it
// stays lost.
func (f *Feed) report(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	received := 0
	if partial := (*damsonwinch.PartialError)(nil); errors.As(err, &partial) {
		received = partial.Received
		f.Metrics.Add("readings_broken_off", 1)
		f.Metrics.Add("readings_broken_off_bytes", received)
	} else {
		f.Metrics.Add("readings_unanswered", 1)
	}
	now := f.Clock.Now()
	if f.failing && now.Sub(f.reportedAt) < reportEvery {
		return
	}
	what := "stream lost"
	if f.failing {
		what = "stream still lost"
	}
	f.failing, f.reportedAt = true, now
	f.line().WithError(err).WithField("received_bytes", received).Warn(what)
}

func (f *Feed) recovered() {
	f.patience.answered()
	if f.failing {
		f.failing = false
		f.line().Info("stream back")
	}
	f.answeredAt = f.Clock.Now()
}

// line begins a log line on the stream, with the age of what is known of it.
func (f *Feed) line() logrus.FieldLogger {
	fields := logrus.Fields{"stream": f.options.Stream.String(), "next": f.next}
	if !f.answeredAt.IsZero() {
		fields["answered_ms_ago"] = f.Clock.Since(f.answeredAt).Milliseconds()
	}
	return f.Logger.WithFields(fields)
}

func (f *Feed) pause(ctx context.Context, length time.Duration) {
	if length <= 0 {
		return
	}
	timer := f.Clock.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	case <-f.options.Wake:
	}
}
