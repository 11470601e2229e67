package cell_test

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// testSeeds returns the seeds of a test: from 1, or from DAMSONWINCH_FIRST_SEED if that is set, as
// many as defaultCount, or as DAMSONWINCH_SEEDS if that is set.
func testSeeds(defaultCount uint64) []uint64 {
	first, count := uint64(1), defaultCount
	if text := os.Getenv("DAMSONWINCH_SEEDS"); text != "" {
		count, _ = strconv.ParseUint(text, 10, 64)
	}
	if text := os.Getenv("DAMSONWINCH_FIRST_SEED"); text != "" {
		first, _ = strconv.ParseUint(text, 10, 64)
	}
	var seeds []uint64
	for seed := first; seed < first+count; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

// firstSeeds returns the seeds from 1 to count.
func firstSeeds(count uint64) []uint64 {
	var seeds []uint64
	for seed := uint64(1); seed <= count; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

// checkSeeds simulates seeds. It fails the test at the first one that violates a rule.
func checkSeeds(t *testing.T, seeds []uint64, simulate func(seed uint64, m mutation) *world) {
	t.Helper()
	starts := 0
	for _, seed := range seeds {
		w := simulate(seed, mutation{})
		if w.rules.violation != "" {
			t.Fatalf("seed %d: %s\n%s", seed, w.rules.violation, strings.Join(w.log, "\n"))
		}
		starts += w.rules.startCount
	}
	t.Logf("%d seeds, %d starts", len(seeds), starts)
}

// expectViolation simulates seeds with a disabled mechanism until one violates a rule, and the beginning of the violation
// matches the given regular expression. An empty one matches any. It fails the test if none does.
func expectViolation(t *testing.T, rule string, seeds []uint64, m mutation, simulate func(seed uint64, m mutation) *world) {
	t.Helper()
	expected := regexp.MustCompile("^" + rule)
	for _, seed := range seeds {
		if violation := simulate(seed, m).rules.violation; violation != "" && expected.MatchString(violation) {
			t.Logf("seed %d: %s", seed, violation)
			return
		}
	}
	t.Fatal("no seed violated the rule without the mechanism")
}
