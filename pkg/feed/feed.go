// Package feed follows a keyed stream of the store: all newest records first,
// then what is added.
package feed

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"damsonwinch"
)

// Times of a feed.
const (
	// retryPause is the time between tries while the store doesn't answer.
	retryPause = 200 * time.Millisecond
	// answerMargin is added to a reading's wait before it is given up: the store
	// answers in a few milliseconds, and 60 times as slow on a bad day.
	answerMargin = 700 * time.Millisecond
)

// Deps are what a feed works with.
type Deps struct {
	Store  damsonwinch.Store
	Clock  damsonwinch.Clock
	Logger logrus.FieldLogger
}

// Options say what is followed, and how closely.
type Options struct {
	Stream damsonwinch.Stream
	// Wait is how long a reading waits for news at the store.
	Wait time.Duration
	// Pause is the time between readings, for streams that move all the time and
	// are not needed to the millisecond.
	Pause time.Duration
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

// Follow follows a stream until the context ends.
func Follow(ctx context.Context, deps Deps, options Options) {
	f := follower{Deps: deps, options: options}
	for ctx.Err() == nil {
		if options.Wanted != nil && !options.Wanted() {
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
		f.pause(ctx, options.Pause)
	}
}

type follower struct {
	Deps
	options Options
	started bool
	next    int
	failing bool
}

func (f *follower) step(ctx context.Context) error {
	if !f.started {
		return f.restart(ctx)
	}
	askedAt := f.Clock.Now()
	limited, cancel := context.WithTimeout(ctx, f.options.Wait+answerMargin)
	defer cancel()
	page, err := f.Store.Read(limited, f.options.Stream, f.next, f.options.Wait)
	if errors.Is(err, damsonwinch.ErrExpired) {
		f.started = false
		return nil
	}
	if err != nil {
		return err
	}
	f.next += len(page.Records)
	f.options.Added(page.Records, page.End, askedAt)
	return nil
}

// restart reads the newest record of each key.
func (f *follower) restart(ctx context.Context) error {
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
func (f *follower) rest(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.options.Wake:
	}
}

// report logs a lost dependency once.
func (f *follower) report(ctx context.Context, err error) {
	if f.failing || ctx.Err() != nil {
		return
	}
	f.failing = true
	f.Logger.WithError(err).WithField("stream", f.options.Stream.String()).Warn("stream lost")
}

func (f *follower) recovered() {
	if f.failing {
		f.failing = false
		f.Logger.WithField("stream", f.options.Stream.String()).Info("stream back")
	}
}

func (f *follower) pause(ctx context.Context, length time.Duration) {
	if length <= 0 {
		return
	}
	timer := f.Clock.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}
