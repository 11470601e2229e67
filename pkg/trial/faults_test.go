package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"damsonwinch/pkg/front"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/standin"
)

// smallUser has one hall, five boxes in racks of their own and two services: one
// that may be repeated and one that may not.
func smallUser() User {
	table := newTable(settings.Deployment{Pools: []string{"clerks"}, Moves: 1, Rollout: 1, Buffer: 1, MaintainDays: 42},
		serviceSpec{"view", "clerks", 1, 8, 0, 3000, true},
		serviceSpec{"pay", "clerks", 1, 8, 0, 3000, false},
	)
	for i := range table.Services {
		table.Services[i].Row.RunMs = 600
		table.Services[i].Row.AnswerKb = 8
		table.Services[i].Row.RequestKb = 4
		table.Services[i].Row.Quotas = []settings.Quota{{Team: "small", Weight: 1, Most: 1}}
	}
	fleet := settings.Fleet{Halls: []settings.Hall{newZone("north", 5, 1)}, RackBoxes: 1, BoxSlots: 8}
	return User{Name: "small", Fleet: fleet, Table: table}
}

// fixture is a small fleet and a caller.
type fixture struct {
	t          *testing.T
	cluster    *Cluster
	run        *run
	client     *http.Client
	nonces     int
	background errgroup.Group
}

func newFixture(t *testing.T, user User) *fixture {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	cluster, err := NewCluster(user, 1, logger)
	assert.NilError(t, err)
	obs, err := startObserver(cluster)
	assert.NilError(t, err)
	s := &fixture{t: t, cluster: cluster, client: &http.Client{Timeout: time.Minute}}
	s.run = &run{options: Options{Progress: io.Discard, Seconds: 1}, cluster: cluster, observer: obs, startedAt: cluster.clock.Now()}
	t.Cleanup(func() {
		assert.NilError(t, s.background.Wait())
		obs.stop()
		s.client.CloseIdleConnections()
		assert.NilError(t, cluster.Close())
		assert.Equal(t, len(cluster.reportedViolations()), 0, "%v", cluster.violations.details)
	})
	assert.NilError(t, s.run.publishFirstTable(context.Background()))
	return s
}

// reply is what a caller was reply, beside what the endpoints saw.
type reply struct {
	outcome    string
	status     int
	body       string
	retryAfter string
	nonce      string
}

func (s *fixture) call(service string, work standin.Work, header map[string]string) reply {
	s.t.Helper()
	body, err := json.Marshal(work)
	assert.NilError(s.t, err)
	return s.callWithBody(service, body, header, work.Nonce)
}

func (s *fixture) callWithBody(service string, body []byte, header map[string]string, nonce string) reply {
	s.t.Helper()
	return s.callNode(s.cluster.Nodes[0], service, body, header, nonce)
}

func (s *fixture) nonce() string {
	s.nonces++
	return fmt.Sprintf("n%d", s.nonces)
}

// setFault makes the first so many boxes of the pool, or all, do wrong.
func (s *fixture) setFault(fault standin.EndpointFault, boxes int) {
	for _, box := range s.run.observer.currentState().Boxes() {
		if box.Pool == "free" {
			continue
		}
		if boxes == 0 {
			return
		}
		boxes--
		s.cluster.Endpoints[box.Info.Name].SetFault(fault)
	}
}

func (s *fixture) endFaults() {
	for _, endpoint := range s.cluster.Endpoints {
		endpoint.SetFault(standin.FaultNone)
	}
}

const allBoxes = 100

// TestFaultsOfEndpoints tells, for each fault of every box, what the caller is
// told, what the endpoints' book says and what the next try with the same key
// gets. A repeatable request comes first, then one that isn't.
func TestFaultsOfEndpoints(t *testing.T) {
	datadriven.RunTest(t, "testdata/faults", func(t *testing.T, d *datadriven.TestData) string {
		// A fleet a row, so that no row sees the ejections of another.
		s := newFixture(t, smallUser())
		var fault string
		boxes, services := allBoxes, []string{"view", "pay"}
		d.ScanArgs(t, "fault", &fault)
		if d.HasArg("boxes") {
			d.ScanArgs(t, "boxes", &boxes)
			// Chance decides which box a request goes to, so that only one which is
			// tried again has a certain outcome.
			services = services[:1]
		}
		var lines strings.Builder
		for _, service := range services {
			s.setFault(standin.EndpointFault(fault), boxes)
			nonce := s.nonce()
			work := standin.Work{Nonce: nonce, WorkMs: 50}
			header := map[string]string{front.HeaderIdempotencyKey: nonce}
			first := s.call(service, work, header)
			s.endFaults()
			fmt.Fprintf(&lines, "%s: %s %d", service, first.outcome, first.status)
			if first.status == http.StatusOK {
				assert.Equal(t, first.body, standin.ExpectedResponse(mustJSON(t, work)))
			}
			if service == "pay" {
				fmt.Fprintf(&lines, ", ran at most once: %v", s.cluster.Observations.Runs(nonce) <= 1)
				second := s.callAfterOutcome(service, work, header)
				fmt.Fprintf(&lines, "; again with the key: %s %d", second.outcome, second.status)
				assert.Assert(t, s.cluster.Observations.Runs(nonce) <= 1, "it ran %d times", s.cluster.Observations.Runs(nonce))
			}
			lines.WriteString("\n")
		}
		return lines.String()
	})
}

// callAfterOutcome tries a key again until the log knows the first try's outcome.
func (s *fixture) callAfterOutcome(service string, work standin.Work, header map[string]string) reply {
	s.run.waitUntil(context.Background(), 5*time.Second, func() bool {
		return s.cluster.Nodes[0].entryProcess.Metrics.Count("claim_outcomes") > 0
	})
	return s.call(service, work, header)
}

func mustJSON(t *testing.T, value any) []byte {
	text, err := json.Marshal(value)
	assert.NilError(t, err)
	return text
}
