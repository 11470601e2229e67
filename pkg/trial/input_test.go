package trial

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/entry"
	"damsonwinch/pkg/fakes"
	"damsonwinch/pkg/wire"
)

// TestInvalidRequestIsRefusedWithReason: each invalid request gets its own status, the
// outcome "not-run" and a reason that names what is wrong.
func TestInvalidRequestIsRefusedWithReason(t *testing.T) {
	f := newFixture(t, smallUser())
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
		{"unknown class", "view", "{}", map[string]string{entry.HeaderClass: "soon"}, http.StatusBadRequest, "urgent, normal, same-day"},
		{"deadline is no number", "view", "{}", map[string]string{entry.HeaderDeadline: "1s"}, http.StatusBadRequest, "from 1 to 3000"},
		{"deadline too long", "view", "{}", map[string]string{entry.HeaderDeadline: "3001"}, http.StatusBadRequest, "from 1 to 3000"},
		{"size zero", "view", "{}", map[string]string{entry.HeaderSize: "0"}, http.StatusBadRequest, entry.HeaderSize},
		{"can never fit", "view", "{}", map[string]string{entry.HeaderSize: "9"}, http.StatusUnprocessableEntity, "largest box"},
		{"key too long", "pay", "{}", map[string]string{entry.HeaderIdempotencyKey: strings.Repeat("k", 201)}, http.StatusBadRequest, "too long"},
	} {
		t.Run(row.name, func(t *testing.T) {
			got := f.callWithBody(row.service, []byte(row.body), row.header, "")
			assert.Equal(t, got.status, row.status, got.body)
			assert.Equal(t, got.outcome, string(wire.OutcomeNotRun))
			var refusal wire.Refusal
			assert.NilError(t, json.Unmarshal([]byte(got.body), &refusal))
			assert.Equal(t, refusal.Outcome, wire.OutcomeNotRun)
			assert.Assert(t, strings.Contains(refusal.Reason, row.reason), refusal.Reason)
		})
	}
}

// TestRequestOverQuotaIsRefusedWithRetryAfter: a request over its customer's quota is
// refused and the response says when to try again. It runs once the quota is free.
func TestRequestOverQuotaIsRefusedWithRetryAfter(t *testing.T) {
	f := newFixture(t, smallUser())
	customer := map[string]string{entry.HeaderCustomer: "small"}
	first := make(chan reply, 1)
	long := fakes.Work{Nonce: f.nonce(), WorkMs: 500}
	f.runInBackground(func() { first <- f.call("view", long, customer) })
	f.waitFor("the first request runs", func() bool { return f.cluster.Observations.Runs(long.Nonce) == 1 })

	second := f.call("view", fakes.Work{Nonce: f.nonce(), WorkMs: 1}, customer)

	assert.Equal(t, second.status, http.StatusTooManyRequests, second.body)
	assert.Equal(t, second.outcome, string(wire.OutcomeNotRun))
	assert.Assert(t, second.retryAfter != "")
	assert.Equal(t, (<-first).status, http.StatusOK)
	again := f.call("view", fakes.Work{Nonce: f.nonce(), WorkMs: 1}, customer)
	assert.Equal(t, again.status, http.StatusOK, again.body)
}

// TestOversizedResponseIsAnError: the client gets an error that names the limit, not a
// truncated response.
func TestOversizedResponseIsAnError(t *testing.T) {
	f := newFixture(t, smallUser())
	got := f.call("view", fakes.Work{Nonce: f.nonce(), WorkMs: 1, Padding: strings.Repeat("x", 3000)}, nil)
	assert.Equal(t, got.status, http.StatusOK, got.body)
	f.setFault(fakes.FaultOversizedBody, allBoxes)
	got = f.call("pay", fakes.Work{Nonce: f.nonce(), WorkMs: 1}, nil)
	assert.Equal(t, got.status, http.StatusBadGateway, fmt.Sprint(len(got.body)))
	assert.Equal(t, got.outcome, string(wire.OutcomeUnknown))
	assert.Assert(t, strings.Contains(got.body, "larger than"), got.body)
}
