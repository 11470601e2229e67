package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/cellclaim"
	"damsonwinch/pkg/ownership"
	"damsonwinch/pkg/shard"
)

// TestCellsOfADroppedPoolKeepAnOwner guards against jobs that can neither be asked for nor cancelled once the owner of
// their cell has exited, because the configuration no longer has their pool.
func TestCellsOfADroppedPoolKeepAnOwner(t *testing.T) {
	layout := shard.New(2, []string{"kept", "dropped"})
	view := ownership.View{Layout: layout, Claims: map[string]cellclaim.Claim{fleetCell: {}, "kept": {}, "dropped": {}, "dropped@1": {}}}
	configuration := damsonwinch.Configuration{Pools: []damsonwinch.Pool{{Name: "kept"}}}
	assert.DeepEqual(t, ownedCells(configuration, view, layout), []string{fleetCell, "kept", "kept@1", "dropped", "dropped@1"})
}
