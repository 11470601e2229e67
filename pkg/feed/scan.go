package feed

import (
	"context"
	"fmt"
	"strings"
	"time"
	"unicode/utf8"

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
	// after is the key after which the next page begins, or "" for the first page.
	after string
	done  bool
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
	requestedAt := s.clock.Now()
	page, err := s.store.Newest(limited, s.stream, s.after)
	if err != nil {
		s.retryPolicy.recordFailure(limited, err, s.storeAnsweredSince != nil && s.storeAnsweredSince(requestedAt))
		return err
	}
	done := !page.More || len(page.Records) == 0
	if !done {
		if s.after, err = s.nextAfter(page.Records[len(page.Records)-1].Key); err != nil {
			return err
		}
	}
	if s.requestedAt.IsZero() {
		s.requestedAt, s.end = requestedAt, page.End
	}
	s.records = append(s.records, page.Records...)
	s.done = done
	return nil
}

// nextAfter returns the key after which to read on from a page that ends with the key last. This is last itself,
// unless that would request the same page for ever: "" also requests the first page, and a key that isn't UTF-8
// arrives in JSON with U+FFFD in place of each invalid byte, which may sort before the key. The result then skips at
// most keys that aren't ASCII either.
func (s *Scan) nextAfter(last string) (string, error) {
	if last > s.after {
		return last, nil
	}
	next := strings.ReplaceAll(last, string(utf8.RuneError), "\xff")
	if last == "" {
		next = "\x00"
	}
	if next <= s.after {
		return s.after, fmt.Errorf("scan %s after key %q: a page ends with key %q, which is not above it", s.stream, s.after, last)
	}
	return next, nil
}
