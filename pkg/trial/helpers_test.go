package trial

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/entry"
	"damsonwinch/pkg/fakes"
	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/wire"
)

// runInBackground runs a function in a goroutine. The test's cleanup waits for it.
func (f *fixture) runInBackground(do func()) {
	f.background.Go(func() error {
		do()
		return nil
	})
}

// waitFor waits until a condition holds. After waitTimeout it fails the test and reports
// the description of the condition.
func (f *fixture) waitFor(description string, condition func() bool) {
	f.t.Helper()
	assert.Assert(f.t, f.run.waitUntil(context.Background(), waitTimeout, condition), "timed out waiting until "+description)
}

// firstPoolBox returns the name of the first box that isn't in the free pool.
func (f *fixture) firstPoolBox() string {
	for _, box := range f.run.observer.currentState().Boxes() {
		if box.Pool != fleetstate.FreePool {
			return box.Info.Name
		}
	}
	f.t.Fatal("no box is in a pool")
	return ""
}

// callNode sends a request to the entry of a node. The test fails if there is no
// response.
func (f *fixture) callNode(node *Node, service string, body []byte, header map[string]string, nonce string) reply {
	f.t.Helper()
	response, err := f.tryCallNode(node, service, body, header)
	assert.NilError(f.t, err)
	response.nonce = nonce
	return response
}

// tryCallNode sends a request to the entry of a node. It returns an error if there is no
// complete response, for example because the entry was killed.
func (f *fixture) tryCallNode(node *Node, service string, body []byte, header map[string]string) (reply, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+node.entry.HttpAddress+"/v1/run/"+service, bytes.NewReader(body))
	assert.NilError(f.t, err)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return reply{outcome: response.Header.Get(entry.HeaderOutcome), status: response.StatusCode, body: string(answer),
		retryAfter: response.Header.Get("Retry-After")}, err
}

// callUntilDone sends a request to the first entry, and cancels it when the context
// ends.
func (f *fixture) callUntilDone(ctx context.Context, service string, work fakes.Work) {
	address := f.cluster.Nodes[0].entry.HttpAddress
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/run/"+service, bytes.NewReader(mustJSON(f.t, work)))
	assert.NilError(f.t, err)
	if response, err := f.client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// deferredChanges returns the descriptions of the changes that the first keeper's plan
// defers, but only of those that contain the text.
func (f *fixture) deferredChanges(text string) []string {
	client, err := f.run.operatorClient("test", 0)
	assert.NilError(f.t, err)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	status, err := client.Status(ctx, wire.StatusArgs{AuditFrom: -1, WithPlan: true})
	assert.NilError(f.t, err)
	var found []string
	for _, change := range status.Waits {
		if strings.Contains(change, text) {
			found = append(found, change)
		}
	}
	return found
}
