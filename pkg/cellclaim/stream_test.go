package cellclaim_test

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/cellclaim"
	"damsonwinch/pkg/wire"
)

// TestCellPartitionsSpanTopics checks that there can be more cells than partitions of a topic.
func TestCellPartitionsSpanTopics(t *testing.T) {
	streams := map[string]bool{}
	for partition := range 50 {
		claim := cellclaim.Claim{}
		claim.Partition = partition
		stream := cellclaim.Stream(claim, 24)
		assert.Assert(t, stream.Partition < 24)
		streams[stream.String()] = true
	}
	assert.Equal(t, len(streams), 50)
	assert.Assert(t, streams["keyed.cells/0"] && streams["keyed.cells-2/0"] && streams["keyed.cells-3/1"])
}

// TestNextPartitionIsUnused checks that the next partition is neither reserved nor named by a claim.
func TestNextPartitionIsUnused(t *testing.T) {
	claims := map[string]cellclaim.Claim{"one": {}, "two": {}}
	two := claims["two"]
	two.Partition = 6
	claims["two"] = two
	assert.Equal(t, cellclaim.NextPartition(claims, 3), 7)
	assert.Equal(t, cellclaim.NextPartition(claims, 9), 9)
	assert.Equal(t, cellclaim.NextPartition(nil, 0), 0)
}

// endStore is a store whose streams end at the number of their partition, except for one that can't be read.
type endStore struct {
	damsonwinch.Store
	unreadable int
}

var errUnreadable = errors.New("unreadable")

func (s endStore) Newest(_ context.Context, stream damsonwinch.Stream, _ string) (damsonwinch.KeyPage, error) {
	if stream.Partition == s.unreadable {
		return damsonwinch.KeyPage{}, errUnreadable
	}
	return damsonwinch.KeyPage{End: stream.Partition}, nil
}

// TestStreamEndsOfNode reads the ends of the streams of a node's cells, without those that it has released.
func TestStreamEndsOfNode(t *testing.T) {
	claims := map[string]cellclaim.Claim{}
	for partition, node := range []string{"a", "b", "b", "b", "a"} {
		cell := string(rune('p' + partition))
		claims[cell] = cellclaim.Claim{CellClaim: wire.CellClaim{Cell: cell, Node: node, Partition: partition, Released: partition == 3}}
	}
	own := cellclaim.OfNode(claims, "b")
	assert.Equal(t, len(own), 2)
	sum, err := cellclaim.StreamEnds(context.Background(), endStore{unreadable: 4}, own, 24)
	assert.NilError(t, err)
	assert.Equal(t, sum, 1+2)
	_, err = cellclaim.StreamEnds(context.Background(), endStore{unreadable: 2}, own, 24)
	assert.ErrorIs(t, err, errUnreadable)
}
