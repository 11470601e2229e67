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

	"damsonwinch/pkg/entry"
	"damsonwinch/pkg/fakes"
	"damsonwinch/pkg/settings"
)

// smallUser returns a user with one zone, one entry, five boxes in five racks, and two
// services in one pool: the requests of view may be repeated, those of pay may not. Both
// allow the customer "small" one slot.
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

// fixture is a small fleet with an HTTP client of its entries.
type fixture struct {
	t          *testing.T
	cluster    *Cluster
	run        *run
	client     *http.Client
	nonces     int            // Number of nonces given out.
	background errgroup.Group // Goroutines for which the cleanup waits.
}

// newFixture starts a user's fleet and publishes its table. The test's cleanup ends
// the fleet, and fails the test if a process reported a violation.
func newFixture(t *testing.T, user User) *fixture {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	cluster, err := NewCluster(user, 1, logger)
	assert.NilError(t, err)
	obs, err := startObserver(cluster)
	assert.NilError(t, err)
	f := &fixture{t: t, cluster: cluster, client: &http.Client{Timeout: time.Minute}}
	f.run = &run{options: Options{Progress: io.Discard, Seconds: 1}, cluster: cluster, observer: obs, startedAt: cluster.clock.Now()}
	t.Cleanup(func() {
		assert.NilError(t, f.background.Wait())
		obs.stop()
		f.client.CloseIdleConnections()
		assert.NilError(t, cluster.Close())
		assert.Equal(t, len(cluster.reportedViolations()), 0, "%v", cluster.violations.details)
	})
	assert.NilError(t, f.run.publishFirstTable(context.Background()))
	return f
}

// reply is the response that a client got.
type reply struct {
	outcome    string
	status     int
	body       string
	retryAfter string
	nonce      string
}

// call sends a request with the given work to the first entry. The test fails if there
// is no response.
func (f *fixture) call(service string, work fakes.Work, header map[string]string) reply {
	f.t.Helper()
	body, err := json.Marshal(work)
	assert.NilError(f.t, err)
	return f.callWithBody(service, body, header, work.Nonce)
}

// callWithBody sends a request with the given body to the first entry. The test fails
// if there is no response.
func (f *fixture) callWithBody(service string, body []byte, header map[string]string, nonce string) reply {
	f.t.Helper()
	return f.callNode(f.cluster.Nodes[0], service, body, header, nonce)
}

// nonce returns a new nonce, by which the endpoints' observations identify a request.
func (f *fixture) nonce() string {
	f.nonces++
	return fmt.Sprintf("n%d", f.nonces)
}

// setFault sets the fault of the first boxes that are not in the free pool, up to the
// given number of boxes.
func (f *fixture) setFault(fault fakes.EndpointFault, boxes int) {
	for _, box := range f.run.observer.currentState().Boxes() {
		if box.Pool == "free" {
			continue
		}
		if boxes == 0 {
			return
		}
		boxes--
		f.cluster.Endpoints[box.Info.Name].SetFault(fault)
	}
}

// endFaults makes all endpoints work correctly again.
func (f *fixture) endFaults() {
	for _, endpoint := range f.cluster.Endpoints {
		endpoint.SetFault(fakes.FaultNone)
	}
}

// allBoxes exceeds the number of boxes in every test.
const allBoxes = 100

// TestClientGetsCorrectOutcomeForEachEndpointFault prints, for each fault of the boxes,
// the outcome that the client gets. It sends a request that may be repeated and then
// one that may not. For the latter it also prints whether the endpoints ran the request
// at most once, and the outcome of a second request with the same key.
func TestClientGetsCorrectOutcomeForEachEndpointFault(t *testing.T) {
	datadriven.RunTest(t, "testdata/faults", func(t *testing.T, d *datadriven.TestData) string {
		// Each row has a fleet of its own, so that ejections in one row don't affect another.
		f := newFixture(t, smallUser())
		var fault string
		boxes, services := allBoxes, []string{"view", "pay"}
		d.ScanArgs(t, "fault", &fault)
		if d.HasArg("boxes") {
			d.ScanArgs(t, "boxes", &boxes)
			// The box for a request is chosen at random. Only a request that may be repeated
			// has the same outcome whichever box gets it first.
			services = services[:1]
		}
		var lines strings.Builder
		for _, service := range services {
			f.setFault(fakes.EndpointFault(fault), boxes)
			nonce := f.nonce()
			work := fakes.Work{Nonce: nonce, WorkMs: 50}
			header := map[string]string{entry.HeaderIdempotencyKey: nonce}
			first := f.call(service, work, header)
			f.endFaults()
			fmt.Fprintf(&lines, "%s: %s %d", service, first.outcome, first.status)
			if first.status == http.StatusOK {
				assert.Equal(t, first.body, fakes.ExpectedResponse(mustJSON(t, work)))
			}
			if service == "pay" {
				fmt.Fprintf(&lines, ", ran at most once: %v", f.cluster.Observations.Runs(nonce) <= 1)
				second := f.callAfterOutcome(service, work, header)
				fmt.Fprintf(&lines, "; again with the key: %s %d", second.outcome, second.status)
				assert.Assert(t, f.cluster.Observations.Runs(nonce) <= 1, "it ran %d times", f.cluster.Observations.Runs(nonce))
			}
			lines.WriteString("\n")
		}
		return lines.String()
	})
}

// callAfterOutcome repeats a request with the same key once the entry has recorded an
// outcome in the log, or after 5 s.
func (f *fixture) callAfterOutcome(service string, work fakes.Work, header map[string]string) reply {
	f.run.waitUntil(context.Background(), 5*time.Second, func() bool {
		return f.cluster.Nodes[0].entryProcess.Metrics.Count("claim_outcomes") > 0
	})
	return f.call(service, work, header)
}

func mustJSON(t *testing.T, value any) []byte {
	text, err := json.Marshal(value)
	assert.NilError(t, err)
	return text
}
