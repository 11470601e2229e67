package cellclaim

import (
	"context"
	"encoding/json"

	"damsonwinch"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// Topic holds the newest claim of each cell, with the cell's name as the key, and the records of LayoutKey
// and PartitionsKey. It has one partition.
const Topic = "keyed.claims"

// Keys of records in the stream of claims that are not claims. No cell has these names.
const (
	// LayoutKey is the key of the division of the pools into cells.
	LayoutKey = "@layout"
	// PartitionsKey is the key of the number of partitions that have been reserved.
	PartitionsKey = "@partitions"
)

// Writer appends records to the stream of claims. Each append names the offset end at which the stream must
// end. If that is the offset up to which a node has read, the append fails if there are records that the node
// hasn't read.
type Writer struct {
	store damsonwinch.Store
}

// NewWriter returns the Writer for the stream of claims in a store.
func NewWriter(store damsonwinch.Store) Writer {
	return Writer{store: store}
}

// AppendClaim appends a claim of a cell, or the release of one.
func (w Writer) AppendClaim(ctx context.Context, claim wire.CellClaim, end int) error {
	return w.append(ctx, claim.Cell, claim, end)
}

// AppendLayout appends the division of the pools into cells.
func (w Writer) AppendLayout(ctx context.Context, layout shard.Layout, end int) error {
	return w.append(ctx, LayoutKey, wire.Layout{Shards: layout.Shards, Pools: layout.Pools}, end)
}

// AppendPartitions appends the number of partitions that have been reserved.
func (w Writer) AppendPartitions(ctx context.Context, reserved, end int) error {
	return w.append(ctx, PartitionsKey, wire.Partitions{Taken: reserved}, end)
}

// append appends a record with a value that is written as JSON.
func (w Writer) append(ctx context.Context, key string, value any, end int) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return w.store.AppendAt(ctx, damsonwinch.Stream{Topic: Topic}, []damsonwinch.Record{{Key: key, Value: data}}, end)
}

// Decode returns the claim in a record.
func Decode(record damsonwinch.Record) (Claim, error) {
	claim := Claim{Token: record.Offset + 1}
	err := json.Unmarshal(record.Value, &claim.CellClaim)
	return claim, err
}

// DecodeLayout returns the layout in the record of LayoutKey.
func DecodeLayout(record damsonwinch.Record) (shard.Layout, error) {
	var stored wire.Layout
	err := json.Unmarshal(record.Value, &stored)
	return shard.New(stored.Shards, stored.Pools), err
}

// DecodePartitions returns the number of reserved partitions in the record of PartitionsKey.
func DecodePartitions(record damsonwinch.Record) (int, error) {
	var stored wire.Partitions
	err := json.Unmarshal(record.Value, &stored)
	return stored.Taken, err
}
