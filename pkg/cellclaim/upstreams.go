package cellclaim

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxDirectReaders is the largest number of cells whose owners all read from the store what others know as
// well.
const maxDirectReaders = 16

// Upstreams returns claims whose owners read something from the store for all other nodes: those of the
// given number of cells for which suits returns true, chosen by a hash, so that they are spread over the
// availability zones. All nodes know the owners, also right after a start, and a lost owner is replaced
// soon. It returns none in a fleet with few cells, where all nodes read from the store.
func Upstreams(claims map[string]Claim, count int, suits func(cell string) bool) []Claim {
	var upstreams []Claim
	for cell, claim := range claims {
		if !claim.Released && suits(cell) {
			upstreams = append(upstreams, claim)
		}
	}
	if len(upstreams) <= maxDirectReaders {
		return nil
	}
	slices.SortFunc(upstreams, func(a, b Claim) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Cell), xxhash.Sum64String(b.Cell)), cmp.Compare(a.Cell, b.Cell))
	})
	return upstreams[:count]
}
