package cellclaim_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/cellclaim"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// recordStore keeps the records that are appended.
type recordStore struct {
	damsonwinch.Store
	records []damsonwinch.Record
}

func (s *recordStore) AppendAt(_ context.Context, stream damsonwinch.Stream, records []damsonwinch.Record, at int) error {
	if stream != (damsonwinch.Stream{Topic: cellclaim.Topic}) || at != len(s.records) {
		return damsonwinch.ErrConflict
	}
	for _, record := range records {
		record.Offset = len(s.records)
		s.records = append(s.records, record)
	}
	return nil
}

// TestWrittenRecordsAreDecoded writes a record of each kind and decodes it.
func TestWrittenRecordsAreDecoded(t *testing.T) {
	ctx, store := context.Background(), &recordStore{}
	writer := cellclaim.NewWriter(store)
	written, layout := wire.CellClaim{Cell: "one", Node: "a", Address: "a:1", Incarnation: 2, Partition: 3}, shard.New(3, []string{"p", "q"})

	assert.NilError(t, writer.AppendLayout(ctx, layout, 0))
	assert.NilError(t, writer.AppendPartitions(ctx, 7, 1))
	assert.NilError(t, writer.AppendClaim(ctx, written, 2))
	assert.ErrorIs(t, writer.AppendClaim(ctx, written, 2), damsonwinch.ErrConflict)

	assert.Equal(t, store.records[0].Key, cellclaim.LayoutKey)
	decided, err := cellclaim.DecodeLayout(store.records[0])
	assert.NilError(t, err)
	assert.Assert(t, decided.Equal(layout))
	assert.Equal(t, store.records[1].Key, cellclaim.PartitionsKey)
	reserved, err := cellclaim.DecodePartitions(store.records[1])
	assert.NilError(t, err)
	assert.Equal(t, reserved, 7)
	assert.Equal(t, store.records[2].Key, "one")
	claim, err := cellclaim.Decode(store.records[2])
	assert.NilError(t, err)
	assert.Equal(t, claim, cellclaim.Claim{CellClaim: written, Token: 3})
}
