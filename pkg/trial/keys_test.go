package trial

import (
	"context"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/front"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/standin"
)

// TestOneKeyAtTwoEntriesRunsOnce sends each key to two entries at the same
// instant, many times over.
func TestOneKeyAtTwoEntriesRunsOnce(t *testing.T) {
	user := smallUser()
	user.Fleet.Halls = []settings.Hall{newZone("north", 5, 1), newZone("south", 5, 1)}
	s := newFixture(t, user)
	const keys = 30
	for range keys {
		nonce := s.nonce()
		var both errgroup.Group
		answers := make([]reply, 2)
		for i, node := range s.cluster.Nodes {
			both.Go(func() error {
				answers[i] = s.callNode(node, "pay", mustJSON(t, standin.Work{Nonce: nonce, WorkMs: 1}), map[string]string{front.HeaderIdempotencyKey: nonce}, nonce)
				return nil
			})
		}
		assert.NilError(t, both.Wait())
		assert.Equal(t, s.cluster.Observations.Runs(nonce), 1, "%+v", answers)
		statuses := []int{answers[0].status, answers[1].status}
		assert.Assert(t, statuses[0] == http.StatusOK || statuses[1] == http.StatusOK, "%+v", answers)
		assert.Assert(t, statuses[0] == http.StatusConflict || statuses[1] == http.StatusConflict, "%+v", answers)
	}
}

// TestAKeyWhileTheLogIsDown is told "not run" and runs upon the next try.
func TestAKeyWhileTheLogIsDown(t *testing.T) {
	s := newFixture(t, smallUser())
	header := map[string]string{front.HeaderIdempotencyKey: "k"}
	work := standin.Work{Nonce: s.nonce(), WorkMs: 1}
	s.cluster.Platform.Log.SetFaults(standin.LogFaults{Down: true})

	first := s.call("pay", work, header)

	assert.Equal(t, first.outcome, "not-run")
	assert.Equal(t, first.status, http.StatusServiceUnavailable)
	assert.Assert(t, first.retryAfter != "")
	assert.Equal(t, s.cluster.Observations.Runs(work.Nonce), 0)
	s.cluster.Platform.Log.SetFaults(standin.LogFaults{})
	second := s.call("pay", work, header)
	assert.Equal(t, second.status, http.StatusOK, second.body)
	assert.Equal(t, s.cluster.Observations.Runs(work.Nonce), 1)
}

// TestAClaimThatLandsAfterNotRunWasTold must not send the request after all, nor
// block its key for good.
func TestAClaimThatLandsAfterNotRunWasTold(t *testing.T) {
	s := newFixture(t, smallUser())
	header := map[string]string{front.HeaderIdempotencyKey: "k"}
	work := standin.Work{Nonce: s.nonce(), WorkMs: 1}
	s.cluster.Platform.Log.SetFaults(standin.LogFaults{LateRate: 1, LateDelay: 4 * time.Second})
	first := s.call("pay", work, header)
	assert.Equal(t, first.outcome, "not-run")
	s.cluster.Platform.Log.SetFaults(standin.LogFaults{})

	landed := s.run.waitUntil(context.Background(), 20*time.Second, func() bool {
		return len(s.cluster.Platform.Log.Peek(damsonwinch.StreamClaims, 0, 10)) >= 2
	})

	assert.Assert(t, landed, "the late claim and its release did not land")
	assert.Equal(t, s.cluster.Observations.Runs(work.Nonce), 0)
	second := s.call("pay", work, header)
	assert.Equal(t, second.status, http.StatusOK, second.body)
	assert.Equal(t, s.cluster.Observations.Runs(work.Nonce), 1)
}

// TestAClaimWhoseAnswerIsLostRuns because it is read back from the log.
func TestAClaimWhoseAnswerIsLostRuns(t *testing.T) {
	s := newFixture(t, smallUser())
	s.cluster.Platform.Log.SetFaults(standin.LogFaults{LostAnswerRate: 1})
	work := standin.Work{Nonce: s.nonce(), WorkMs: 1}

	first := s.call("pay", work, map[string]string{front.HeaderIdempotencyKey: "k"})

	assert.Equal(t, first.status, http.StatusOK, first.body)
	assert.Equal(t, s.cluster.Observations.Runs(work.Nonce), 1)
}

// TestAKeyWithAnotherBody is refused: the key belongs to the first request.
func TestAKeyWithAnotherBody(t *testing.T) {
	s := newFixture(t, smallUser())
	header := map[string]string{front.HeaderIdempotencyKey: "k"}
	first := s.call("pay", standin.Work{Nonce: s.nonce(), WorkMs: 1}, header)
	assert.Equal(t, first.status, http.StatusOK, first.body)
	other := standin.Work{Nonce: s.nonce(), WorkMs: 1}

	second := s.call("pay", other, header)

	assert.Equal(t, second.status, http.StatusUnprocessableEntity)
	assert.Equal(t, second.outcome, "not-run")
	assert.Equal(t, s.cluster.Observations.Runs(other.Nonce), 0)
}

// TestAnEntryReplacedInTheMiddleOfAKeyedRequest: the next try, at another entry,
// is told that the outcome isn't known, and does not run.
func TestAnEntryReplacedInTheMiddleOfAKeyedRequest(t *testing.T) {
	user := smallUser()
	user.Fleet.Halls = []settings.Hall{newZone("north", 5, 1), newZone("south", 5, 1)}
	s := newFixture(t, user)
	work := standin.Work{Nonce: s.nonce(), WorkMs: 400}
	header := map[string]string{front.HeaderIdempotencyKey: "k"}
	s.runInBackground(func() { s.tryCallNode(s.cluster.Nodes[0], "pay", mustJSON(t, work), header) })
	s.waitFor("the request runs", func() bool { return s.cluster.Observations.Runs(work.Nonce) == 1 })
	assert.NilError(t, s.cluster.KillEntry(s.cluster.Nodes[0]))

	second := s.callNode(s.cluster.Nodes[1], "pay", mustJSON(t, work), header, work.Nonce)

	assert.Equal(t, second.status, http.StatusConflict, second.body)
	assert.Equal(t, second.outcome, "unknown")
	assert.Equal(t, s.cluster.Observations.Runs(work.Nonce), 1)
}
