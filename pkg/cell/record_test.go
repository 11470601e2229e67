package cell_test

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/cell"
	"damsonwinch/pkg/wire"
)

// TestLoadRejectsInvalidRecords checks that an owner does not load an invalid record and that the
// error says what is wrong with it. A task with a wrong state could run twice.
func TestLoadRejectsInvalidRecords(t *testing.T) {
	for name, test := range map[string]struct{ record, want string }{
		"row too short":         {`{"state":"running","tasks":[[0,0,1]]}`, "3 columns"},
		"incomplete attempt":    {`{"state":"running","tasks":[[0,0,1,1,0,0,1]]}`, "7 columns"},
		"missing endpoint":      {`{"state":"running","tasks":[[0,0,1,1,0,0,1,1]],"endpoints":["e"]}`, "endpoint 1 of 1"},
		"missing task":          {`{"state":"running","tasks":[[0,0,7,1,0,0]]}`, "no task"},
		"missing round":         {`{"state":"running","tasks":[[1000000000,0,0,1,0,0]]}`, "round 1000000000 of 1"},
		"range too long":        {`{"state":"running","tasks":[[0,0,1,2]]}`, "no task with round, phase and index [0 1 0]"},
		"range of no round":     {`{"state":"running","tasks":[[1,0,0,1]]}`, "round 1 of 1"},
		"too many rounds":       {`{"state":"running","tasks":[[0,2]]}`, "invalid range of 2 rounds"},
		"task after a range":    {`{"state":"running","tasks":[[0,0,0,1],[0,0,1,1,0,0]]}`, "row 1: invalid row with 6 columns"},
		"task of a done round":  {`{"state":"running","tasks":[[0,0,1,1,0,0],[0,1]]}`, "no task"},
		"checkpoint of no task": {`{"state":"running","saved":[{"row":3,"checkpoint":"x"}]}`, "checkpoint for row 3"},
		"no specification":      {``, "no specification"},
	} {
		t.Run(name, func(t *testing.T) {
			accepted, err := json.Marshal(wire.AcceptedJob{Queue: "queue", Spec: simSpec(wire.Phase{Count: 2, Cpu: 1000})})
			assert.NilError(t, err)
			records := []damsonwinch.Record{{Key: "j/spec", Value: accepted}, {Key: "j", Value: []byte(test.record)}}
			if test.record == "" {
				records = []damsonwinch.Record{{Key: "j", Value: []byte(`{"state":"running"}`)}}
			}
			err = cell.New(simOptions(mutation{}), 1).Load(time.UnixMilli(1_700_000_000_000), records)
			assert.ErrorContains(t, err, test.want)
		})
	}
}
