package trial

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/front"
	"damsonwinch/pkg/standin"
	"damsonwinch/pkg/wire"
)

// TestBadInput gives each wrong request its status, its outcome and a reason.
func TestBadInput(t *testing.T) {
	s := newFixture(t, smallUser())
	for _, row := range []struct {
		name    string
		service string
		body    string
		header  map[string]string
		status  int
		reason  string
	}{
		{"unknown service", "none", "{}", nil, http.StatusNotFound, "not in the table"},
		{"too large", "view", strings.Repeat("x", 5000), nil, http.StatusRequestEntityTooLarge, "4096 bytes"},
		{"unknown class", "view", "{}", map[string]string{front.HeaderClass: "soon"}, http.StatusBadRequest, "urgent, normal, same-day"},
		{"deadline is no number", "view", "{}", map[string]string{front.HeaderDeadline: "1s"}, http.StatusBadRequest, "from 1 to 3000"},
		{"deadline too long", "view", "{}", map[string]string{front.HeaderDeadline: "3001"}, http.StatusBadRequest, "from 1 to 3000"},
		{"size zero", "view", "{}", map[string]string{front.HeaderSize: "0"}, http.StatusBadRequest, front.HeaderSize},
		{"can never fit", "view", "{}", map[string]string{front.HeaderSize: "9"}, http.StatusUnprocessableEntity, "largest box"},
		{"key too long", "pay", "{}", map[string]string{front.HeaderIdempotencyKey: strings.Repeat("k", 201)}, http.StatusBadRequest, "too long"},
	} {
		t.Run(row.name, func(t *testing.T) {
			got := s.callWithBody(row.service, []byte(row.body), row.header, "")
			assert.Equal(t, got.status, row.status, got.body)
			assert.Equal(t, got.outcome, string(wire.OutcomeNotRun))
			var refusal wire.Refusal
			assert.NilError(t, json.Unmarshal([]byte(got.body), &refusal))
			assert.Equal(t, refusal.Outcome, wire.OutcomeNotRun)
			assert.Assert(t, strings.Contains(refusal.Reason, row.reason), refusal.Reason)
		})
	}
}

// TestQuotaAndQueue refuses what is over a team's quota with a time to come back.
func TestQuotaAndQueue(t *testing.T) {
	s := newFixture(t, smallUser())
	team := map[string]string{front.HeaderCustomer: "small"}
	first := make(chan reply, 1)
	long := standin.Work{Nonce: s.nonce(), WorkMs: 500}
	s.runInBackground(func() { first <- s.call("view", long, team) })
	s.waitFor("the first request runs", func() bool { return s.cluster.Observations.Runs(long.Nonce) == 1 })

	second := s.call("view", standin.Work{Nonce: s.nonce(), WorkMs: 1}, team)

	assert.Equal(t, second.status, http.StatusTooManyRequests, second.body)
	assert.Equal(t, second.outcome, string(wire.OutcomeNotRun))
	assert.Assert(t, second.retryAfter != "")
	assert.Equal(t, (<-first).status, http.StatusOK)
	again := s.call("view", standin.Work{Nonce: s.nonce(), WorkMs: 1}, team)
	assert.Equal(t, again.status, http.StatusOK, again.body)
}

// TestALargeAnswerIsAClearError and never a part of the answer.
func TestALargeAnswerIsAClearError(t *testing.T) {
	s := newFixture(t, smallUser())
	got := s.call("view", standin.Work{Nonce: s.nonce(), WorkMs: 1, Padding: strings.Repeat("x", 3000)}, nil)
	assert.Equal(t, got.status, http.StatusOK, got.body)
	s.setFault(standin.FaultOversizedBody, allBoxes)
	got = s.call("pay", standin.Work{Nonce: s.nonce(), WorkMs: 1}, nil)
	assert.Equal(t, got.status, http.StatusBadGateway, fmt.Sprint(len(got.body)))
	assert.Equal(t, got.outcome, string(wire.OutcomeUnknown))
	assert.Assert(t, strings.Contains(got.body, "larger than"), got.body)
}
