package fold

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

// TestScripts runs the scripts under testdata: each "record" block is one record
// of the log, with a proposal a line, and prints what became of each.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		state := emptyState(t)
		numbers := map[string]int{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "record":
				next, told := foldScript(t, state, d, numbers)
				state = next
				return told
			case "boxes":
				return boxTable(state)
			case "senders":
				return senderTable(state)
			case "snapshot":
				return snapshotTwice(t, state)
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}

// foldScript folds one scripted record. Its arguments are at, node, inc and, for
// a late copy, number.
func foldScript(t *testing.T, state State, d *datadriven.TestData, numbers map[string]int) (State, string) {
	batch := wire.Batch{Id: d.Pos, Node: "a", Incarnation: 1}
	at := state.LogTimeMs() + 1000
	for _, arg := range d.CmdArgs {
		switch arg.Key {
		case "node":
			batch.Node = arg.Vals[0]
		case "inc":
			batch.Incarnation = number(t, arg.Vals[0])
		case "at":
			at = number(t, arg.Vals[0])
		case "number":
			batch.Number = number(t, arg.Vals[0])
		}
	}
	writer := fmt.Sprint(batch.Node, batch.Incarnation)
	if batch.Number == 0 {
		numbers[writer]++
		batch.Number = numbers[writer]
	}
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		batch.Proposals = append(batch.Proposals, proposalOf(t, state, line))
	}
	data, err := json.Marshal(batch)
	assert.NilError(t, err)
	next, verdicts := state.Apply(wire.Entry{Offset: state.Offset(), At: at, Data: string(data)})
	var told strings.Builder
	for _, verdict := range verdicts {
		word := "refused"
		if verdict.Accepted {
			word = "accepted"
		}
		fmt.Fprintf(&told, "%s: %s\n", word, verdict.Reason)
	}
	return next, told.String()
}

func number(t *testing.T, text string) int {
	value, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return value
}

// proposalOf reads a line such as "drain b1 pool=office maintain". The epoch is
// the box's present one unless the line names another.
func proposalOf(t *testing.T, state State, line string) wire.Proposal {
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
		return number(t, values[key])
	}
	proposal := wire.Proposal{Kind: wire.Kind(words[0]), Author: values["by"]}
	switch proposal.Kind {
	case wire.KindEdit:
		proposal.Edit = &wire.Edit{Base: get("base"), Cells: cellsOf(words[1:])}
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

// cellsOf reads words such as "payslips.floor=8"; "deployment." is the line
// without a service.
func cellsOf(words []string) []wire.Cell {
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

func boxTable(state State) string {
	var told strings.Builder
	for _, box := range state.Boxes() {
		fmt.Fprintf(&told, "%s pool=%s %s %s epoch=%d sender=%s target=%s held=%d\n",
			box.Info.Name, box.Pool, box.Phase, box.Health, box.Epoch, box.Sender, box.Target, box.HeldUntil)
	}
	return told.String()
}

func senderTable(state State) string {
	var told strings.Builder
	for _, sender := range state.Senders() {
		fmt.Fprintf(&told, "%s hall=%s seq=%d boxes=%d leaving=%v\n", sender.Key, sender.Zone, sender.Seq, sender.Boxes, sender.Leaving)
	}
	return told.String()
}

// snapshotTwice restores a snapshot and compares.
func snapshotTwice(t *testing.T, state State) string {
	first, err := state.Snapshot()
	assert.NilError(t, err)
	restored, err := emptyState(t).Restore(first)
	assert.NilError(t, err)
	second, err := restored.Snapshot()
	assert.NilError(t, err)
	assert.Equal(t, first.Hash, second.Hash)
	for _, pool := range append(state.Table().Deployment().Pools, FreePool) {
		assert.Equal(t, fmt.Sprint(state.Pool(pool)), fmt.Sprint(restored.Pool(pool)))
	}
	return "the same\n"
}
