// Package feed follows a keyed stream of the store: it reads the newest record of each key first, and
// then the records that are added.
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

const (
	// initialRetryDelay is the time until the next read after one that has failed. It grows while the
	// store refuses reads.
	initialRetryDelay = 200 * time.Millisecond
	// defaultResponseTimeout bounds the time until the response to a read starts, in addition to the wait
	// that the read asks for, and the time between two parts of the response. The store answers within
	// a few milliseconds, and takes 70 times as long on a bad day. The duration of the whole response
	// has no limit. In this time a link of 10 Mbit/s carries 600 KB of a configuration of 870 KB;
	// when the whole response was limited, 35 of 43 nodes read these 600 KB again and again and never
	// got the rest.
	defaultResponseTimeout = 600 * time.Millisecond
	// snapshotLag is the least number of records that a feed with NewestOnly must be behind to read the
	// newest record of each key instead. These records are a third larger, since they are sent in
	// base64, but they are sent only once.
	snapshotLag = 2
	// maxFewKeys is the number of keys up to which snapshotLag applies: a stream of few keys may have
	// large records. If there were more keys in the last snapshot, the feed must be behind by as many
	// records as there were keys, since the next snapshot holds them all.
	maxFewKeys = 16
	// logInterval is the time between two log lines while the stream can't be read.
	logInterval = 5 * time.Second
)

// Deps holds the dependencies of a feed.
type Deps struct {
	Store   damsonwinch.Store
	Clock   damsonwinch.Clock
	Logger  logrus.FieldLogger
	Metrics *metrics.Set
	// StoreAnsweredAt returns when the store last answered one of the calls that this node makes all the
	// time, such as its heartbeats. It may be nil.
	StoreAnsweredAt func() time.Time
}

// Options select the stream that a feed follows and how it is read.
type Options struct {
	Stream damsonwinch.Stream
	// Wait is how long the store waits for a new record before it answers a read.
	Wait time.Duration
	// Pause returns the time until the next read; nil means no pause. It is meant for streams that
	// change all the time and whose records are not needed at once. Wake ends the pause.
	Pause func() time.Duration
	// Period returns the number of the present period in which the stream is needed, or 0 while nobody needs
	// it; nil means that it is always needed. While it returns 0 the feed reads nothing and waits for Wake.
	// In each new period the feed starts with a snapshot.
	Period func() int
	Wake   <-chan struct{}
	// NewestOnly means that only the newest record of a key matters. The feed then goes on with a
	// snapshot if that is probably smaller than the records that remain after a read. A node with a slow link that read
	// all records in between would fall further and further behind.
	NewestOnly bool
	// OnSnapshot is called with the newest record of each key: when the feed starts, at the start of a
	// period, when the store has dropped the next record, and when NewestOnly
	// requires it. end is the offset of the next read. requestedAt is when the first page was
	// requested: the records are at least as recent as that time.
	OnSnapshot func(records []damsonwinch.Record, end int, requestedAt time.Time)
	// OnRecords is called after each other read with the records that were added, in order, or with
	// none if the store has answered that there is nothing new. end is the offset that the stream's
	// next record will get, and requestedAt is when the read was sent.
	OnRecords func(records []damsonwinch.Record, end int, requestedAt time.Time)
}

// Feed follows a stream and passes its records to the callbacks in Options.
type Feed struct {
	Deps
	options Options
	// period is the newest result of Options.Period.
	period int
	// started reports whether a snapshot has been read, so that next is the offset of the next read.
	started bool
	next    int
	// keyCount is the number of records in the last snapshot.
	keyCount int
	// failing is set while reads fail.
	failing bool
	// answeredAt is when a read was last answered, and loggedAt when a failure was last logged.
	answeredAt time.Time
	loggedAt   time.Time
	// pendingRead is the read in flight, or nil.
	pendingRead atomic.Pointer[pendingRead]
	// scan is the unfinished scan for a snapshot, or nil.
	scan        *Scan
	retryPolicy retryPolicy
}

// pendingRead is a read in flight: its context and the function that cancels it.
type pendingRead struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// errRefreshed is the cause with which Refresh cancels a read.
var errRefreshed = errors.New("read anew")

// New returns a feed. It reads nothing before Run is called.
func New(deps Deps, options Options) *Feed {
	return &Feed{Deps: deps, options: options, retryPolicy: newRetryPolicy()}
}

// Run follows the stream until ctx ends. It calls the callbacks in Options from its own goroutine.
func (f *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.updatePeriod() {
			f.waitUntilNeeded(ctx)
			continue
		}
		if err := f.readOnce(ctx); err != nil {
			f.recordFailure(ctx, err)
			f.sleep(ctx, f.retryPolicy.nextDelay())
			continue
		}
		f.recordSuccess()
		if f.options.Pause != nil {
			f.sleep(ctx, f.options.Pause())
		}
	}
}

// Refresh cancels the read in flight, so that the stream is read again at once and over another
// connection. Call it when there is a sign of new records. A read whose response has started to arrive
// goes on: the response may be large, and would never arrive if it were requested again each time.
func (f *Feed) Refresh() {
	if r := f.pendingRead.Load(); r != nil && !idle.ResponseStarted(r.ctx) {
		r.cancel(errRefreshed)
	}
}

// readOnce reads a snapshot if the feed needs one, and else the next records.
func (f *Feed) readOnce(ctx context.Context) error {
	if !f.started {
		return f.readSnapshot(ctx)
	}
	wait := f.options.Wait
	if f.failing {
		// Don't wait for a new record: the feed must learn soon whether the store answers again.
		wait = 0
	}
	requestedAt := f.Clock.Now()
	limited, cancel := idle.WithTimeout(ctx, f.Clock, wait+f.retryPolicy.responseTimeout, defaultResponseTimeout)
	defer cancel(nil)
	f.pendingRead.Store(&pendingRead{ctx: limited, cancel: cancel})
	page, err := f.Store.Read(limited, f.options.Stream, f.next, wait)
	f.pendingRead.Store(nil)
	switch {
	case errors.Is(err, damsonwinch.ErrExpired):
		f.started = false
		return nil
	case err != nil && errors.Is(context.Cause(limited), errRefreshed):
		return nil
	case err != nil:
		f.retryPolicy.recordFailure(limited, err, f.storeAnsweredSince(requestedAt))
		return err
	}
	f.reportWithoutKey(page.Records)
	f.next += len(page.Records)
	f.options.OnRecords(page.Records, page.End, requestedAt)
	if f.options.NewestOnly && page.End-f.next >= f.maxLag() {
		f.started = false
	}
	return nil
}

// reportWithoutKey logs and counts the records that have neither key nor value: the store holds malformed ones.
func (f *Feed) reportWithoutKey(records []damsonwinch.Record) {
	for _, record := range records {
		if record.Key == "" && len(record.Value) == 0 {
			f.Metrics.Add("records_without_key", 1)
			f.logger().WithField("offset", record.Offset).Error("record skipped: it has no key")
		}
	}
}

// maxLag returns the number of records that a feed with NewestOnly must be behind to read a snapshot.
func (f *Feed) maxLag() int {
	if f.keyCount <= maxFewKeys {
		return snapshotLag
	}
	return f.keyCount
}

// readSnapshot reads the newest record of each key. After an error the next call goes on with the page
// that failed.
func (f *Feed) readSnapshot(ctx context.Context) error {
	if f.scan == nil {
		f.scan = NewScan(f.Store, f.Clock, f.options.Stream)
		f.scan.storeAnsweredSince = f.storeAnsweredSince
	}
	f.scan.retryPolicy = f.retryPolicy
	err := f.scan.Run(ctx)
	f.retryPolicy = f.scan.retryPolicy
	if err != nil {
		return err
	}
	records, end, requestedAt := f.scan.Records()
	f.scan, f.started, f.next, f.keyCount = nil, true, end, len(records)
	f.options.OnSnapshot(records, end, requestedAt)
	return nil
}

// storeAnsweredSince reports whether the store is known to have answered another call since a time.
func (f *Feed) storeAnsweredSince(since time.Time) bool {
	return f.StoreAnsweredAt != nil && f.StoreAnsweredAt().After(since)
}

// updatePeriod reports whether the stream is needed now. It makes the feed start with a snapshot if a new period
// has begun.
func (f *Feed) updatePeriod() bool {
	if f.options.Period == nil {
		return true
	}
	if period := f.options.Period(); period != f.period {
		f.period, f.started, f.scan = period, false, nil
	}
	return f.period != 0
}

// waitUntilNeeded waits for Wake or the end of ctx.
func (f *Feed) waitUntilNeeded(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.options.Wake:
	}
}

// recordFailure counts a failed read and logs it: the first failure at once, and further ones every
// logInterval.
func (f *Feed) recordFailure(ctx context.Context, err error) {
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
	if f.failing && now.Sub(f.loggedAt) < logInterval {
		return
	}
	message := "stream lost"
	if f.failing {
		message = "stream still lost"
	}
	f.failing, f.loggedAt = true, now
	f.logger().WithError(err).WithField("received_bytes", received).Warn(message)
}

// recordSuccess resets the retry policy after a read that was answered. After a failure it logs that the
// stream can be read again.
func (f *Feed) recordSuccess() {
	f.retryPolicy.reset()
	if f.failing {
		f.failing = false
		f.logger().Info("stream back")
	}
	f.answeredAt = f.Clock.Now()
}

// logger returns a logger with the stream, the next offset and the time since the last response.
func (f *Feed) logger() logrus.FieldLogger {
	fields := logrus.Fields{"stream": f.options.Stream.String(), "next": f.next}
	if !f.answeredAt.IsZero() {
		fields["answered_ms_ago"] = f.Clock.Since(f.answeredAt).Milliseconds()
	}
	return f.Logger.WithFields(fields)
}

// sleep waits until a time has passed, Wake is received from or ctx ends.
func (f *Feed) sleep(ctx context.Context, length time.Duration) {
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
