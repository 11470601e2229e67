package process

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/settings"
	"damsonwinch/platform/standin"
)

const (
	testHost   = "queue.example"
	testPrefix = "/jobs/"
)

// testCluster is a stand-in platform and the nodes that run against it.
type testCluster struct {
	t        *testing.T
	platform *standin.Platform
	client   *standin.Client
	nodes    []*Node
	configs  []settings.Node
	closed   map[int]bool // By index of the node: it has been stopped or killed.
	// The fields below, except suspended, apply to the nodes that are started from now on.
	dial damsonwinch.Dial
	// suspended holds, by node, how long its machine has been suspended, in nanoseconds.
	suspended []*atomic.Int64
	coreShare float64 // The number of cores, or the fraction of one, that a node may use.
	// maxKeyAgeMs is how long a node accepts keys after the configuration was last confirmed. It
	// has an effect only with revokeFailClosed.
	maxKeyAgeMs      int
	revokeFailClosed bool
	// evacuationPowerOffS is how long a zone must have been evacuated until its boxes are powered off, in
	// seconds; 0 for the default.
	evacuationPowerOffS float64
	logger              *logrus.Logger // If nil, only errors are logged, to stderr.
}

// newCluster starts a platform with six boxes and the given number of nodes until the test ends.
func newCluster(t *testing.T, nodes int) *testCluster {
	return newClusterWithOptions(t, nodes, platformOptions())
}

// platformOptions returns the options of the platform of newCluster. A box has 8 cores.
func platformOptions() standin.Options {
	return standin.Options{
		Clock: clockwork.NewRealClock(), Pools: []standin.Pool{{Name: "runs", Boxes: 2}, {Name: "quotes", Boxes: 2}, {Name: "spare", Boxes: 2, PoweredOff: true}},
		BoxMilliCPU: 8000, BoxMemoryMB: 16000, MoveTime: 300 * time.Millisecond, MaintainTime: 300 * time.Millisecond,
		MaxLease: 3 * time.Second, StopTime: 50 * time.Millisecond, HeartbeatInterval: 200 * time.Millisecond,
	}
}

// newClusterWithOptions is newCluster with other options of the platform.
func newClusterWithOptions(t *testing.T, nodes int, options standin.Options) *testCluster {
	platform, err := standin.New(options)
	assert.NilError(t, err)
	c := &testCluster{t: t, platform: platform, client: standin.NewClient(), closed: map[int]bool{}, coreShare: 1, dial: (&net.Dialer{Timeout: time.Second}).DialContext}
	assert.NilError(t, platform.PutConfiguration(1, standin.Queue{Name: "payslips", Host: testHost, PathPrefix: testPrefix, Pool: "runs", MaxAttempts: 3}))
	for number := range nodes {
		c.startNode(number)
	}
	t.Cleanup(func() {
		for number, node := range c.nodes {
			if !c.closed[number] {
				assert.Check(t, node.Close())
			}
		}
		assert.Check(t, platform.Close())
	})
	return c
}

// nodeSettings returns the settings of the node with the given index, at addresses that are free.
func (c *testCluster) nodeSettings(t testing.TB, number int) settings.Node {
	store, boxes, advice := c.platform.Addresses()
	return settings.Node{
		Node: fmt.Sprintf("node-%d", number), Zone: "zone", ClientAddress: freeAddress(t), ReadyAddress: freeAddress(t),
		CallAddress: freeAddress(t), DebugAddress: freeAddress(t), Store: store, Boxes: boxes, Advice: advice,
		FirstStart: number < len(c.nodes), CoreShare: c.coreShare, MemoryMb: 256, GroupTtlMs: 700, EvacuationPowerOffS: c.evacuationPowerOffS,
		Bounds: settings.Bounds{LeaseMostMs: 3000, StopMs: 50, DrainMs: 1000, KeepEndedS: 60, GraceS: 5, MoveS: 0.3, MaintainS: 0.3, RevokeMs: c.maxKeyAgeMs, RevokeFailClosed: c.revokeFailClosed, EvacuationMs: evacuationBoundMs},
	}
}

// startNode starts the node with the given index, which is either new or has been killed.
func (c *testCluster) startNode(number int) {
	config := c.nodeSettings(c.t, number)
	env := c.env()
	env.SuspendedTime = c.suspendedTime(number)
	node, err := NewNode(config, env)
	assert.NilError(c.t, err)
	if number < len(c.nodes) {
		c.nodes[number], c.configs[number], c.closed[number] = node, config, false
		return
	}
	c.nodes, c.configs = append(c.nodes, node), append(c.configs, config)
}

// env returns the environment of a node. It ignores violations of invariants.
func (c *testCluster) env() Env {
	logger := c.logger
	if logger == nil {
		logger = logrus.New()
		logger.SetLevel(logrus.ErrorLevel)
	}
	return Env{Clock: clockwork.NewRealClock(), Dial: c.dial, Logger: logger, OnViolation: func(string, string) {}}
}

// The nodes' ports are below the range from which systems assign ports. Otherwise an outgoing
// connection, or a listener without a port, could take a free port before the node starts.
const (
	firstPort = 12000
	portCount = 20000
)

// nextPort starts at a different port in each process, so that concurrent runs of the tests on a
// machine rarely try the same ports.
var nextPort = func() *atomic.Int64 {
	next := &atomic.Int64{}
	next.Store(int64(os.Getpid()) * 997)
	return next
}()

// freeAddress returns a loopback address with a port that is free now.
func freeAddress(t testing.TB) string {
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		assert.NilError(t, listener.Close())
		return address
	}
	t.Fatal("no free port")
	return ""
}

// clientAddress returns the client address of a running node. Successive tries select different nodes.
func (c *testCluster) clientAddress(try int) string {
	for step := range c.nodes {
		if number := (try + step) % len(c.nodes); !c.closed[number] {
			return c.configs[number].ClientAddress
		}
	}
	return ""
}

// waitTimeout bounds each wait. It is long because everything takes longer on a busy machine.
const waitTimeout = 30 * time.Second

// waitUntil waits until the condition holds. After waitTimeout it fails the test with the description.
func (c *testCluster) waitUntil(description string, condition func() bool) {
	c.t.Helper()
	clock := clockwork.NewRealClock()
	for begun := clock.Now(); clock.Since(begun) < waitTimeout; clock.Sleep(30 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.t.Fatalf("not within %v: %s", waitTimeout, description)
}

// submit submits a job to one node after another until it is accepted.
func (c *testCluster) submit(id string, work standin.Work, phases ...standin.Phase) {
	c.t.Helper()
	try := 0
	c.waitUntil("job "+id+" is accepted", func() bool {
		try++
		status, err := c.client.Submit(context.Background(), c.clientAddress(try), testHost, testPrefix+id, work, phases...)
		return err == nil && status == http.StatusOK
	})
}

// jobState returns the state of a job as some node reports it, or an empty string if it reports none.
func (c *testCluster) jobState(id string) string {
	_, state, err := c.client.State(context.Background(), c.clientAddress(0), testHost, testPrefix+id)
	if err != nil {
		return ""
	}
	return state
}

// cellOwner returns the index of the node that owns a cell, or -1 if no running node does.
func (c *testCluster) cellOwner(cell string) int {
	for number, node := range c.nodes {
		if c.closed[number] {
			continue
		}
		if _, here := node.node.LocalOwner(cell); here {
			return number
		}
	}
	return -1
}

// killNode closes a node without a handover of its cells, as if it had crashed.
func (c *testCluster) killNode(number int) {
	c.closed[number] = true
	assert.Check(c.t, c.nodes[number].Close())
}

// jobID returns the ID of the numbered job.
func jobID(number int) string {
	return fmt.Sprintf("%016x", number+1)
}

// TestSubmittedJobCompletes runs a job of two phases in sequence. Every node reports it as completed.
func TestSubmittedJobCompletes(t *testing.T) {
	c := newCluster(t, 3)
	c.submit(jobID(0), standin.Work{Ms: 50}, standin.Phase{Count: 3, MilliCPU: 1000, MemoryMB: 100, EstimatedMs: 50}, standin.Phase{Count: 2, MilliCPU: 1000, MemoryMB: 100, DependsOn: []int{0}})
	c.waitUntil("the job is completed", func() bool { return c.jobState(jobID(0)) == "completed" })

	for number := range c.nodes {
		status, state, err := c.client.State(context.Background(), c.clientAddress(number), testHost, testPrefix+jobID(0))
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, state, "completed")
	}
	status, _, err := c.client.State(context.Background(), c.clientAddress(1), testHost, testPrefix+jobID(99))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusGone, "a job that was never submitted")
}

// TestInvalidRequestsAreRejectedAndNothingIsKept sends malformed and oversized requests, and others.
func TestInvalidRequestsAreRejectedAndNothingIsKept(t *testing.T) {
	c := newCluster(t, 1)
	c.submit(jobID(0), standin.Work{Ms: 10}, standin.Phase{Count: 1})
	ctx := context.Background()
	for name, test := range map[string]struct {
		method, host, path, body string
		status                   int
	}{
		"an unknown queue":         {http.MethodPost, "other.example", testPrefix + jobID(1), `{"spec":"","phases":[{"count":1}]}`, http.StatusNotFound},
		"a malformed body":         {http.MethodPost, testHost, testPrefix + jobID(1), `{"spec":`, http.StatusBadRequest},
		"a job without phases":     {http.MethodPost, testHost, testPrefix + jobID(1), `{"spec":"x","phases":[]}`, http.StatusBadRequest},
		"a cycle of phases":        {http.MethodPost, testHost, testPrefix + jobID(1), `{"spec":"x","phases":[{"count":1,"depends_on":[1]},{"count":1,"depends_on":[0]}]}`, http.StatusBadRequest},
		"a phase that isn't there": {http.MethodPost, testHost, testPrefix + jobID(1), `{"spec":"x","phases":[{"count":1,"depends_on":[7]}]}`, http.StatusBadRequest},
		"an oversized spec":        {http.MethodPost, testHost, testPrefix + jobID(1), `{"spec":"` + textOfLength(5000) + `","phases":[{"count":1}]}`, http.StatusBadRequest},
		"an oversized body":        {http.MethodPost, testHost, testPrefix + jobID(1), `{"spec":"` + textOfLength(300_000) + `","phases":[{"count":1}]}`, http.StatusBadRequest},
		"an unknown job":           {http.MethodDelete, testHost, testPrefix + jobID(1), "", http.StatusGone},
	} {
		status, body, err := c.client.Do(ctx, test.method, c.clientAddress(0), test.host, test.path, []byte(test.body))
		assert.NilError(t, err)
		assert.Equal(t, status, test.status, "%s: %s", name, body)
	}
	status, _, err := c.client.State(ctx, c.clientAddress(0), testHost, testPrefix+jobID(1))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusGone, "no rejected job is kept")
}

func textOfLength(length int) string {
	letters := make([]byte, length)
	for i := range letters {
		letters[i] = 'x'
	}
	return string(letters)
}

// TestAnotherNodeTakesOverFromKilledOwner kills a cell's owner while a job runs, and then submits
// another job. Both jobs are completed.
func TestAnotherNodeTakesOverFromKilledOwner(t *testing.T) {
	c := newCluster(t, 3)
	c.submit(jobID(0), standin.Work{Ms: 1500}, standin.Phase{Count: 4, MilliCPU: 1000, EstimatedMs: 1500}, standin.Phase{Count: 1, DependsOn: []int{0}})
	c.waitUntil("the job runs", func() bool { return len(c.platform.CountRuns(jobID(0))) == 4 })
	c.killNode(c.cellOwner("runs"))

	c.submit(jobID(1), standin.Work{Ms: 20}, standin.Phase{Count: 1})
	c.waitUntil("both jobs are completed", func() bool { return c.jobState(jobID(0)) == "completed" && c.jobState(jobID(1)) == "completed" })
}

// TestAcceptedJobsSurviveRestartOfAllNodes kills all nodes at once and starts them again.
func TestAcceptedJobsSurviveRestartOfAllNodes(t *testing.T) {
	c := newCluster(t, 2)
	for number := range 5 {
		c.submit(jobID(number), standin.Work{Ms: 400}, standin.Phase{Count: 2, MilliCPU: 500, EstimatedMs: 400}, standin.Phase{Count: 1, DependsOn: []int{0}})
	}
	for number := range c.nodes {
		c.killNode(number)
	}
	for number := range c.nodes {
		c.startNode(number)
	}
	for number := range 5 {
		c.waitUntil("the job is completed", func() bool { return c.jobState(jobID(number)) == "completed" })
	}
}

// TestJobCompletesAfterPlannedStopOfItsOwner stops the owner of a cell while a job runs.
func TestJobCompletesAfterPlannedStopOfItsOwner(t *testing.T) {
	c := newCluster(t, 2)
	c.submit(jobID(0), standin.Work{Ms: 600}, standin.Phase{Count: 2, MilliCPU: 500, EstimatedMs: 600})
	leaving := c.cellOwner("runs")
	c.closed[leaving] = true
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	assert.NilError(t, c.nodes[leaving].Stop(ctx))
	c.waitUntil("the job is completed", func() bool { return c.jobState(jobID(0)) == "completed" })
}

// TestAcceptedJobsSurviveStoreFaults makes the store refuse all calls, then leave all calls unanswered,
// and then leave only writes unanswered. At the end the store's history expires.
func TestAcceptedJobsSurviveStoreFaults(t *testing.T) {
	c := newCluster(t, 2)
	c.submit(jobID(0), standin.Work{Ms: 10}, standin.Phase{Count: 1})
	for number, fault := range []standin.StoreFault{standin.FaultBusy, standin.FaultSilent, standin.FaultLostResponses} {
		job := jobID(10 + number)
		c.submit(job, standin.Work{Ms: 300}, standin.Phase{Count: 2, MilliCPU: 500, EstimatedMs: 300}, standin.Phase{Count: 1, DependsOn: []int{0}})
		c.platform.SetStoreFault(fault)
		clockwork.NewRealClock().Sleep(1500 * time.Millisecond)
		c.platform.SetStoreFault(standin.FaultNone)
		c.waitUntil("the job is completed", func() bool { return c.jobState(job) == "completed" })
	}
	c.platform.ExpireHistory()
	c.submit(jobID(20), standin.Work{Ms: 10}, standin.Phase{Count: 1})
	c.waitUntil("the job submitted after the history expired is completed", func() bool { return c.jobState(jobID(20)) == "completed" })
}

// TestLongRunningJobRunsUntilCancelled cancels a long-running job after it survived endpoint crashes.
func TestLongRunningJobRunsUntilCancelled(t *testing.T) {
	c := newCluster(t, 2)
	c.submit(jobID(0), standin.Work{}, standin.Phase{Count: 2, MilliCPU: 500, LongRunning: true, MaxMissing: 1, MaxPerBox: 1})
	c.waitUntil("the job runs", func() bool { return len(c.platform.CountRuns(jobID(0))) == 2 })
	for _, box := range c.platform.Boxes()[:2] {
		c.platform.CrashEndpoint(box, 300*time.Millisecond)
	}
	c.waitUntil("no task of it runs after the crashes", func() bool { return len(c.platform.CountRuns(jobID(0))) == 0 })
	c.waitUntil("the job runs again", func() bool { return len(c.platform.CountRuns(jobID(0))) == 2 })

	c.waitUntil("the job is cancelled", func() bool {
		status, _, err := c.client.Do(context.Background(), http.MethodDelete, c.clientAddress(1), testHost, testPrefix+jobID(0), nil)
		return err == nil && status == http.StatusOK
	})
	c.waitUntil("no task of it runs", func() bool { return len(c.platform.CountRuns(jobID(0))) == 0 })
	assert.Equal(t, c.jobState(jobID(0)), "cancelled")
}

// TestJobFailsAfterMaxAttempts submits a job whose task fails in each attempt.
func TestJobFailsAfterMaxAttempts(t *testing.T) {
	c := newCluster(t, 1)
	c.submit(jobID(0), standin.Work{Ms: 20, Fail: true}, standin.Phase{Count: 1})
	c.waitUntil("the job has failed", func() bool { return c.jobState(jobID(0)) == "failed" })
}

// TestWaveCompletesAndBoxesMoveToWhereTheWorkIs maintains all boxes in a wave, whose completion the
// operator learns. Then powered-off boxes move to a pool with more work than its own boxes can run.
func TestWaveCompletesAndBoxesMoveToWhereTheWorkIs(t *testing.T) {
	c := newCluster(t, 2)
	c.submit(jobID(0), standin.Work{}, standin.Phase{Count: 1, MilliCPU: 500, LongRunning: true, MaxMissing: 1})
	assert.NilError(t, c.platform.PutWave(1, c.platform.Boxes(), 10*time.Second, 2))
	c.waitUntil("the wave is completed", func() bool { return c.platform.StatusRecord("wave/1") == `{"state":"completed"}` })
	c.waitUntil("the long-running task runs", func() bool { return len(c.platform.CountRuns(jobID(0))) == 1 })

	// Enough work for twelve boxes in a pool that has two.
	var group errgroup.Group
	for number := range 12 {
		group.Go(func() error {
			c.submit(jobID(100+number), standin.Work{Ms: 800}, standin.Phase{Count: 8, MilliCPU: 1000, EstimatedMs: 800})
			return nil
		})
	}
	assert.NilError(t, group.Wait())
	c.waitUntil("powered-off boxes have moved to the pool", func() bool { return c.platform.CountBoxesUp("runs") >= 4 })
	for number := range 12 {
		c.waitUntil("the job is completed", func() bool { return c.jobState(jobID(100+number)) == "completed" })
	}
}

// TestNewestConfigurationComesIntoForce replaces the only queue by another one. All nodes serve the
// new queue and refuse calls on the old one, even after an older configuration has arrived late.
func TestNewestConfigurationComesIntoForce(t *testing.T) {
	c := newCluster(t, 2)
	c.submit(jobID(0), standin.Work{Ms: 10}, standin.Phase{Count: 1})
	assert.NilError(t, c.platform.PutConfiguration(2, standin.Queue{Name: "other", Host: testHost, PathPrefix: "/other/", Pool: "runs", MaxAttempts: 3}))
	for number := range c.nodes {
		c.waitUntil("calls on the removed queue are refused", func() bool {
			status, _, err := c.client.State(context.Background(), c.clientAddress(number), testHost, testPrefix+jobID(0))
			return err == nil && status == http.StatusNotFound
		})
		c.waitUntil("calls on the new queue are served", func() bool {
			status, body, err := c.client.Do(context.Background(), http.MethodGet, c.clientAddress(number), testHost, "/other/", nil)
			return err == nil && status == http.StatusOK && string(body) == `{"pending":0}`
		})
	}
	// An older configuration that arrives late changes nothing.
	assert.NilError(t, c.platform.PutConfiguration(1, standin.Queue{Name: "payslips", Host: testHost, PathPrefix: testPrefix, Pool: "runs", MaxAttempts: 3}))
	clockwork.NewRealClock().Sleep(time.Second)
	status, _, err := c.client.State(context.Background(), c.clientAddress(0), testHost, testPrefix+jobID(0))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusNotFound)
}
