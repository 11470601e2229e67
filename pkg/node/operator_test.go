package node

import (
	"testing"

	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/metrics"
)

// A record of the operator that can't be decoded remains the newest of its key, so each snapshot holds it. The log must
// not have a line for it each time, but one for each new version of it.
func TestInvalidOperatorRecordIsReportedOnce(t *testing.T) {
	logger, lines := test.NewNullLogger()
	n := &Node{deps: Deps{Logger: logger, Metrics: metrics.New(), Platform: Platform{
		DecodeOperator: func(damsonwinch.Record) (damsonwinch.OperatorRecord, error) {
			return damsonwinch.OperatorRecord{}, errInvalid
		},
	}}}
	n.runners.Store(&map[string]cellRunner{})
	for _, offset := range []int{3, 3, 3, 8, 8} {
		n.applyOperatorRecords(operatorRecords{snapshot: true, records: []damsonwinch.Record{{Key: "wave/1", Offset: offset}}})
	}
	assert.Equal(t, len(lines.AllEntries()), 2)
	assert.Equal(t, n.deps.Metrics.Count("operator_records_refused"), 2)
}
