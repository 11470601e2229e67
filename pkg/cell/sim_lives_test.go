package cell_test

import (
	"strings"
	"testing"
	"time"

	"damsonwinch"
)

// mostEntryLag is the longest time until a new life's entry takes the place of the one before.
const mostEntryLag = 1500 * time.Millisecond

// listedLives are the entries where lives share IDs: that of the newest life that has written
// one. The last entry of a life that has ended stays until then.
func (w *world) listedLives() []damsonwinch.Endpoint {
	newest := map[string]damsonwinch.Endpoint{}
	var ids []string
	for _, e := range w.endpoints {
		if w.now.Before(e.bornAt.Add(e.entryLag)) {
			continue
		}
		if _, known := newest[e.info.Life.ID]; !known {
			ids = append(ids, e.info.Life.ID)
		}
		newest[e.info.Life.ID] = e.info
	}
	var found []damsonwinch.Endpoint
	for _, id := range ids {
		entry := newest[id]
		if w.sabotage.idsAlone {
			entry.Life.StartedUnixMs = 0
		}
		found = append(found, entry)
	}
	return found
}

// moreCrashes is how many endpoints of a run end beside its other mishaps. With more of them
// sound jobs come to nothing because of that alone.
const moreCrashes = 2

// playLives plays one run of a seed in which endpoints end and start again under the ID that
// they had, many of them soon.
func playLives(seed uint64, broken sabotage) *world {
	w := newWorld(seed, broken)
	w.reborn = true
	w.resets, w.attentive = seed%2 == 0, seed%3 == 0
	w.begin(usualJobs)
	for range moreCrashes {
		w.after(w.between(0, simTrouble), func() { w.crash(w.anyBox()) })
	}
	w.finish()
	return w
}

// failedLives are kept with what they found.
var failedLives = []uint64{}

// TestLivesUnderOneID plays seeds in which endpoints start again under the ID that they had:
// orders meant for the earlier life are carried out by the later one, entries are older than the
// life that answers, and lives come and go between two looks.
func TestLivesUnderOneID(t *testing.T) {
	starts := 0
	for _, seed := range append(failedLives, freshSeeds(600)...) {
		w := playLives(seed, sabotage{})
		starts += w.rules.starts
		if w.rules.broken != "" {
			t.Fatalf("seed %d: %s\n%s", seed, w.rules.broken, strings.Join(w.log, "\n"))
		}
	}
	t.Logf("%d starts", starts)
}

// TestLivesNeedTheirBirth: by the ID alone lives are taken for one, and some seed finds that.
func TestLivesNeedTheirBirth(t *testing.T) {
	for seed := uint64(1); seed < 2000; seed++ {
		if found := playLives(seed, sabotage{idsAlone: true}).rules.broken; found != "" {
			t.Logf("seed %d: %s", seed, found)
			return
		}
	}
	t.Fatal("no seed found that the mechanism is missing")
}
