package trial

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/front"
	"damsonwinch/pkg/standin"
	"damsonwinch/pkg/wire"
)

// runInBackground runs something beside the story; the story's end waits for it.
func (s *fixture) runInBackground(do func()) {
	s.background.Go(func() error {
		do()
		return nil
	})
}

// waitFor fails the test if a condition doesn't come to hold.
func (s *fixture) waitFor(what string, condition func() bool) {
	s.t.Helper()
	assert.Assert(s.t, s.run.waitUntil(context.Background(), waitTimeout, condition), "it never came to pass that "+what)
}

func (s *fixture) firstPoolBox() string {
	for _, box := range s.run.observer.currentState().Boxes() {
		if box.Pool != fold.FreePool {
			return box.Info.Name
		}
	}
	s.t.Fatal("no box is in a pool")
	return ""
}

// callNode calls one entry, which must answer.
func (s *fixture) callNode(node *Node, service string, body []byte, header map[string]string, nonce string) reply {
	s.t.Helper()
	response, err := s.tryCallNode(node, service, body, header)
	assert.NilError(s.t, err)
	response.nonce = nonce
	return response
}

// tryCallNode calls one entry, which may end meanwhile.
func (s *fixture) tryCallNode(node *Node, service string, body []byte, header map[string]string) (reply, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+node.entry.HttpAddress+"/v1/run/"+service, bytes.NewReader(body))
	assert.NilError(s.t, err)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return reply{outcome: response.Header.Get(front.HeaderOutcome), status: response.StatusCode, body: string(answer),
		retryAfter: response.Header.Get("Retry-After")}, err
}

// callUntilDone calls until the context ends.
func (s *fixture) callUntilDone(ctx context.Context, service string, work standin.Work) {
	address := s.cluster.Nodes[0].entry.HttpAddress
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/run/"+service, bytes.NewReader(mustJSON(s.t, work)))
	assert.NilError(s.t, err)
	if response, err := s.client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// deferredChanges returns what the plan of the first keeper deferredChanges for, of what holds a
// word.
func (s *fixture) deferredChanges(text string) []string {
	client, err := s.run.operatorClient("test", 0)
	assert.NilError(s.t, err)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	status, err := client.Status(ctx, wire.StatusArgs{AuditFrom: -1, WithPlan: true})
	assert.NilError(s.t, err)
	var found []string
	for _, change := range status.Waits {
		if strings.Contains(change, text) {
			found = append(found, change)
		}
	}
	return found
}
