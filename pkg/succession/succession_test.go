package succession

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/membership"
)

// TestSuccessorIsTheLeastLoadedMember checks the order of candidates: load for their weight first, without
// the cell itself, and that the choice among equals differs between cells.
func TestSuccessorIsTheLeastLoadedMember(t *testing.T) {
	strong, other, weak := membership.Member{Node: "strong", Weight: 800}, membership.Member{Node: "other", Weight: 800}, membership.Member{Node: "weak", Weight: 100}
	owners := map[string]string{}
	for number := range 4 {
		owners[fmt.Sprintf("cell-%d", number)] = "strong"
	}
	ranking := Rank([]membership.Member{weak, strong, other}, owners)
	best, found := ranking.Successor("free", AnyMember)
	assert.Assert(t, found)
	assert.Equal(t, best.Node, "other")
	assert.Assert(t, !ranking.MaySucceed(weak) || ranking.firstGroup < 2)

	// Without the other one the strong node has five cells for 800, the weak one would have one for 100.
	ranking = Rank([]membership.Member{weak, strong}, owners)
	best, _ = ranking.Successor("free", AnyMember)
	assert.Equal(t, best.Node, "strong")
	best, _ = ranking.Successor("cell-0", func(m membership.Member) bool { return m.Node != "strong" })
	assert.Equal(t, best.Node, "weak", "the owner itself is not eligible")
	_, found = ranking.Successor("cell-0", func(membership.Member) bool { return false })
	assert.Assert(t, !found)

	chosen := map[string]bool{}
	ranking = Rank([]membership.Member{strong, other}, nil)
	for number := range 20 {
		best, _ = ranking.Successor(fmt.Sprintf("cell-%d", number), AnyMember)
		chosen[best.Node] = true
	}
	assert.Equal(t, len(chosen), 2)
}

// TestOnlyFarStrongerMembersTakeCellsOver checks the difference in weight from which a cell is handed over.
func TestOnlyFarStrongerMembersTakeCellsOver(t *testing.T) {
	owner, owners := membership.Member{Node: "owner", Weight: 100}, map[string]string{"cell": "owner"}
	for weight, handedOver := range map[int]bool{100: false, 399: false, 400: true, 800: true} {
		other := membership.Member{Node: "other", Weight: weight}
		best, found := Rank([]membership.Member{owner, other}, owners).FarStronger("cell", owner)
		assert.Equal(t, found, handedOver, "weight %d", weight)
		assert.Assert(t, !found || best == other, "weight %d", weight)
	}
}
