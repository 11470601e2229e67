package feed

import (
	"context"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/idle"
)

// Scan reads the newest record of each key of a stream, page by page. After an error it goes on with
// the page that failed. If it started again instead, a stream of many pages could take forever.
type Scan struct {
	store  damsonwinch.Store
	clock  damsonwinch.Clock
	stream damsonwinch.Stream

	retryPolicy retryPolicy
	// storeAnsweredSince reports whether the store has answered another call since a time. It may be
	// nil.
	storeAnsweredSince func(since time.Time) bool

	records []damsonwinch.Record
	done    bool
	// requestedAt is when the first page was requested, and end is the end of the stream that the store
	// returned with that page. Later pages may have records from after end. A feed reads these again,
	// which does no harm.
	requestedAt time.Time
	end         int
}

// NewScan returns a scan that has read nothing yet.
func NewScan(store damsonwinch.Store, clock damsonwinch.Clock, stream damsonwinch.Stream) *Scan {
	return &Scan{store: store, clock: clock, stream: stream, retryPolicy: newRetryPolicy()}
}

// Run reads all pages. After an error it may be called again and goes on with the page that failed.
func (s *Scan) Run(ctx context.Context) error {
	for !s.done {
		if err := s.readPage(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Records returns the records that have been read, the offset at which to read on, and the time when
// the first page was requested: the records are at least as recent as that time.
func (s *Scan) Records() (records []damsonwinch.Record, end int, requestedAt time.Time) {
	return s.records, s.end, s.requestedAt
}

// readPage reads the page after the last record.
func (s *Scan) readPage(ctx context.Context) error {
	limited, cancel := idle.WithTimeout(ctx, s.clock, s.retryPolicy.responseTimeout, defaultResponseTimeout)
	defer cancel(nil)
	after := ""
	if last := len(s.records) - 1; last >= 0 {
		after = s.records[last].Key
	}
	requestedAt := s.clock.Now()
	page, err := s.store.Newest(limited, s.stream, after)
	if err != nil {
		s.retryPolicy.recordFailure(limited, err, s.storeAnsweredSince != nil && s.storeAnsweredSince(requestedAt))
		return err
	}
	if s.requestedAt.IsZero() {
		s.requestedAt, s.end = requestedAt, page.End
	}
	s.records = append(s.records, page.Records...)
	s.done = !page.More || len(page.Records) == 0
	return nil
}
