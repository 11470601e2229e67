package trial

import (
	"context"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/entry"
	"damsonwinch/pkg/fakes"
	"damsonwinch/pkg/settings"
)

// TestKeySentToTwoEntriesAtOnceRunsOnce sends each of 30 keys to two entries at the
// same time. One request gets the response and the other a conflict.
func TestKeySentToTwoEntriesAtOnceRunsOnce(t *testing.T) {
	user := smallUser()
	user.Fleet.Halls = []settings.Hall{newZone("north", 5, 1), newZone("south", 5, 1)}
	f := newFixture(t, user)
	const keys = 30
	for range keys {
		nonce := f.nonce()
		var both errgroup.Group
		responses := make([]clientResponse, 2)
		for i, node := range f.cluster.Nodes {
			both.Go(func() error {
				responses[i] = f.callNode(node, "pay", mustJSON(t, fakes.Work{Nonce: nonce, WorkMs: 1}), map[string]string{entry.HeaderIdempotencyKey: nonce}, nonce)
				return nil
			})
		}
		assert.NilError(t, both.Wait())
		assert.Equal(t, f.cluster.Observations.Runs(nonce), 1, "%+v", responses)
		statuses := []int{responses[0].status, responses[1].status}
		assert.Assert(t, statuses[0] == http.StatusOK || statuses[1] == http.StatusOK, "%+v", responses)
		assert.Assert(t, statuses[0] == http.StatusConflict || statuses[1] == http.StatusConflict, "%+v", responses)
	}
}

// TestKeyedRequestIsNotRunWhileLogIsDown: without the log the key can't be claimed. A
// second request with the key runs once the log is back.
func TestKeyedRequestIsNotRunWhileLogIsDown(t *testing.T) {
	f := newFixture(t, smallUser())
	header := map[string]string{entry.HeaderIdempotencyKey: "k"}
	work := fakes.Work{Nonce: f.nonce(), WorkMs: 1}
	f.cluster.Platform.Log.SetFaults(fakes.LogFaults{Down: true})

	first := f.call("pay", work, header)

	assert.Equal(t, first.outcome, "not-run")
	assert.Equal(t, first.status, http.StatusServiceUnavailable)
	assert.Assert(t, first.retryAfter != "")
	assert.Equal(t, f.cluster.Observations.Runs(work.Nonce), 0)
	f.cluster.Platform.Log.SetFaults(fakes.LogFaults{})
	second := f.call("pay", work, header)
	assert.Equal(t, second.status, http.StatusOK, second.body)
	assert.Equal(t, f.cluster.Observations.Runs(work.Nonce), 1)
}

// TestLateClaimNeitherRunsRequestNorBlocksKey: the claim of a key reaches the log after
// the client got the outcome "not-run". The request must not be sent to an endpoint
// then, and the entry must release the key.
func TestLateClaimNeitherRunsRequestNorBlocksKey(t *testing.T) {
	f := newFixture(t, smallUser())
	header := map[string]string{entry.HeaderIdempotencyKey: "k"}
	work := fakes.Work{Nonce: f.nonce(), WorkMs: 1}
	f.cluster.Platform.Log.SetFaults(fakes.LogFaults{LateRate: 1, LateDelay: 4 * time.Second})
	first := f.call("pay", work, header)
	assert.Equal(t, first.outcome, "not-run")
	f.cluster.Platform.Log.SetFaults(fakes.LogFaults{})

	bothInLog := f.run.waitUntil(context.Background(), 20*time.Second, func() bool {
		return len(f.cluster.Platform.Log.Peek(damsonwinch.StreamClaims, 0, 10)) >= 2
	})

	assert.Assert(t, bothInLog, "the late claim and its release did not reach the log")
	assert.Equal(t, f.cluster.Observations.Runs(work.Nonce), 0)
	second := f.call("pay", work, header)
	assert.Equal(t, second.status, http.StatusOK, second.body)
	assert.Equal(t, f.cluster.Observations.Runs(work.Nonce), 1)
}

// TestRequestRunsIfResponseToItsClaimIsLost: the log takes the claim but its response is
// lost. The entry reads the claim back from the log.
func TestRequestRunsIfResponseToItsClaimIsLost(t *testing.T) {
	f := newFixture(t, smallUser())
	f.cluster.Platform.Log.SetFaults(fakes.LogFaults{LostResponseRate: 1})
	work := fakes.Work{Nonce: f.nonce(), WorkMs: 1}

	first := f.call("pay", work, map[string]string{entry.HeaderIdempotencyKey: "k"})

	assert.Equal(t, first.status, http.StatusOK, first.body)
	assert.Equal(t, f.cluster.Observations.Runs(work.Nonce), 1)
}

// TestKeyWithAnotherBodyIsRefused: a key belongs to the body of its first request.
func TestKeyWithAnotherBodyIsRefused(t *testing.T) {
	f := newFixture(t, smallUser())
	header := map[string]string{entry.HeaderIdempotencyKey: "k"}
	first := f.call("pay", fakes.Work{Nonce: f.nonce(), WorkMs: 1}, header)
	assert.Equal(t, first.status, http.StatusOK, first.body)
	other := fakes.Work{Nonce: f.nonce(), WorkMs: 1}

	second := f.call("pay", other, header)

	assert.Equal(t, second.status, http.StatusUnprocessableEntity)
	assert.Equal(t, second.outcome, "not-run")
	assert.Equal(t, f.cluster.Observations.Runs(other.Nonce), 0)
}

// TestKeyOfEntryKilledDuringRequestIsNotRunAgain: an entry is killed while a request
// with a key runs. A second request with the key, at another entry, gets the outcome
// "unknown" and does not run.
func TestKeyOfEntryKilledDuringRequestIsNotRunAgain(t *testing.T) {
	user := smallUser()
	user.Fleet.Halls = []settings.Hall{newZone("north", 5, 1), newZone("south", 5, 1)}
	f := newFixture(t, user)
	work := fakes.Work{Nonce: f.nonce(), WorkMs: 400}
	header := map[string]string{entry.HeaderIdempotencyKey: "k"}
	f.runInBackground(func() { f.tryCallNode(f.cluster.Nodes[0], "pay", mustJSON(t, work), header) })
	f.waitUntil("the request runs", func() bool { return f.cluster.Observations.Runs(work.Nonce) == 1 })
	assert.NilError(t, f.cluster.KillEntry(f.cluster.Nodes[0]))

	second := f.callNode(f.cluster.Nodes[1], "pay", mustJSON(t, work), header, work.Nonce)

	assert.Equal(t, second.status, http.StatusConflict, second.body)
	assert.Equal(t, second.outcome, "unknown")
	assert.Equal(t, f.cluster.Observations.Runs(work.Nonce), 1)
}
