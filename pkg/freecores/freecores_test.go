package freecores_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/freecores"
)

// TestEachEntryIsInTheBucketOfItsFreeCores guards against endpoints that no search finds, or that are found
// twice, after others of their bucket have moved.
func TestEachEntryIsInTheBucketOfItsFreeCores(t *testing.T) {
	var x freecores.Index
	entries := make([]freecores.Entry, 5)
	for i := range entries {
		x.Update(&entries[i], 4000)
	}
	for i, milliCPU := range []int{-5, 999, 4999, 300_000} {
		x.Update(&entries[i], milliCPU)
	}
	x.Remove(&entries[4])
	x.Remove(&entries[4])
	want := map[int][]*freecores.Entry{0: {&entries[0], &entries[1]}, 4: {&entries[2]}, 256: {&entries[3]}}
	for bucket := range x.Highest() + 1 {
		assert.Assert(t, slices.Equal(x.Bucket(bucket), want[bucket]), "bucket %d", bucket)
	}
	assert.Equal(t, x.Highest(), 256)
}
