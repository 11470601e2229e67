package relay

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// maxRecentRecords is how many of the last records a tail keeps. Followers are usually one or two
// records behind.
const maxRecentRecords = 4

// tail holds the part of a stream that upstream nodes serve to followers: the newest record of each
// key, and the last few records.
type tail struct {
	mutex  sync.Mutex
	newest map[string]*cachedRecord
	// recent holds the records just before end, at most maxRecentRecords.
	recent []*cachedRecord
	// end is the offset of the next record to read.
	end int
	// confirmedAt is when the store confirmed that the stream ends at end; zero if it never did.
	confirmedAt time.Time
	// changed is closed, and replaced, when end changes or is confirmed for the first time.
	changed chan struct{}
}

// cachedRecord is a record and its packed value: compressed with gzip, upon the first request for it.
type cachedRecord struct {
	record damsonwinch.Record
	once   sync.Once
	packed string
	err    error
}

// newTail returns a tail that has no records and that the store has not confirmed.
func newTail() *tail {
	return &tail{newest: map[string]*cachedRecord{}, changed: make(chan struct{})}
}

// reset replaces the contents of the tail by the newest record of each key, as of confirmedAt.
func (t *tail) reset(records []damsonwinch.Record, end int, confirmedAt time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	clear(t.newest)
	t.recent = nil
	for _, record := range records {
		t.newest[record.Key] = &cachedRecord{record: record}
	}
	t.setEnd(end, confirmedAt)
}

// add adds the records that a read at offset from returned. end is the end of the stream at the time
// confirmedAt; it may be after the last of the records.
func (t *tail) add(from int, records []damsonwinch.Record, end int, confirmedAt time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if from != t.end {
		t.recent = nil
	}
	for _, record := range records {
		cached := &cachedRecord{record: record}
		t.recent = append(t.recent, cached)
		t.newest[record.Key] = cached
		if len(record.Value) == 0 {
			delete(t.newest, record.Key)
		}
	}
	if surplus := len(t.recent) - maxRecentRecords; surplus > 0 {
		t.recent = slices.Clone(t.recent[surplus:])
	}
	if next := from + len(records); next < end {
		// The stream has more records, which the next read returns at once. Until then the tail is
		// not known to be complete, so the time of the last confirmation stays.
		end, confirmedAt = next, t.confirmedAt
	}
	t.setEnd(end, confirmedAt)
}

// next returns the offset of the next record to read.
func (t *tail) next() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.end
}

// setEnd sets the end of the tail and wakes the callers of waitFor if it has changed.
func (t *tail) setEnd(end int, confirmedAt time.Time) {
	if end != t.end || t.confirmedAt.IsZero() {
		close(t.changed)
		t.changed = make(chan struct{})
	}
	t.end, t.confirmedAt = end, confirmedAt
}

// waitFor waits until the node has read the record at an offset, or until ctx ends. With an offset of
// -1 it waits for the first read.
func (t *tail) waitFor(ctx context.Context, offset int) {
	for {
		t.mutex.Lock()
		available, changed := !t.confirmedAt.IsZero() && offset < t.end, t.changed
		t.mutex.Unlock()
		if available {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// replyTo returns the reply to a follower's request, with packed records.
func (t *tail) replyTo(args wire.FollowArgs, now time.Time) (wire.FollowReply, error) {
	records, reply := t.lookUp(args, now)
	for _, cached := range records {
		packed, err := cached.pack()
		if err != nil {
			return wire.FollowReply{}, err
		}
		reply.Records = append(reply.Records, wire.FollowedRecord{Key: cached.record.Key, Offset: cached.record.Offset, Packed: packed})
	}
	return reply, nil
}

// lookUp returns the requested records, and a reply that doesn't contain them yet. The reply's Known is
// false if the tail doesn't hold all requested records.
func (t *tail) lookUp(args wire.FollowArgs, now time.Time) ([]*cachedRecord, wire.FollowReply) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	reply := wire.FollowReply{Known: !t.confirmedAt.IsZero(), End: t.end, AgeMs: int(now.Sub(t.confirmedAt).Milliseconds())}
	if !reply.Known {
		return nil, wire.FollowReply{}
	}
	if args.Newest {
		var records []*cachedRecord
		for _, key := range slices.Sorted(maps.Keys(t.newest)) {
			records = append(records, t.newest[key])
		}
		return records, reply
	}
	behind := t.end - args.Next
	if behind > len(t.recent) {
		// The oldest of these records are no longer here. The follower then asks for the newest
		// record of each key.
		reply.Known = false
		return nil, reply
	}
	return slices.Clone(t.recent[len(t.recent)-max(0, behind):]), reply
}

// pack returns the packed value of the record. The first call makes it.
func (c *cachedRecord) pack() (string, error) {
	c.once.Do(func() { c.packed, c.err = pack(c.record.Value) })
	return c.packed, c.err
}

// pack compresses a value with gzip. It returns "" for an empty value.
func pack(value []byte) (string, error) {
	if len(value) == 0 {
		return "", nil
	}
	var packed strings.Builder
	w, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return "", fmt.Errorf("pack record: %w", err)
	}
	if _, err := w.Write(value); err != nil {
		return "", fmt.Errorf("pack record: %w", err)
	}
	if err := w.Close(); err != nil {
		return "", fmt.Errorf("pack record: %w", err)
	}
	return packed.String(), nil
}

// maxValueBytes is the size of the largest value that is unpacked: the largest that the platform's
// client accepts.
const maxValueBytes = 16 << 20

// unpack reverses pack. It returns an error if packed is invalid or its value is larger than
// maxValueBytes.
func unpack(packed string) ([]byte, error) {
	if packed == "" {
		return nil, nil
	}
	r, err := gzip.NewReader(strings.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("unpack record: %w", err)
	}
	var value bytes.Buffer
	if _, err := io.Copy(&value, io.LimitReader(r, maxValueBytes+1)); err != nil {
		return nil, fmt.Errorf("unpack record: %w", err)
	}
	if value.Len() > maxValueBytes {
		return nil, fmt.Errorf("unpack record: more than %d bytes", maxValueBytes)
	}
	return value.Bytes(), nil
}
