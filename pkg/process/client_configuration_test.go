package process

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/jonboulle/clockwork"
	logrustest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/customer"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/wire"
	"damsonwinch/platform"
)

// runningJobs is a JobService all of whose jobs run.
type runningJobs struct{ damsonwinch.JobService }

func (runningJobs) Show(context.Context, wire.JobArgs) wire.JobReply {
	return wire.JobReply{Outcome: wire.JobOutcomeAccepted, State: wire.JobStateRunning}
}

// TestConfigurationBeforeTheClientHandlerIsPutInForce guards against a node that refuses all its clients until the
// configuration changes: the one that it read while it started was lost if it came before the handler existed.
func TestConfigurationBeforeTheClientHandlerIsPutInForce(t *testing.T) {
	customers, invalid := customer.New(nil)
	assert.Equal(t, len(invalid), 0)
	older := damsonwinch.Configuration{Queues: []damsonwinch.Queue{{Name: "older", Host: "older.example", PathPrefix: "/jobs/", Public: true}}}
	newer := damsonwinch.Configuration{Queues: []damsonwinch.Queue{{Name: "newer", Host: "newer.example", PathPrefix: "/jobs/", Public: true}}}
	var configuration clientConfiguration
	configuration.put(older, customers)
	configuration.put(newer, customers)
	logger, _ := logrustest.NewNullLogger()
	handler := platform.NewClientHandler(runningJobs{}, clockwork.NewRealClock(), metrics.New(), platform.ClientHandlerOptions{Logger: logger})
	configuration.attach(handler)
	assert.Equal(t, statusOf(handler, "newer.example"), http.StatusOK)
	assert.Equal(t, statusOf(handler, "older.example"), http.StatusNotFound)
	configuration.put(older, customers)
	assert.Equal(t, statusOf(handler, "older.example"), http.StatusOK)
}

// statusOf returns the status of the response to a call that asks for a job's state.
func statusOf(handler http.Handler, host string) int {
	request := httptest.NewRequest(http.MethodGet, "http://"+host+"/jobs/"+jobID(0), nil)
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, request)
	return response.Code
}
