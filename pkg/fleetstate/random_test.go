package fleetstate

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/check"
	"damsonwinch/pkg/table"
	"damsonwinch/pkg/wire"
)

const (
	randomSeeds   = 40
	randomRecords = 400
	randomBoxes   = 24
)

// TestRandomProposalsKeepInvariants applies random records as a mix of correct,
// late, stale and faulty writers might append them.
func TestRandomProposalsKeepInvariants(t *testing.T) {
	accepted := map[wire.Kind]int{}
	for seed := range uint64(randomSeeds) {
		random := rand.New(rand.NewPCG(seed, seed))
		state := randomFleet(t)
		for range randomRecords {
			before := state
			batch := randomBatch(random, state)
			data, err := json.Marshal(batch)
			assert.NilError(t, err)
			record := wire.Entry{Offset: state.Offset(), At: state.LogTimeMs() + random.IntN(2000), Data: string(data)}
			next, results := state.Apply(record)
			state = next
			for _, result := range results {
				if result.Accepted {
					accepted[result.Proposal.Kind]++
				}
			}
			checkState(t, seed, before, state, results)
		}
		checkRestore(t, state)
	}
	for _, kind := range []wire.Kind{wire.KindDrain, wire.KindEmpty, wire.KindBack, wire.KindRelease, wire.KindHandover, wire.KindEdit, wire.KindWithdraw} {
		assert.Assert(t, accepted[kind] > 0, "no proposal of kind %s was accepted, so the test does not cover it", kind)
	}
}

// randomFleet returns a state with randomBoxes boxes in two zones, and with two
// pools of one service each.
func randomFleet(t *testing.T) State {
	state := emptyState(t)
	var boxes []wire.BoxInfo
	for number := range randomBoxes {
		boxes = append(boxes, wire.BoxInfo{Name: fmt.Sprintf("b%02d", number), Hall: fmt.Sprintf("h%d", number%2), Rack: fmt.Sprintf("r%d", number/4), Slots: 4 + number%3})
	}
	cells := parseCells([]string{
		`deployment.pools=["one","two"]`, "deployment.moves=1", "deployment.rollout=1", "deployment.buffer=1",
		`s.pool="one"`, "s.weight=1", "s.floor=8", "s.most=60", "s.spare=2", "s.down=4", "s.queue=5", "s.deadline_ms=900", "s.run_ms=500", "s.repeatable=true",
		`u.pool="two"`, "u.weight=1", "u.floor=6", "u.most=60", "u.spare=0", "u.down=3", "u.queue=5", "u.deadline_ms=900", "u.run_ms=500", "u.repeatable=false",
	})
	batch := wire.Batch{Id: "0", Node: "n0", Incarnation: 1, Number: 1, Proposals: []wire.Proposal{
		{Kind: wire.KindEnroll, Boxes: boxes}, {Kind: wire.KindEdit, Author: "ana", Edit: &wire.Edit{Cells: cells}},
	}}
	data, err := json.Marshal(batch)
	assert.NilError(t, err)
	state, _ = state.Apply(wire.Entry{Offset: 0, At: 1, Data: string(data)})
	assert.Equal(t, state.Table().Version(), 1)
	return state
}

// randomBatch returns the next batch of one of four keepers. Now and then the
// keeper has a new incarnation, or the batch has a number that was used before.
func randomBatch(random *rand.Rand, state State) wire.Batch {
	node := random.IntN(4)
	last, _ := state.lastBatches.Get(fmt.Sprintf("n%d", node))
	batch := wire.Batch{Id: "r", Node: fmt.Sprintf("n%d", node), Incarnation: max(1, last.Incarnation+random.IntN(20)/19), Number: last.Number + 1 - random.IntN(10)/9}
	for range 1 + random.IntN(4) {
		batch.Proposals = append(batch.Proposals, randomProposal(random, state, batch, node))
	}
	return batch
}

// randomProposal returns a proposal of a random kind, which may be outdated. node
// is the number of the keeper that writes the batch.
func randomProposal(random *rand.Rand, state State, batch wire.Batch, node int) wire.Proposal {
	boxes := state.Boxes()
	box := boxes[random.IntN(len(boxes))]
	change := &wire.BoxChange{Box: box.Info.Name, Epoch: box.Epoch - random.IntN(8)/7, Node: box.Sender.Node, Entry: box.Sender.Incarnation}
	kinds := []wire.Kind{
		wire.KindDrain, wire.KindDrain, wire.KindEmpty, wire.KindEmpty, wire.KindWithdraw, wire.KindCarry, wire.KindBack,
		wire.KindHealth, wire.KindAssign, wire.KindAssign, wire.KindHandover, wire.KindRenew, wire.KindRenew, wire.KindRelease, wire.KindEdit,
	}
	kind := kinds[random.IntN(len(kinds))]
	sender := fmt.Sprintf("n%d", random.IntN(4))
	switch kind {
	case wire.KindDrain:
		change.Pool = []string{"", "one", "two", "one", "two", FreePool}[random.IntN(6)]
		change.Maintain = random.IntN(3) == 0
	case wire.KindAssign:
		change.Node, change.Entry = sender, 1+random.IntN(2)
	case wire.KindHandover:
		change.ToNode, change.ToEntry = sender, 1+random.IntN(2)
	case wire.KindHealth:
		change.Health = []wire.Health{wire.HealthUp, wire.HealthUp, wire.HealthUp, wire.HealthDown, wire.HealthGone}[random.IntN(5)]
	case wire.KindRenew:
		seq := 1 + state.Offset()
		return wire.Proposal{Kind: kind, Members: []wire.Member{{Node: batch.Node, Hall: fmt.Sprintf("h%d", node%2), Keeper: batch.Incarnation, Entry: 1 + random.IntN(2), Seq: seq, Folded: max(0, state.Offset()-random.IntN(20))}}}
	case wire.KindRelease:
		lost, _ := state.Sender(SenderKey{Node: sender, Incarnation: 1})
		how := []wire.ReleaseHow{wire.ReleaseHowTime, wire.ReleaseHowEnded, wire.ReleaseHowList}[random.IntN(3)]
		return wire.Proposal{Kind: kind, Release: &wire.Release{Node: sender, Entry: 1, Seq: lost.Seq, How: how}}
	case wire.KindEdit:
		cell := wire.Cell{Row: "s", Column: "floor", Value: fmt.Sprint(random.IntN(30))}
		return wire.Proposal{Kind: kind, Author: "rui", Edit: &wire.Edit{Base: max(0, state.Table().Version()-random.IntN(2)), Cells: []wire.Cell{cell}}}
	}
	return wire.Proposal{Kind: kind, Change: change}
}

// checkState recomputes the pool summaries and the slots from the boxes, and
// compares them with those of the state. It also checks that the table's version
// never decreases, and checks the moves of boxes.
func checkState(t *testing.T, seed uint64, before, state State, results []Result) {
	t.Helper()
	total, slots := 0, 0
	for _, pool := range []string{"one", "two", FreePool} {
		want := Pool{}
		for _, box := range state.Boxes() {
			if box.Pool == pool {
				want = want.with(box)
			}
		}
		got := state.Pool(pool)
		assert.Equal(t, fmt.Sprint(got), fmt.Sprint(want), "seed %d, record %d: pool %s", seed, state.Offset()-1, pool)
		total += got.Boxes
	}
	assert.Equal(t, total, randomBoxes, "seed %d: a box is in two pools or in none", seed)
	for _, box := range state.Boxes() {
		slots += box.capacity()
	}
	assert.Equal(t, state.Slots(), slots, "seed %d", seed)
	assert.Assert(t, state.Table().Version() >= before.Table().Version(), "seed %d: the table version decreased", seed)
	checkMoves(t, seed, before, state, results)
}

// checkMoves checks that a box leaves its pool only after its sender has reported
// it empty, and that the pool's budget holds after a record that only drains one
// box.
func checkMoves(t *testing.T, seed uint64, before, state State, results []Result) {
	t.Helper()
	for _, box := range state.Boxes() {
		oldBox, _ := before.Box(box.Info.Name)
		if oldBox.Pool == box.Pool || oldBox.Pool == FreePool {
			continue
		}
		reportedEmpty := false
		for _, result := range results {
			reportedEmpty = reportedEmpty || (result.Accepted && result.Proposal.Kind == wire.KindEmpty && result.Subject == box.Info.Name)
		}
		assert.Assert(t, reportedEmpty && oldBox.Phase == Draining, "seed %d: %s moved from %s to %s without being reported empty", seed, box.Info.Name, oldBox.Pool, box.Pool)
	}
	if len(results) != 1 || !results[0].Accepted || results[0].Proposal.Kind != wire.KindDrain {
		return
	}
	drained, _ := before.Box(results[0].Subject)
	if drained.Usable() && drained.Pool != FreePool {
		assert.Assert(t, state.Headroom(drained.Pool) >= 0, "seed %d, record %d: the drain violated the budget", seed, state.Offset()-1)
	}
}

// FuzzApply checks that no record, however malformed, makes Apply panic or fail to
// move on to the next offset.
func FuzzApply(f *testing.F) {
	for _, kind := range []wire.Kind{
		wire.KindEdit, wire.KindEnroll, wire.KindRenew, wire.KindRelease, wire.KindAssign, wire.KindHandover, wire.KindDrain,
		wire.KindWithdraw, wire.KindEmpty, wire.KindCarry, wire.KindBack, wire.KindHealth, wire.KindCheckpoint, "unknown",
	} {
		f.Add(fmt.Sprintf(`{"id":"1","node":"a","proposals":[{"kind":%q}]}`, kind))
		f.Add(fmt.Sprintf(`{"id":"1","node":"a","proposals":[{"kind":%q,"change":{"box":"b","epoch":-1},"edit":{"base":0,"cells":[{"row":"","column":"pools","value":"["}]},"members":[{}],"boxes":[{"name":"b","hall":"h","slots":1}],"release":{}}]}`, kind))
	}
	f.Add("")
	f.Add(`{"proposals":null}`)
	checker, err := check.New()
	assert.NilError(f, err)
	f.Fuzz(func(t *testing.T, data string) {
		state := New(table.New(checker))
		for range 2 {
			next, _ := state.Apply(wire.Entry{Offset: state.Offset(), At: 5, Data: data})
			assert.Equal(t, next.Offset(), state.Offset()+1)
			state = next
		}
		_, err := state.Snapshot()
		assert.NilError(t, err)
	})
}
