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
	"damsonwinch/pkg/metrics"
)

// Times of a feed.
const (
	// retryPause is the time between tries while the store doesn't answer.
	retryPause = 200 * time.Millisecond
	// answerMargin is added to a reading's wait before it is given up: the store
	// answers in a few milliseconds, and 70 times as slow on a bad day.
	answerMargin = 600 * time.Millisecond
	// reportEvery is the time between two log lines on a stream that stays lost.
	reportEvery = 5 * time.Second
)

// Deps are what a feed works with.
type Deps struct {
	Store   damsonwinch.Store
	Clock   damsonwinch.Clock
	Logger  logrus.FieldLogger
	Metrics *metrics.Set
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
	// Snapshot is given all newest records, at first and whenever the store has
	// dropped what came after the last reading.
	Snapshot func(records []damsonwinch.Record, end int)
	// Added is given what was added, in order. It may be empty: the store has
	// answered that there is nothing new. AskedAt is when the reading was sent.
	Added func(records []damsonwinch.Record, end int, askedAt time.Time)
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
	// reading ends the reading on its way.
	reading atomic.Pointer[context.CancelFunc]
}

// New returns a feed that reads nothing before Run.
func New(deps Deps, options Options) *Feed {
	return &Feed{Deps: deps, options: options}
}

// Run follows the stream until the context ends.
func (f *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.options.Wanted != nil && !f.options.Wanted() {
			f.started = false
			f.rest(ctx)
			continue
		}
		if err := f.step(ctx); err != nil {
			f.report(ctx, err)
			f.pause(ctx, retryPause)
			continue
		}
		f.recovered()
		if f.options.Pause != nil {
			f.pause(ctx, f.options.Pause())
		}
	}
}

// Refresh has the stream read at once, on another connection than that of the
// reading on its way: somebody has seen that there is news.
func (f *Feed) Refresh() {
	if end := f.reading.Load(); end != nil {
		(*end)()
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
	limited, cancel := context.WithTimeout(ctx, wait+answerMargin)
	defer cancel()
	f.reading.Store(&cancel)
	page, err := f.Store.Read(limited, f.options.Stream, f.next, wait)
	f.reading.Store(nil)
	switch {
	case errors.Is(err, damsonwinch.ErrExpired):
		f.started = false
		return nil
	case err != nil && errors.Is(limited.Err(), context.Canceled) && ctx.Err() == nil:
		// Refresh has ended it.
		return nil
	case err != nil:
		return err
	}
	f.next += len(page.Records)
	f.options.Added(page.Records, page.End, askedAt)
	return nil
}

// restart reads the newest record of each key.
func (f *Feed) restart(ctx context.Context) error {
	records, end, err := Newest(ctx, f.Store, f.options.Stream)
	if err != nil {
		return err
	}
	f.started, f.next = true, end
	f.options.Snapshot(records, end)
	return nil
}

// Newest reads the newest record of each key of a stream. The end is that of the
// first page: what came later is read again, which does no harm.
func Newest(ctx context.Context, store damsonwinch.Store, stream damsonwinch.Stream) ([]damsonwinch.Record, int, error) {
	var records []damsonwinch.Record
	end, after := 0, ""
	for page := 0; ; page++ {
		limited, cancel := context.WithTimeout(ctx, answerMargin)
		got, err := store.Newest(limited, stream, after)
		cancel()
		if err != nil {
			return nil, 0, err
		}
		if page == 0 {
			end = got.End
		}
		records = append(records, got.Records...)
		if !got.More || len(got.Records) == 0 {
			return records, end, nil
		}
		after = got.Records[len(got.Records)-1].Key
	}
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
