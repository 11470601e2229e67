package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/platform/standin"
)

// nodeCount is the number of nodes. While one is frozen, its cells can pass on between the two others.
const nodeCount = 3

// cluster is a stand-in platform and the nodes that run against it.
type cluster struct {
	clock    damsonwinch.Clock
	seed     uint64
	platform *standin.Platform
	nodes    []*node
	queues   []standin.Queue
}

// newCluster starts a platform and nodes until the test ends, and waits until all nodes are ready.
func newCluster(t *testing.T, program string, seed uint64) *cluster {
	c := &cluster{clock: clockwork.NewRealClock(), seed: seed, queues: []standin.Queue{
		{Name: "payslips", Host: "queue.example", PathPrefix: "/payslips/", Pool: "runs", MaxAttempts: 3},
		{Name: "quotes", Host: "queue.example", PathPrefix: "/quotes/", Pool: "quotes", MaxAttempts: 3},
	}}
	platform, err := standin.New(standin.Options{
		Clock: c.clock, Pools: []standin.Pool{{Name: "runs", Boxes: 4}, {Name: "quotes", Boxes: 3}, {Name: "spare", Boxes: 1, PoweredOff: true}},
		BoxMilliCPU: 8000, BoxMemoryMB: 16000, MoveTime: moveTime, MaintainTime: 2 * time.Second, MaxLease: maxLease, StopTime: stopTime / 2,
		RestoreTime: restoreTime, HeartbeatInterval: time.Second, RecordStarts: true,
	})
	assert.NilError(t, err)
	c.platform = platform
	t.Cleanup(func() { assert.Check(t, platform.Close()) })
	assert.NilError(t, platform.PutConfiguration(1, c.queues...))
	folder := logFolder(t, seed)
	for number := range nodeCount {
		c.startNode(t, program, folder, fmt.Sprintf("node-%d", number))
	}
	for _, n := range c.nodes {
		c.waitUntilReady(t, n)
	}
	return c
}

// logFolder returns the folder for the nodes' logs, which is kept if DAMSONWINCH_LOGS is set.
func logFolder(t *testing.T, seed uint64) string {
	parent := os.Getenv("DAMSONWINCH_LOGS")
	if parent == "" {
		return t.TempDir()
	}
	folder := filepath.Join(parent, fmt.Sprintf("seed-%d", seed))
	assert.NilError(t, os.MkdirAll(folder, 0o755))
	return folder
}

// startNode starts another node for the first time. Its process is killed at the end of the test.
func (c *cluster) startNode(t *testing.T, program, folder, name string) {
	n := &node{program: program, clock: c.clock, folder: folder, config: nodeSettings(t, name)}
	n.config.Store, n.config.Boxes, n.config.Advice = c.platform.Addresses()
	c.nodes = append(c.nodes, n)
	t.Cleanup(func() {
		n.kill()
		assert.Check(t, n.group.Wait())
	})
	assert.NilError(t, n.start(true))
}

// readyTimeout bounds the wait for a node that has been started. It is long because everything takes
// longer on a busy machine.
const readyTimeout = 30 * time.Second

// waitUntilReady waits until a node calls itself ready.
func (c *cluster) waitUntilReady(t *testing.T, n *node) {
	for begun := c.clock.Now(); c.clock.Since(begun) < readyTimeout; c.clock.Sleep(100 * time.Millisecond) {
		if n.isReady() {
			return
		}
	}
	t.Fatalf("%s is not ready within %v", n.config.Node, readyTimeout)
}
