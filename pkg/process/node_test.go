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

// story is a stand-in of the platform with nodes of ours.
type story struct {
	t        *testing.T
	platform *standin.Platform
	client   *standin.Client
	nodes    []*Node
	configs  []settings.Node
	closed   map[int]bool
	// dial is by what the nodes that are started next make connections.
	dial damsonwinch.Dial
	// slept is for how long each node's machine has been suspended, in nanoseconds.
	slept []*atomic.Int64
	// coreShare is the share of a core of the nodes that are started next.
	coreShare float64
	// keyTimeMs is for how long keys count without word of them, where nodes are told to refuse
	// calls then.
	keyTimeMs         int
	closesWithoutWord bool
	// logger is what the nodes that are started next log to; nil for one of errors only.
	logger *logrus.Logger
}

func newStory(t *testing.T, nodes int) *story {
	return newStoryOn(t, nodes, storyOptions())
}

func storyOptions() standin.Options {
	return standin.Options{
		Clock: clockwork.NewRealClock(), Pools: []standin.Pool{{Name: "runs", Boxes: 2}, {Name: "quotes", Boxes: 2}, {Name: "spare", Boxes: 2, PoweredOff: true}},
		BoxMilliCPU: 8000, BoxMemoryMB: 16000, MoveTime: 300 * time.Millisecond, MaintainTime: 300 * time.Millisecond,
		MaxLease: 3 * time.Second, StopTime: 50 * time.Millisecond, HeartbeatInterval: 200 * time.Millisecond,
	}
}

func newStoryOn(t *testing.T, nodes int, options standin.Options) *story {
	platform, err := standin.New(options)
	assert.NilError(t, err)
	s := &story{t: t, platform: platform, client: standin.NewClient(), closed: map[int]bool{}, coreShare: 1, dial: (&net.Dialer{Timeout: time.Second}).DialContext}
	assert.NilError(t, platform.PutConfiguration(1, standin.Queue{Name: "payslips", Host: testHost, PathPrefix: testPrefix, Pool: "runs", MaxAttempts: 3}))
	for number := range nodes {
		s.start(number)
	}
	t.Cleanup(func() {
		for number, node := range s.nodes {
			if !s.closed[number] {
				assert.Check(t, node.Close())
			}
		}
		assert.Check(t, platform.Close())
	})
	return s
}

// config returns the settings of a node.
func (s *story) config(t testing.TB, number int) settings.Node {
	store, boxes, advice := s.platform.Addresses()
	return settings.Node{
		Node: fmt.Sprintf("node-%d", number), Zone: "zone", ClientAddress: freeAddress(t), ReadyAddress: freeAddress(t),
		CallAddress: freeAddress(t), DebugAddress: freeAddress(t), Store: store, Boxes: boxes, Advice: advice,
		FirstStart: number < len(s.nodes), CoreShare: s.coreShare, MemoryMb: 256, GroupTtlMs: 700,
		Bounds: settings.Bounds{LeaseMostMs: 3000, StopMs: 50, DrainMs: 1000, KeepEndedS: 60, GraceS: 5, MoveS: 0.3, MaintainS: 0.3, RevokeMs: s.keyTimeMs, RevokeFailClosed: s.closesWithoutWord},
	}
}

// start starts a node, or one that was killed anew.
func (s *story) start(number int) {
	config := s.config(s.t, number)
	env := s.env()
	env.SuspendedTime = s.sleeping(number)
	node, err := NewNode(config, env)
	assert.NilError(s.t, err)
	if number < len(s.nodes) {
		s.nodes[number], s.configs[number], s.closed[number] = node, config, false
		return
	}
	s.nodes, s.configs = append(s.nodes, node), append(s.configs, config)
}

func (s *story) env() Env {
	logger := s.logger
	if logger == nil {
		logger = logrus.New()
		logger.SetLevel(logrus.ErrorLevel)
	}
	return Env{Clock: clockwork.NewRealClock(), Dial: s.dial, Logger: logger, OnViolation: func(string, string) {}}
}

// The ports of nodes lie below those that systems give to outgoing connections
// and to listeners without a port: such a one could take a port between the
// moment it was found free and the node's start.
const (
	firstPort = 12000
	portCount = 20000
)

// nextPort begins elsewhere in each process, so that two runs of the tests on a
// machine don't look at the same ports.
var nextPort = func() *atomic.Int64 {
	next := &atomic.Int64{}
	next.Store(int64(os.Getpid()) * 997)
	return next
}()

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

// address returns where a living node takes clients, another one for each try.
func (s *story) address(try int) string {
	for step := range s.nodes {
		if number := (try + step) % len(s.nodes); !s.closed[number] {
			return s.configs[number].ClientAddress
		}
	}
	return ""
}

// storyTime bounds each wait of a story; on a busy machine all takes longer.
const storyTime = 30 * time.Second

// until waits for something to become true.
func (s *story) until(what string, holds func() bool) {
	s.t.Helper()
	clock := clockwork.NewRealClock()
	for begun := clock.Now(); clock.Since(begun) < storyTime; clock.Sleep(30 * time.Millisecond) {
		if holds() {
			return
		}
	}
	s.t.Fatalf("not within %v: %s", storyTime, what)
}

// submit hands a job in until it is accepted, at one node after the other.
func (s *story) submit(id string, work standin.Work, phases ...standin.Phase) {
	s.t.Helper()
	try := 0
	s.until("job "+id+" is accepted", func() bool {
		try++
		status, err := s.client.Submit(context.Background(), s.address(try), testHost, testPrefix+id, work, phases...)
		return err == nil && status == http.StatusOK
	})
}

func (s *story) state(id string) string {
	_, state, err := s.client.State(context.Background(), s.address(0), testHost, testPrefix+id)
	if err != nil {
		return ""
	}
	return state
}

// ownerOf returns the number of the node that owns a cell, or -1.
func (s *story) ownerOf(cell string) int {
	for number, node := range s.nodes {
		if s.closed[number] {
			continue
		}
		if _, here := node.node.LocalOwner(cell); here {
			return number
		}
	}
	return -1
}

// kill ends a node as a crash does: nobody is told.
func (s *story) kill(number int) {
	s.closed[number] = true
	assert.Check(s.t, s.nodes[number].Close())
}

func id(number int) string {
	return fmt.Sprintf("%016x", number+1)
}

// TestAJobRunsFromTheClientToItsEnd through any node, phase after phase.
func TestAJobRunsFromTheClientToItsEnd(t *testing.T) {
	s := newStory(t, 3)
	s.submit(id(0), standin.Work{Ms: 50}, standin.Phase{Count: 3, MilliCPU: 1000, MemoryMB: 100, EstimatedMs: 50}, standin.Phase{Count: 2, MilliCPU: 1000, MemoryMB: 100, DependsOn: []int{0}})
	s.until("it is completed", func() bool { return s.state(id(0)) == "completed" })

	for number := range s.nodes {
		status, state, err := s.client.State(context.Background(), s.address(number), testHost, testPrefix+id(0))
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, state, "completed")
	}
	status, _, err := s.client.State(context.Background(), s.address(1), testHost, testPrefix+id(99))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusGone, "a job that nobody submitted")
}

// TestBadInputIsRefusedClearly and nothing of it is kept.
func TestBadInputIsRefusedClearly(t *testing.T) {
	s := newStory(t, 1)
	s.submit(id(0), standin.Work{Ms: 10}, standin.Phase{Count: 1})
	ctx := context.Background()
	for what, test := range map[string]struct {
		method, host, path, body string
		status                   int
	}{
		"an unknown queue":         {http.MethodPost, "other.example", testPrefix + id(1), `{"spec":"","phases":[{"count":1}]}`, http.StatusNotFound},
		"a malformed body":         {http.MethodPost, testHost, testPrefix + id(1), `{"spec":`, http.StatusBadRequest},
		"a job without phases":     {http.MethodPost, testHost, testPrefix + id(1), `{"spec":"x","phases":[]}`, http.StatusBadRequest},
		"a circle of phases":       {http.MethodPost, testHost, testPrefix + id(1), `{"spec":"x","phases":[{"count":1,"depends_on":[1]},{"count":1,"depends_on":[0]}]}`, http.StatusBadRequest},
		"a phase that isn't there": {http.MethodPost, testHost, testPrefix + id(1), `{"spec":"x","phases":[{"count":1,"depends_on":[7]}]}`, http.StatusBadRequest},
		"an oversized text":        {http.MethodPost, testHost, testPrefix + id(1), `{"spec":"` + text(5000) + `","phases":[{"count":1}]}`, http.StatusBadRequest},
		"an oversized body":        {http.MethodPost, testHost, testPrefix + id(1), `{"spec":"` + text(300_000) + `","phases":[{"count":1}]}`, http.StatusBadRequest},
		"an unknown job":           {http.MethodDelete, testHost, testPrefix + id(1), "", http.StatusGone},
	} {
		status, body, err := s.client.Do(ctx, test.method, s.address(0), test.host, test.path, []byte(test.body))
		assert.NilError(t, err)
		assert.Equal(t, status, test.status, "%s: %s", what, body)
	}
	status, _, err := s.client.State(ctx, s.address(0), testHost, testPrefix+id(1))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusGone, "nothing refused is kept")
}

func text(length int) string {
	letters := make([]byte, length)
	for i := range letters {
		letters[i] = 'x'
	}
	return string(letters)
}

// TestAKilledOwnerIsFollowed by another node, which goes on with the jobs.
func TestAKilledOwnerIsFollowed(t *testing.T) {
	s := newStory(t, 3)
	s.submit(id(0), standin.Work{Ms: 1500}, standin.Phase{Count: 4, MilliCPU: 1000, EstimatedMs: 1500}, standin.Phase{Count: 1, DependsOn: []int{0}})
	s.until("it runs", func() bool { return len(s.platform.CountRuns(id(0))) == 4 })
	s.kill(s.ownerOf("runs"))

	s.submit(id(1), standin.Work{Ms: 20}, standin.Phase{Count: 1})
	s.until("both are completed", func() bool { return s.state(id(0)) == "completed" && s.state(id(1)) == "completed" })
}

// TestEverythingKilledAtOnceComesBack with all that was accepted.
func TestEverythingKilledAtOnceComesBack(t *testing.T) {
	s := newStory(t, 2)
	for number := range 5 {
		s.submit(id(number), standin.Work{Ms: 400}, standin.Phase{Count: 2, MilliCPU: 500, EstimatedMs: 400}, standin.Phase{Count: 1, DependsOn: []int{0}})
	}
	for number := range s.nodes {
		s.kill(number)
	}
	for number := range s.nodes {
		s.start(number)
	}
	for number := range 5 {
		s.until("job is completed", func() bool { return s.state(id(number)) == "completed" })
	}
}

// TestAPlannedStopHandsOver and answers what is in flight.
func TestAPlannedStopHandsOver(t *testing.T) {
	s := newStory(t, 2)
	s.submit(id(0), standin.Work{Ms: 600}, standin.Phase{Count: 2, MilliCPU: 500, EstimatedMs: 600})
	leaving := s.ownerOf("runs")
	s.closed[leaving] = true
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	assert.NilError(t, s.nodes[leaving].Stop(ctx))
	s.until("it is completed", func() bool { return s.state(id(0)) == "completed" })
}

// TestTheLogMisbehaves: it is busy, silent, or loses its answers; nothing accepted
// is lost, and work goes on afterwards.
func TestTheLogMisbehaves(t *testing.T) {
	s := newStory(t, 2)
	s.submit(id(0), standin.Work{Ms: 10}, standin.Phase{Count: 1})
	for number, fault := range []standin.StoreFault{standin.FaultBusy, standin.FaultSilent, standin.FaultLostAnswers} {
		job := id(10 + number)
		s.submit(job, standin.Work{Ms: 300}, standin.Phase{Count: 2, MilliCPU: 500, EstimatedMs: 300}, standin.Phase{Count: 1, DependsOn: []int{0}})
		s.platform.SetStoreFault(fault)
		clockwork.NewRealClock().Sleep(1500 * time.Millisecond)
		s.platform.SetStoreFault(standin.FaultNone)
		s.until("job is completed", func() bool { return s.state(job) == "completed" })
	}
	s.platform.ExpireHistory()
	s.submit(id(20), standin.Work{Ms: 10}, standin.Phase{Count: 1})
	s.until("job after lost history", func() bool { return s.state(id(20)) == "completed" })
}

// TestACancelledJobIsGone and a lasting one runs until then, also through a crash.
func TestACancelledJobIsGone(t *testing.T) {
	s := newStory(t, 2)
	s.submit(id(0), standin.Work{}, standin.Phase{Count: 2, MilliCPU: 500, LongRunning: true, MayMiss: 1, MaxPerBox: 1})
	s.until("it runs", func() bool { return len(s.platform.CountRuns(id(0))) == 2 })
	for _, box := range s.platform.Boxes()[:2] {
		s.platform.CrashEndpoint(box, 300*time.Millisecond)
	}
	s.until("it is away", func() bool { return len(s.platform.CountRuns(id(0))) == 0 })
	s.until("it runs again", func() bool { return len(s.platform.CountRuns(id(0))) == 2 })

	s.until("it is cancelled", func() bool {
		status, _, err := s.client.Do(context.Background(), http.MethodDelete, s.address(1), testHost, testPrefix+id(0), nil)
		return err == nil && status == http.StatusOK
	})
	s.until("nothing of it runs", func() bool { return len(s.platform.CountRuns(id(0))) == 0 })
	assert.Equal(t, s.state(id(0)), "cancelled")
}

// TestAJobThatCannotBeDoneFails after its attempts.
func TestAJobThatCannotBeDoneFails(t *testing.T) {
	s := newStory(t, 1)
	s.submit(id(0), standin.Work{Ms: 20, Fail: true}, standin.Phase{Count: 1})
	s.until("it has failed", func() bool { return s.state(id(0)) == "failed" })
}

// TestAWaveIsDoneInTime and the operator is told; boxes go where the work is.
func TestAWaveIsDoneInTime(t *testing.T) {
	s := newStory(t, 2)
	s.submit(id(0), standin.Work{}, standin.Phase{Count: 1, MilliCPU: 500, LongRunning: true, MayMiss: 1})
	assert.NilError(t, s.platform.PutWave(1, s.platform.Boxes(), 10*time.Second, 2))
	s.until("the wave is completed", func() bool { return s.platform.StatusRecord("wave/1") == `{"state":"completed"}` })
	s.until("the lasting task runs", func() bool { return len(s.platform.CountRuns(id(0))) == 1 })

	// Twelve whole boxes of work in a pool that has two.
	var group errgroup.Group
	for number := range 12 {
		group.Go(func() error {
			s.submit(id(100+number), standin.Work{Ms: 800}, standin.Phase{Count: 8, MilliCPU: 1000, EstimatedMs: 800})
			return nil
		})
	}
	assert.NilError(t, group.Wait())
	s.until("parked boxes have come", func() bool { return s.platform.CountBoxesUp("runs") >= 4 })
	for number := range 12 {
		s.until("job is completed", func() bool { return s.state(id(100+number)) == "completed" })
	}
}

// TestAConfigurationIsInForceSoon and a dropped queue is unknown.
func TestAConfigurationIsInForceSoon(t *testing.T) {
	s := newStory(t, 2)
	s.submit(id(0), standin.Work{Ms: 10}, standin.Phase{Count: 1})
	assert.NilError(t, s.platform.PutConfiguration(2, standin.Queue{Name: "other", Host: testHost, PathPrefix: "/other/", Pool: "runs", MaxAttempts: 3}))
	for number := range s.nodes {
		s.until("the dropped queue is unknown", func() bool {
			status, _, err := s.client.State(context.Background(), s.address(number), testHost, testPrefix+id(0))
			return err == nil && status == http.StatusNotFound
		})
		s.until("the new one is known", func() bool {
			status, body, err := s.client.Do(context.Background(), http.MethodGet, s.address(number), testHost, "/other/", nil)
			return err == nil && status == http.StatusOK && string(body) == `{"pending":0}`
		})
	}
	// An older one that comes late changes nothing.
	assert.NilError(t, s.platform.PutConfiguration(1, standin.Queue{Name: "payslips", Host: testHost, PathPrefix: testPrefix, Pool: "runs", MaxAttempts: 3}))
	clockwork.NewRealClock().Sleep(time.Second)
	status, _, err := s.client.State(context.Background(), s.address(0), testHost, testPrefix+id(0))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusNotFound)
}
