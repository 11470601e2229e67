package apportion

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

func TestSharesAddUpToTotal(t *testing.T) {
	const seed, rounds = 7, 2000
	random := rand.New(rand.NewPCG(seed, seed))
	for round := range rounds {
		weights := make([]int, 1+random.IntN(9))
		sum := 0
		for i := range weights {
			weights[i] = random.IntN(50)
			sum += weights[i]
		}
		total := random.IntN(300)
		got := 0
		for i, share := range Apportion(total, weights) {
			got += share
			assert.Assert(t, sum == 0 || share >= total*weights[i]/sum && share <= total*weights[i]/sum+1, "seed %d round %d", seed, round)
		}
		assert.Assert(t, sum == 0 || got == total, "seed %d round %d: %d of %d", seed, round, got, total)
	}
}

func TestSharesAreProportionalToWeights(t *testing.T) {
	assert.DeepEqual(t, Apportion(10, []int{1, 1, 1}), []int{4, 3, 3})
	assert.DeepEqual(t, Apportion(7, []int{8, 0, 8}), []int{4, 0, 3})
	assert.Equal(t, Share(10, []int{1, 1}, 2), 0)
}
