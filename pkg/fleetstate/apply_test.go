package fleetstate

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"damsonwinch/pkg/check"
	"damsonwinch/pkg/table"
	"damsonwinch/pkg/wire"
)

func emptyState(t testing.TB) State {
	checker, err := check.New()
	assert.NilError(t, err)
	return New(table.New(checker))
}

// TestScriptedRecords runs the scripts in testdata. Each "record" block is one
// record of the log with one proposal on each line; the output says for each
// proposal whether it was accepted, and why.
func TestScriptedRecords(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		state := emptyState(t)
		lastNumbers := map[string]int{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "record":
				next, output := applyScript(t, state, d, lastNumbers)
				state = next
				return output
			case "boxes":
				return formatBoxes(state)
			case "senders":
				return formatSenders(state)
			case "snapshot":
				return checkRestore(t, state)
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}

// applyScript applies one scripted record and returns the state after it and the
// text of its results. A record may have these arguments: at (the log time), node
// and inc (the keeper that writes the batch and its incarnation) and number (of the
// batch, for duplicates and late batches). lastNumbers holds the newest number of
// each keeper incarnation.
func applyScript(t *testing.T, state State, d *datadriven.TestData, lastNumbers map[string]int) (State, string) {
	batch := wire.Batch{Id: d.Pos, Node: "a", Incarnation: 1}
	at := state.LogTimeMs() + 1000
	for _, arg := range d.CmdArgs {
		switch arg.Key {
		case "node":
			batch.Node = arg.Vals[0]
		case "inc":
			batch.Incarnation = parseInt(t, arg.Vals[0])
		case "at":
			at = parseInt(t, arg.Vals[0])
		case "number":
			batch.Number = parseInt(t, arg.Vals[0])
		}
	}
	writer := fmt.Sprint(batch.Node, batch.Incarnation)
	if batch.Number == 0 {
		lastNumbers[writer]++
		batch.Number = lastNumbers[writer]
	}
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		batch.Proposals = append(batch.Proposals, parseProposal(t, state, line))
	}
	data, err := json.Marshal(batch)
	assert.NilError(t, err)
	next, results := state.Apply(wire.Entry{Offset: state.Offset(), At: at, Data: string(data)})
	var output strings.Builder
	for _, result := range results {
		outcome := "refused"
		if result.Accepted {
			outcome = "accepted"
		}
		fmt.Fprintf(&output, "%s: %s\n", outcome, result.Reason)
	}
	return next, output.String()
}

func parseInt(t *testing.T, text string) int {
	value, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return value
}

// parseProposal parses a line such as "drain b1 pool=office maintain". The epoch
// is the box's present one unless the line sets another.
func parseProposal(t *testing.T, state State, line string) wire.Proposal {
	words := strings.Fields(line)
	values := map[string]string{}
	for _, word := range words[1:] {
		key, value, _ := strings.Cut(word, "=")
		values[key] = value
	}
	get := func(key string) int {
		if values[key] == "" {
			return 0
		}
		return parseInt(t, values[key])
	}
	proposal := wire.Proposal{Kind: wire.Kind(words[0]), Author: values["by"]}
	switch proposal.Kind {
	case wire.KindEdit:
		proposal.Edit = &wire.Edit{Base: get("base"), Cells: parseCells(words[1:])}
	case wire.KindEnroll:
		proposal.Boxes = []wire.BoxInfo{{Name: words[1], Hall: values["hall"], Rack: values["rack"], Address: "10.0.0.1:80", Slots: get("slots")}}
	case wire.KindRenew:
		proposal.Members = []wire.Member{{Node: words[1], Hall: values["hall"], Keeper: get("keeper"), Entry: get("entry"), Seq: get("seq"), Folded: get("folded")}}
	case wire.KindRelease:
		proposal.Release = &wire.Release{Node: words[1], Entry: get("entry"), Seq: get("seq"), How: wire.ReleaseHow(values["how"])}
	default:
		box, _ := state.Box(words[1])
		_, maintain := values["maintain"]
		change := &wire.BoxChange{Box: words[1], Epoch: box.Epoch, Pool: values["pool"], Maintain: maintain, Node: values["node"],
			Entry: get("entry"), ToNode: values["to"], ToEntry: get("toentry"), Health: wire.Health(values["health"])}
		if values["epoch"] != "" {
			change.Epoch = get("epoch")
		}
		proposal.Change = change
	}
	return proposal
}

// parseCells parses words such as "payslips.floor=8" and ignores others. The row
// "deployment" is the table's row without a service.
func parseCells(words []string) []wire.Cell {
	var cells []wire.Cell
	for _, word := range words {
		place, value, _ := strings.Cut(word, "=")
		row, column, isCell := strings.Cut(place, ".")
		if !isCell {
			continue
		}
		if row == table.DeploymentName {
			row = ""
		}
		cells = append(cells, wire.Cell{Row: row, Column: column, Value: value})
	}
	return cells
}

func formatBoxes(state State) string {
	var output strings.Builder
	for _, box := range state.Boxes() {
		fmt.Fprintf(&output, "%s pool=%s %s %s epoch=%d sender=%s target=%s held=%d\n",
			box.Info.Name, box.Pool, box.Phase, box.Health, box.Epoch, box.Sender, box.Target, box.HeldUntil)
	}
	return output.String()
}

func formatSenders(state State) string {
	var output strings.Builder
	for _, sender := range state.Senders() {
		fmt.Fprintf(&output, "%s hall=%s seq=%d boxes=%d leaving=%v\n", sender.Key, sender.Zone, sender.Seq, sender.Boxes, sender.Leaving)
	}
	return output.String()
}

// checkRestore restores a snapshot of the state and checks that the restored
// state has the same snapshot and the same pool summaries.
func checkRestore(t *testing.T, state State) string {
	snapshot, err := state.Snapshot()
	assert.NilError(t, err)
	restored, err := emptyState(t).Restore(snapshot)
	assert.NilError(t, err)
	restoredSnapshot, err := restored.Snapshot()
	assert.NilError(t, err)
	assert.Equal(t, snapshot.Hash, restoredSnapshot.Hash)
	for _, pool := range append(state.Table().Deployment().Pools, FreePool) {
		assert.Equal(t, fmt.Sprint(state.Pool(pool)), fmt.Sprint(restored.Pool(pool)))
	}
	return "the same\n"
}
