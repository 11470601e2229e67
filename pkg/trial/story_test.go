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

// spawn runs something beside the story; the story's end waits for it.
func (s *story) spawn(do func()) {
	s.beside.Go(func() error {
		do()
		return nil
	})
}

// await fails the test if a condition doesn't come to hold.
func (s *story) await(what string, holds func() bool) {
	s.t.Helper()
	assert.Assert(s.t, s.run.until(context.Background(), storyWait, holds), "it never came to pass that "+what)
}

func (s *story) firstBox() string {
	for _, box := range s.run.observer.present().Boxes() {
		if box.Pool != fold.FreePool {
			return box.Info.Name
		}
	}
	s.t.Fatal("no box is in a pool")
	return ""
}

// callAt calls one entry, which must answer.
func (s *story) callAt(node *Node, service string, body []byte, header map[string]string, nonce string) told {
	s.t.Helper()
	response, err := s.tryCall(node, service, body, header)
	assert.NilError(s.t, err)
	response.nonce = nonce
	return response
}

// tryCall calls one entry, which may end meanwhile.
func (s *story) tryCall(node *Node, service string, body []byte, header map[string]string) (told, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+node.entry.HttpAddress+"/v1/run/"+service, bytes.NewReader(body))
	assert.NilError(s.t, err)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return told{}, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return told{outcome: response.Header.Get(front.HeaderOutcome), status: response.StatusCode, body: string(answer),
		retry: response.Header.Get("Retry-After")}, err
}

// abandon calls until the context ends.
func (s *story) abandon(ctx context.Context, service string, work standin.Work) {
	address := s.cluster.Nodes[0].entry.HttpAddress
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/run/"+service, bytes.NewReader(mustJSON(s.t, work)))
	assert.NilError(s.t, err)
	if response, err := s.client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// waits returns what the plan of the first keeper waits for, of what holds a
// word.
func (s *story) waits(word string) []string {
	client, err := s.run.operator("test", 0)
	assert.NilError(s.t, err)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	status, err := client.Status(ctx, wire.StatusArgs{AuditFrom: -1, WithPlan: true})
	assert.NilError(s.t, err)
	var found []string
	for _, wait := range status.Waits {
		if strings.Contains(wait, word) {
			found = append(found, wait)
		}
	}
	return found
}
