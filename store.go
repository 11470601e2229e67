package damsonwinch

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Stream names one partition of a topic of the platform's log.
type Stream struct {
	Topic     string
	Partition int
}

// String returns the topic and the partition.
func (s Stream) String() string {
	return fmt.Sprintf("%s/%d", s.Topic, s.Partition)
}

// Record is one entry of a stream.
type Record struct {
	// Key names what the record is about; empty in streams without keys.
	Key string
	// Value is empty where the record drops its key.
	Value []byte
	// Offset is the record's place in its stream, known once it is there.
	Offset int
}

// Fence makes an append count only while its producer's epoch is the newest
// that the stream has seen, and only in the order of its sequence.
type Fence struct {
	Producer string
	Epoch    int
	// Sequence rises by one with each append of an epoch. A repeated one of the
	// last five gets its first answer again.
	Sequence int
}

// Page is a stretch of a stream.
type Page struct {
	Records []Record
	// First is the oldest offset that the stream still holds.
	First int
	// End is the offset that the next record will get.
	End int
}

// KeyPage is a part of the newest records of a keyed stream, in order of keys.
type KeyPage struct {
	Records []Record
	// More says that keys above the last one follow.
	More bool
	// End is the offset that the next record will get.
	End int
}

// Assignment is one dealt partition of a group.
type Assignment struct {
	Stream Stream
	Member string
}

// Membership is what a member of a group knows after it has joined.
type Membership struct {
	Generation int
	// Assigned are the streams that the group has dealt to this member.
	Assigned []Stream
}

// JoinRequest asks to join a group or to stay in it.
type JoinRequest struct {
	Group  string
	Member string
	Topics []string
	// TTL is how long the group keeps a silent member.
	TTL time.Duration
	// Generation is the newest one that the member has heard of, or 0.
	Generation int
}

// Outcomes of calls to the store that the caller tells apart. Any other error
// leaves open whether the call has been carried out, now or later.
var (
	// ErrFenced says that a newer epoch has written to the stream.
	ErrFenced = errors.New("a newer epoch has written")
	// ErrOutOfSequence says that the append doesn't follow the last one of its epoch.
	ErrOutOfSequence = errors.New("out of sequence")
	// ErrConflict says that somebody else has appended meanwhile.
	ErrConflict = errors.New("the stream has moved on")
	// ErrExpired says that the records asked for are no longer kept.
	ErrExpired = errors.New("records have expired")
	// ErrRefused says that the store did nothing and may do so on another try.
	ErrRefused = errors.New("refused, nothing was done")
)

// PartialError says that a call ended while its answer was coming, and how much of it
// had come: the peer was slow or the answer large, and not silent.
type PartialError struct {
	// Received is in bytes.
	Received int
	Err      error
}

// Error implements error.
func (e *PartialError) Error() string {
	return fmt.Sprintf("after %d bytes of the answer: %v", e.Received, e.Err)
}

// Unwrap returns what ended the call.
func (e *PartialError) Unwrap() error {
	return e.Err
}

// Store is the platform's log: streams of records, some of which keep the newest
// record of each key for ever, and groups of members.
type Store interface {
	// Append adds all records or none and returns the offset of the first. No
	// records and a higher epoch only raise the stream's epoch. An empty fence
	// is none.
	Append(ctx context.Context, stream Stream, records []Record, fence Fence) (int, error)
	// AppendAt adds all records if the stream ends at the given offset, and fails
	// with ErrMoved if it doesn't.
	AppendAt(ctx context.Context, stream Stream, records []Record, at int) error
	// Read returns records from an offset on, waiting for the first at most as
	// long as told.
	Read(ctx context.Context, stream Stream, from int, wait time.Duration) (Page, error)
	// Newest returns the newest records of keys above the given one.
	Newest(ctx context.Context, stream Stream, after string) (KeyPage, error)
	// Join joins a group or stays in it.
	Join(ctx context.Context, request JoinRequest) (Membership, error)
	// Leave leaves a group at once.
	Leave(ctx context.Context, group, member string) error
	// Assignments returns all dealt partitions of a group.
	Assignments(ctx context.Context, group string) ([]Assignment, error)
}
