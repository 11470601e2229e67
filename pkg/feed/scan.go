package feed

import (
	"context"

	"damsonwinch"
	"damsonwinch/pkg/idle"
)

// Scan reads the newest record of each key of a stream, page after page. After an error it
// goes on with the page that failed: a stream of many pages would otherwise be begun anew
// with each of them.
type Scan struct {
	store  damsonwinch.Store
	clock  damsonwinch.Clock
	stream damsonwinch.Stream

	records []damsonwinch.Record
	begun   bool
	done    bool
	// end is that of the first page: what came later is read again, which does no harm.
	end int
}

// NewScan returns a scan that has read nothing yet.
func NewScan(store damsonwinch.Store, clock damsonwinch.Clock, stream damsonwinch.Stream) *Scan {
	return &Scan{store: store, clock: clock, stream: stream}
}

// Run reads until all pages have come.
func (s *Scan) Run(ctx context.Context) error {
	for !s.done {
		if err := s.page(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Records returns what has been read, and the stream's end when that began.
func (s *Scan) Records() ([]damsonwinch.Record, int) {
	return s.records, s.end
}

func (s *Scan) page(ctx context.Context) error {
	limited, cancel := idle.WithTimeout(ctx, s.clock, answerMargin, answerMargin)
	defer cancel(nil)
	after := ""
	if last := len(s.records) - 1; last >= 0 {
		after = s.records[last].Key
	}
	got, err := s.store.Newest(limited, s.stream, after)
	if err != nil {
		return err
	}
	if !s.begun {
		s.begun, s.end = true, got.End
	}
	s.records = append(s.records, got.Records...)
	s.done = !got.More || len(got.Records) == 0
	return nil
}
