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

// String returns the topic and the partition, separated by a slash.
func (s Stream) String() string {
	return fmt.Sprintf("%s/%d", s.Topic, s.Partition)
}

// Record is one record of a stream.
type Record struct {
	// Key identifies the subject of the record. It is empty in streams without keys.
	Key string
	// Value is empty if the record deletes its key.
	Value []byte
	// Offset is the record's position in its stream, set on records that have been read.
	Offset int
}

// Fence makes the store accept an append only while the producer's epoch is the newest that the
// stream has seen, and only in the order of sequence numbers.
type Fence struct {
	Producer string
	Epoch    int
	// Sequence rises by one with each append of an epoch. If an append repeats one of the last
	// five sequence numbers, the store returns the response to the first one again.
	Sequence int
}

// Page is a contiguous part of a stream.
type Page struct {
	Records []Record
	// First is the oldest offset that the stream still holds.
	First int
	// End is the offset that the next record will get.
	End int
}

// KeyPage is one page of a listing of the newest record of each key in a stream, in the order of
// keys.
type KeyPage struct {
	Records []Record
	// More reports whether there are keys above the last one in Records.
	More bool
	// End is the offset that the next record will get.
	End int
}

// Assignment is a stream that a group has assigned to one of its members.
type Assignment struct {
	Stream Stream
	Member string
}

// Membership is the state of a member of a group after it has joined.
type Membership struct {
	Generation int
	// Assigned holds the streams that the group has assigned to this member.
	Assigned []Stream
}

// JoinRequest asks to join a group or to stay in it.
type JoinRequest struct {
	Group  string
	Member string
	Topics []string
	// TTL is how long the group keeps a member that sends no further request.
	TTL time.Duration
	// Generation is the newest generation of the group that the member knows, or 0.
	Generation int
}

// Errors of the store that callers distinguish. After any other error the call may have been
// carried out or may still be carried out later.
var (
	// ErrFenced means that a newer epoch has written to the stream.
	ErrFenced = errors.New("a newer epoch has written to the stream")
	// ErrOutOfSequence means that the append doesn't follow the last one of its epoch.
	ErrOutOfSequence = errors.New("the append is out of sequence")
	// ErrConflict means that another append has changed the end of the stream.
	ErrConflict = errors.New("another append has changed the end of the stream")
	// ErrExpired means that the requested records are no longer kept.
	ErrExpired = errors.New("records have expired")
	// ErrRefused means that the call did nothing. A retry may succeed.
	ErrRefused = errors.New("refused, nothing was done")
)

// PartialError means that a call ended after a part of its response had arrived: the peer was slow
// or the response large, but the peer was not silent.
type PartialError struct {
	// Received is the number of bytes of the response that had arrived.
	Received int
	// Err is the error that ended the call.
	Err error
}

// Error returns the number of bytes received and the error that ended the call.
func (e *PartialError) Error() string {
	return fmt.Sprintf("after %d bytes of the response: %v", e.Received, e.Err)
}

// Unwrap returns the error that ended the call.
func (e *PartialError) Unwrap() error {
	return e.Err
}

// Store is the platform's log. It holds streams of records, some of which keep the newest record
// of each key forever, and groups that assign streams to their members.
type Store interface {
	// Append adds all records or none and returns the offset of the first. Without records it
	// only raises the stream's epoch to that of the fence. An empty fence means that the append
	// isn't fenced.
	Append(ctx context.Context, stream Stream, records []Record, fence Fence) (int, error)
	// AppendAt adds all records if the next offset of the stream is end, and else returns
	// ErrConflict.
	AppendAt(ctx context.Context, stream Stream, records []Record, end int) error
	// Read returns records starting at offset from. If there is none yet it waits at most wait
	// for the first one.
	Read(ctx context.Context, stream Stream, from int, wait time.Duration) (Page, error)
	// Newest returns the newest record of each key above after, in the order of keys.
	Newest(ctx context.Context, stream Stream, after string) (KeyPage, error)
	// Join joins a group, or renews the membership.
	Join(ctx context.Context, request JoinRequest) (Membership, error)
	// Leave leaves a group without waiting for the member's TTL.
	Leave(ctx context.Context, group, member string) error
	// Assignments returns all streams that a group has assigned, with their members.
	Assignments(ctx context.Context, group string) ([]Assignment, error)
}
