package front

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/wire"
)

// TestALaterRefusalDoesNotHideAnEarlierSend: a repeatable request was sent, broke
// off, and its second try was refused. It may have run.
func TestALaterRefusalDoesNotHideAnEarlierSend(t *testing.T) {
	refused := Outcome{Outcome: wire.OutcomeNotRun, Status: http.StatusUnprocessableEntity, Reason: "refused elsewhere"}
	sent, unsent := &trip{sent: true}, &trip{}

	assert.Equal(t, sent.honest(refused).Outcome, wire.OutcomeUnknown)
	assert.Equal(t, sent.honest(refused).Status, http.StatusBadGateway)
	assert.Equal(t, unsent.honest(refused).Outcome, wire.OutcomeNotRun)
	answered := Outcome{Outcome: wire.OutcomeAnswered, Status: http.StatusOK}
	assert.Equal(t, sent.honest(answered).Outcome, wire.OutcomeAnswered)
}
