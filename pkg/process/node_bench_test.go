package process

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"damsonwinch/platform/standin"
)

// BenchmarkNode has one node start tasks on 200 boxes, from the client's call to the endpoints. A
// profile with -cpuprofile shows the stand-in platform separately from the node.
func BenchmarkNode(b *testing.B) {
	const boxes, tasks = 200, 13
	platform, err := standin.New(standin.Options{
		Clock: clockwork.NewRealClock(), Pools: []standin.Pool{{Name: "runs", Boxes: boxes}},
		BoxMilliCPU: 32000, BoxMemoryMB: 64000, MoveTime: time.Second, MaintainTime: time.Second,
		MaxLease: 10 * time.Second, StopTime: 50 * time.Millisecond, HeartbeatInterval: time.Second,
	})
	assert.NilError(b, err)
	defer func() { assert.NilError(b, platform.Close()) }()
	assert.NilError(b, platform.PutConfiguration(1, standin.Queue{Name: "payslips", Host: testHost, PathPrefix: testPrefix, Pool: "runs", MaxAttempts: 3}))
	node, address := startBenchNode(b, platform)
	defer func() { assert.NilError(b, node.Close()) }()
	client := standin.NewClient()
	work, phase := standin.Work{Ms: 300}, standin.Phase{Count: tasks, MilliCPU: 2000, MemoryMB: 1000, EstimatedMs: 300}
	clock := clockwork.NewRealClock()
	for status := 0; status != http.StatusOK; clock.Sleep(100 * time.Millisecond) {
		status, _ = client.Submit(context.Background(), address, testHost, testPrefix+"00000000000000aa", work, phase)
	}
	var number atomic.Int64
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			path := testPrefix + fmt.Sprintf("%016x", 1000+number.Add(1))
			if _, err := client.Submit(context.Background(), address, testHost, path, work, phase); err != nil {
				b.Error(err)
				return
			}
			for state := ""; state != "completed"; clock.Sleep(200 * time.Millisecond) {
				_, state, _ = client.State(context.Background(), address, testHost, path)
			}
		}
	})
	b.ReportMetric(tasks, "tasks/op")
}

// startBenchNode starts a node and returns it with the address at which it serves clients.
func startBenchNode(b *testing.B, platform *standin.Platform) (*Node, string) {
	cluster := &testCluster{platform: platform}
	config := cluster.nodeSettings(b, 0)
	logger := logrus.New()
	logger.SetLevel(logrus.ErrorLevel)
	node, err := NewNode(config, Env{Clock: clockwork.NewRealClock(), Dial: (&net.Dialer{Timeout: time.Second}).DialContext, Logger: logger, OnViolation: func(string, string) {}})
	assert.NilError(b, err)
	return node, config.ClientAddress
}
