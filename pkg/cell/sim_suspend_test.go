package cell_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// suspensions is how often an owner's machine is suspended in a run.
	suspensions = 2
	// longestSuspension is longer than it takes until a task whose endpoint is out of reach of
	// the next owner is started elsewhere.
	longestSuspension = simGrace + simLease + 3*time.Second
	// claimsWait is how long a reading of the claims may take that was sent before.
	claimsWait = time.Second
)

// playSuspended plays one run of a seed in which the machines of owners are suspended, beside
// all other trouble. Another owner comes; the earlier one wakes and takes no time to have
// passed.
func playSuspended(seed uint64, broken sabotage) *world {
	w := newWorld(seed, broken)
	w.attentive, w.resets, w.longest, w.lastingWork = true, true, 6*time.Second, 20*time.Second
	w.beginCalm(usualJobs)
	for range suspensions {
		w.after(w.between(0, simTrouble), w.suspend)
	}
	w.finish()
	return w
}

// suspend suspends the newest owner's machine. A box may be out of the next one's reach.
func (w *world) suspend() {
	if !w.trouble {
		return
	}
	o := w.owners[len(w.owners)-1]
	length := w.between(500*time.Millisecond, longestSuspension)
	w.logf("owner %s is suspended for %v", o.name, length)
	if until := w.now.Add(length); until.After(o.pausedUntil) {
		o.pausedUntil = until
	}
	w.after(length, func() { o.slept += length })
	o.blindUntil = w.now.Add(length + w.between(0, claimsWait))
	if w.random.Float64() < 0.7 {
		next := string(rune('A' + len(w.owners)%26))
		box := w.endpoints[w.random.IntN(len(w.endpoints))].info.Box
		w.logf("cut between %s and %s", next, box)
		w.cuts[next+box] = true
		w.after(longestSuspension, func() { delete(w.cuts, next+box) })
	}
	w.after(w.between(100*time.Millisecond, time.Second), func() { w.addOwner() })
}

// TestSuspendedOwnersDoNoHarm: an owner that wakes must not go on as if no time had passed.
// Another one may count on it having ended to prolong leases, and have started elsewhere what
// it could not reach.
func TestSuspendedOwnersDoNoHarm(t *testing.T) {
	seeds := freshSeeds(400)
	starts := 0
	for _, seed := range seeds {
		w := playSuspended(seed, sabotage{})
		assert.Equal(t, w.rules.broken, "", "seed %d:\n%s", seed, strings.Join(w.log, "\n"))
		starts += w.rules.starts
	}
	t.Logf("%d seeds, %d starts", len(seeds), starts)
}

// TestSuspensionsAreSeen: where an owner isn't told some seed is broken.
func TestSuspensionsAreSeen(t *testing.T) {
	for _, seed := range freshSeeds(400) {
		if broken := playSuspended(seed, sabotage{sleepless: true}).rules.broken; broken != "" {
			t.Logf("seed %d: %s", seed, broken)
			return
		}
	}
	t.Fatal("no seed found that the mechanism is missing")
}
