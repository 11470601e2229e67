package cellclaim_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/cellclaim"
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
