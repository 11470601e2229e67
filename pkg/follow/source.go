package follow

import (
	"context"
	"fmt"

	"damsonwinch"
	"damsonwinch/pkg/call"
	"damsonwinch/pkg/wire"
)

// LogSourceName is the name of the source that reads the platform's log.
const LogSourceName = "log"

// ReadMethod is the net/rpc method by which keepers return records.
const ReadMethod = "Keeper.Read"

// LogSource is a damsonwinch.RecordSource that reads the platform's log.
type LogSource struct {
	Log damsonwinch.Log
}

// Name returns LogSourceName.
func (s LogSource) Name() string {
	return LogSourceName
}

// Read implements damsonwinch.RecordSource. If the records have expired, it returns the newest snapshot
// of the snapshot stream.
func (s LogSource) Read(ctx context.Context, from, maximum, waitMs int) (wire.ReadReply, error) {
	page, err := s.Log.Read(ctx, damsonwinch.StreamFleet, from, maximum, waitMs)
	if err != nil {
		return wire.ReadReply{}, err
	}
	reply := wire.ReadReply{Entries: page.Records, LogFresh: true}
	if page.First <= from {
		return reply, nil
	}
	reply.Entries = nil
	reply.Snapshot, err = s.newestSnapshot(ctx)
	return reply, err
}

// newestSnapshot returns the last record of the snapshot stream, which is a snapshot in JSON.
func (s LogSource) newestSnapshot(ctx context.Context) (string, error) {
	ends, err := s.Log.Read(ctx, damsonwinch.StreamSnapshots, 0, 1, 0)
	if err != nil {
		return "", err
	}
	if ends.Next == ends.First {
		return "", fmt.Errorf("read %s: records have expired and there is no snapshot", damsonwinch.StreamSnapshots)
	}
	page, err := s.Log.Read(ctx, damsonwinch.StreamSnapshots, ends.Next-1, 1, 0)
	if err != nil {
		return "", err
	}
	if len(page.Records) == 0 {
		return "", fmt.Errorf("read %s: the newest snapshot is not there", damsonwinch.StreamSnapshots)
	}
	return page.Records[len(page.Records)-1].Data, nil
}

// PeerSource is a damsonwinch.RecordSource that reads from a keeper.
type PeerSource struct {
	Client *call.Client
}

// Name returns the address of the keeper.
func (s PeerSource) Name() string {
	return s.Client.Peer()
}

// Read implements damsonwinch.RecordSource. It calls ReadMethod of the keeper.
func (s PeerSource) Read(ctx context.Context, from, maximum, waitMs int) (wire.ReadReply, error) {
	var reply wire.ReadReply
	err := s.Client.Do(ctx, ReadMethod, wire.ReadArgs{From: from, Max: maximum, WaitMs: waitMs}, &reply)
	return reply, err
}
