package cell_test

import (
	"encoding/json"
	"strings"
	"testing"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// mixUpSpecs returns the records with the text of each job replaced by that of the first one.
func (w *world) mixUpSpecs(records []damsonwinch.Record) []damsonwinch.Record {
	var edited []damsonwinch.Record
	for _, record := range records {
		var accepted wire.AcceptedJob
		if strings.HasSuffix(record.Key, "/spec") && json.Unmarshal(record.Value, &accepted) == nil {
			accepted.Spec.Text = w.clients[0].spec.Text
			text, err := json.Marshal(accepted)
			if err == nil {
				record.Value = text
			}
		}
		edited = append(edited, record)
	}
	return edited
}

// TestRulesDetectMixedUpSpecs makes sure that a task which is started with the text of another job is found.
func TestRulesDetectMixedUpSpecs(t *testing.T) {
	expectViolation(t, "UNASKED: ", firstSeeds(99), mutation{mixUpSpecs: true}, simulateFaults)
}
