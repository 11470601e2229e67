package process

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"damsonwinch/pkg/call"
	"damsonwinch/pkg/intake"
	"damsonwinch/pkg/wire"
	"damsonwinch/platform/standin"
)

// Keys of the customers bakery and mill, and a key that no customer has.
const (
	bakeryKey    = "bakerysfirstkey00001"
	bakeryNewKey = "bakerysnextkey000002"
	millKey      = "millskey000000000003"
	strangerKey  = "strangerskey00000004"
)

var (
	payslips = standin.Queue{Name: "payslips", Host: testHost, PathPrefix: testPrefix, Pool: "runs", MaxAttempts: 3}
	notices  = standin.Queue{Name: "notices", Host: testHost, PathPrefix: "/notices/", Pool: "runs", MaxAttempts: 3, Public: true}
	oneTask  = standin.Phase{Count: 1, MilliCPU: 1000, EstimatedMs: 50}
)

// newClusterWithCustomers starts nodes with a configuration of two customers, bakery and mill. The
// client of the cluster has the bakery's key.
func newClusterWithCustomers(t *testing.T, nodes int) *testCluster {
	c := newCluster(t, nodes)
	c.client = c.client.WithKey(bakeryKey)
	c.configureCustomers(2, []string{bakeryKey}, []string{millKey})
	c.waitUntil("all nodes have the configuration", func() bool {
		for number := range c.nodes {
			if status := c.submitOnce(number, c.client.WithKey(millKey), jobID(9999), oneTask); status == http.StatusUnauthorized || status == 0 {
				return false
			}
		}
		return true
	})
	return c
}

// configureCustomers writes a configuration in which the bakery and the mill have the given keys.
func (c *testCluster) configureCustomers(version int, bakeryKeys, millKeys []string) {
	c.t.Helper()
	c.platform.SetCustomers(standin.Customer{Name: "bakery", Keys: bakeryKeys}, standin.Customer{Name: "mill", Keys: millKeys})
	assert.NilError(c.t, c.platform.PutConfiguration(version, payslips, notices))
}

// submitOnce submits a job to one node without a retry. It returns the status of the response, or 0
// if there was none.
func (c *testCluster) submitOnce(number int, client *standin.Client, id string, phase standin.Phase) int {
	status, err := client.Submit(context.Background(), c.configs[number].ClientAddress, testHost, testPrefix+id, standin.Work{Ms: 50}, phase)
	if err != nil {
		return 0
	}
	return status
}

// callNode makes a client's call without a body to one node. It returns the status and the body of the
// response.
func (c *testCluster) callNode(number int, client *standin.Client, method, path string) (int, string) {
	c.t.Helper()
	status, body, err := client.Do(context.Background(), method, c.configs[number].ClientAddress, testHost, path, nil)
	assert.NilError(c.t, err)
	return status, string(body)
}

// TestCallsWithoutValidKeyAreUnauthorized calls every node, whether it owns the cell or not. The
// response to a call without a valid key is always the same. It reveals nothing about the job, nor
// what is wrong with the key.
func TestCallsWithoutValidKeyAreUnauthorized(t *testing.T) {
	c := newClusterWithCustomers(t, 3)
	c.submit(jobID(0), standin.Work{Ms: 50}, oneTask)
	for number := range c.nodes {
		responses := map[string]bool{}
		for _, key := range []string{"", strangerKey, strings.Repeat("x", 5000), bakeryKey + "x", bakeryKey[1:]} {
			client := c.client.WithKey(key)
			for _, method := range []string{http.MethodGet, http.MethodDelete, http.MethodPost} {
				status, body := c.callNode(number, client, method, testPrefix+jobID(0))
				assert.Equal(t, status, http.StatusUnauthorized, "%s with %q", method, key)
				responses[body] = true
			}
			status, _ := c.callNode(number, client, http.MethodGet, testPrefix)
			assert.Equal(t, status, http.StatusUnauthorized)
		}
		assert.Equal(t, len(responses), 1, "%v", responses)
		assert.Equal(t, c.submitOnce(number, c.client.WithKey(millKey), jobID(10+number), oneTask), http.StatusOK)
		status, _ := c.callNode(number, c.client.WithKey("x"), http.MethodGet, "/notices/"+jobID(0))
		assert.Equal(t, status, http.StatusOK, "a public queue needs no key, and an unknown key is ignored there")
	}
}

// TestJobIsHiddenFromOtherCustomers checks that another customer can neither show nor cancel a job
// nor submit one under its ID. The responses are the same as for a job that was never submitted.
func TestJobIsHiddenFromOtherCustomers(t *testing.T) {
	c := newClusterWithCustomers(t, 2)
	c.submit(jobID(0), standin.Work{Ms: 1500}, oneTask)
	mill := c.client.WithKey(millKey)
	for number := range c.nodes {
		for _, method := range []string{http.MethodGet, http.MethodDelete} {
			status, body := c.callNode(number, mill, method, testPrefix+jobID(0))
			unknownStatus, unknownBody := c.callNode(number, mill, method, testPrefix+jobID(99))
			assert.Equal(t, status, http.StatusGone, method)
			assert.Equal(t, status, unknownStatus)
			assert.Equal(t, body, unknownBody)
		}
		assert.Equal(t, c.submitOnce(number, mill, jobID(0), oneTask), http.StatusServiceUnavailable)
	}
	c.waitUntil("the job is completed", func() bool { return c.jobState(jobID(0)) == "completed" })
	status, _ := c.callNode(0, mill, http.MethodGet, testPrefix+jobID(0))
	assert.Equal(t, status, http.StatusGone, "the job is hidden after its end too")
}

// TestRevokedKeyIsRefusedAndItsJobRunsOn replaces a customer's key. Calls with the old key are
// refused. The job that was submitted with it runs on, and the new key gives access to it, even
// after another node has taken over its cell.
func TestRevokedKeyIsRefusedAndItsJobRunsOn(t *testing.T) {
	c := newClusterWithCustomers(t, 3)
	c.submit(jobID(0), standin.Work{Ms: 3000}, oneTask)
	c.configureCustomers(3, []string{bakeryNewKey}, []string{millKey})
	oldClient := c.client
	c.client = oldClient.WithKey(bakeryNewKey)
	c.waitUntil("all nodes refuse the old key and accept the new one", func() bool {
		for number := range c.nodes {
			if status, _ := c.callNode(number, oldClient, http.MethodGet, testPrefix+jobID(0)); status != http.StatusUnauthorized {
				return false
			}
			if status, _ := c.callNode(number, c.client, http.MethodGet, testPrefix+jobID(0)); status != http.StatusOK {
				return false
			}
		}
		return true
	})
	owner := c.cellOwner("runs")
	c.killNode(owner)
	c.waitUntil("the job is completed by the next owner", func() bool { return c.jobState(jobID(0)) == "completed" })
	assert.Equal(t, c.platform.CountStarts(jobID(0))[jobID(0)+".0.0.0"], 1, "the task was not started again")

	c.configureCustomers(4, nil, []string{millKey})
	c.waitUntil("calls of a customer without keys are refused", func() bool {
		status, _, err := c.client.State(context.Background(), c.clientAddress(0), testHost, testPrefix+jobID(0))
		return err == nil && status == http.StatusUnauthorized
	})
}

// TestForwardedCallIsAuthorizedByItsKey calls the port on which a node serves other nodes. The node
// checks the digest of the customer's key. It does not trust the caller's statements about the
// customer, about the queue being public, or about the configuration in force.
func TestForwardedCallIsAuthorizedByItsKey(t *testing.T) {
	c := newClusterWithCustomers(t, 1)
	c.submit(jobID(0), standin.Work{Ms: 50}, oneTask)
	peer := call.New(c.configs[0].CallAddress, c.dial, clockwork.NewRealClock())
	defer peer.Close()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for name, args := range map[string]wire.JobArgs{
		"no key":                {Customer: "bakery"},
		"a wrong digest":        {Customer: "bakery", Key: "AAAAAAAAAAAAAAAAAAAAAA"},
		"no customer":           {},
		"marked as public":      {Customer: "bakery", Public: true},
		"a later configuration": {Customer: "bakery", ConfigVersion: 99},
	} {
		args.Cell, args.Queue, args.Id = "runs", "payslips", jobID(0)
		for _, method := range []string{".Show", ".Cancel", ".Submit"} {
			var reply wire.JobReply
			args.Spec = &wire.JobSpec{Phases: []wire.Phase{{Count: 1}}}
			assert.NilError(t, peer.Do(ctx, intake.ServiceName+method, args, &reply))
			if args.ConfigVersion > 2 {
				assert.Equal(t, reply.Outcome, wire.JobOutcomeRefused, "%s: %s", name, method)
				continue
			}
			assert.Equal(t, reply.Outcome, wire.JobOutcomeUnauthorized, "%s: %s", name, method)
		}
	}
}

// TestKeysDuringStoreOutage checks that a node which cannot confirm the configuration goes on
// accepting the keys of the last one, or refuses calls if its settings say so.
func TestKeysDuringStoreOutage(t *testing.T) {
	for name, failClosed := range map[string]bool{"accepts known keys": false, "refuses": true} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 0)
			c.maxKeyAgeMs, c.revokeFailClosed = 700, failClosed
			c.startNode(0)
			c.client = c.client.WithKey(bakeryKey)
			c.configureCustomers(2, []string{bakeryKey}, []string{millKey})
			c.submit(jobID(0), standin.Work{Ms: 50}, oneTask)
			c.platform.SetStoreFault(standin.FaultBusy)
			want := http.StatusOK
			if failClosed {
				want = http.StatusServiceUnavailable
			}
			c.waitUntil("the call has the expected status", func() bool {
				status, _ := c.callNode(0, c.client, http.MethodGet, testPrefix+jobID(0))
				return status == want
			})
			clockwork.NewRealClock().Sleep(time.Second)
			status, _ := c.callNode(0, c.client, http.MethodGet, testPrefix+jobID(0))
			assert.Equal(t, status, want)
			c.platform.SetStoreFault(standin.FaultNone)
			c.waitUntil("calls are accepted again", func() bool {
				status, _ := c.callNode(0, c.client, http.MethodGet, testPrefix+jobID(0))
				return status == http.StatusOK
			})
		})
	}
}

// syncBuffer is a buffer that several goroutines may write to.
type syncBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(text []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(text)
}

func (b *syncBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.String()
}

// TestOutputsContainNoKey checks that logs, counters, records of the store and responses contain no
// customer's key.
func TestOutputsContainNoKey(t *testing.T) {
	c := newCluster(t, 0)
	logs := &syncBuffer{}
	c.logger = logrus.New()
	c.logger.SetLevel(logrus.DebugLevel)
	c.logger.SetOutput(logs)
	for number := range 2 {
		c.startNode(number)
	}
	c.client = c.client.WithKey(bakeryKey)
	c.configureCustomers(2, []string{bakeryKey, ""}, []string{millKey, bakeryNewKey})
	c.submit(jobID(0), standin.Work{Ms: 50}, oneTask)
	responses := &syncBuffer{}
	for number := range c.nodes {
		for _, key := range []string{bakeryKey, millKey, strangerKey} {
			for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
				_, body := c.callNode(number, c.client.WithKey(key), method, testPrefix+jobID(number))
				_, _ = responses.Write([]byte(body))
			}
		}
	}
	// A configuration that can't be decoded, and one in which two customers have the same key.
	c.platform.PutInvalidConfiguration(3, "bakery", bakeryKey)
	c.configureCustomers(4, []string{bakeryKey, bakeryNewKey}, []string{millKey, bakeryNewKey})
	c.waitUntil("the shared key is logged as rejected", func() bool { return strings.Contains(logs.String(), "neither's") })
	var counters string
	for number := range c.nodes {
		response, err := http.Get("http://" + c.configs[number].DebugAddress + "/debug/vars")
		assert.NilError(t, err)
		text, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		counters += string(text)
	}
	assert.Assert(t, strings.Contains(counters, "calls_unauthorized"))
	for source, text := range map[string]string{"logs": logs.String(), "counters": counters, "records": c.platform.Dump(), "answers": responses.String()} {
		assert.Assert(t, text != "", source)
		for _, key := range []string{bakeryKey, bakeryNewKey, millKey, strangerKey} {
			assert.Assert(t, !strings.Contains(text, key), "%s contain the key %s", source, key)
		}
	}
}
