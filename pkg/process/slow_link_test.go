package process

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/platform/standin"
)

// throttle returns a Dial whose connections receive at most the given number of bytes per second.
func throttle(dial damsonwinch.Dial, bytesPerSecond int) damsonwinch.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &throttledConn{Conn: conn, bytesPerRead: max(1, bytesPerSecond/readsPerSecond)}, nil
	}
}

// readsPerSecond is the number of full reads of a throttledConn per second.
const readsPerSecond = 50

// throttledConn is a connection that limits the size and the rate of reads.
type throttledConn struct {
	net.Conn
	bytesPerRead int
}

func (c *throttledConn) Read(buffer []byte) (int, error) {
	read, err := c.Conn.Read(buffer[:min(len(buffer), c.bytesPerRead)])
	if read == c.bytesPerRead {
		clockwork.NewRealClock().Sleep(time.Second / readsPerSecond)
	}
	return read, err
}

// queuesWithOthers returns a queue with the given name and path prefix, followed by the given number
// of other queues.
func queuesWithOthers(name, prefix string, others int) []standin.Queue {
	queues := []standin.Queue{{Name: name, Host: testHost, PathPrefix: prefix, Pool: "runs", MaxAttempts: 3}}
	for number := range others {
		queues = append(queues, standin.Queue{
			Name: fmt.Sprintf("queue-%d", number), Host: "many.example", PathPrefix: fmt.Sprintf("/queue-%d/", number), Pool: "runs", MaxAttempts: 3,
		})
	}
	return queues
}

// The operator's configuration had grown by 1,400 queues three times. On the nodes with the slowest
// links, which were most nodes, the newest version never came into force. Minutes later they still
// served clients on a queue that this version had removed.
//
// A read of the store had a total timeout that did not depend on the size of its answer: 0.6 s more
// than the requested wait, and 0.6 s after a failure, when a read doesn't wait. The record took longer
// than that on a slow link, and each retry started again from its first byte. The links were saturated
// and the store had refused nothing, as the bytes received before each timeout showed.
func TestLargeConfigurationArrivesOverSlowLink(t *testing.T) {
	c := newCluster(t, 1)
	const bytesPerSecond = 200_000
	c.dial = throttle(c.dial, bytesPerSecond)
	c.startNode(1)
	c.waitUntil("the first configuration is in force", func() bool { return c.servesQueue(1, testPrefix) })

	// About 600 KB, which take 3 s.
	assert.NilError(t, c.platform.PutConfiguration(2, queuesWithOthers("other", "/other/", 3000)...))
	c.waitUntil("calls on the new queue are served", func() bool { return c.servesQueue(1, "/other/") })
	assert.Assert(t, !c.servesQueue(1, testPrefix), "calls on the removed queue are rejected")
}

// servesQueue reports whether a node accepts calls on the queue with the given path prefix.
func (c *testCluster) servesQueue(number int, prefix string) bool {
	status, _, err := c.client.Do(context.Background(), http.MethodGet, c.clientAddress(number), testHost, prefix, nil)
	return err == nil && status == http.StatusOK
}

// A new owner with a slow link reads the records of its cell page by page. With a timeout for all
// pages together, or for one page of about 270 KB, it never finished reading them.
func TestNodeWithSlowLinkTakesCellOver(t *testing.T) {
	c := newCluster(t, 1)
	const bytesPerSecond, jobs = 200_000, 120
	var group errgroup.Group
	for number := range jobs {
		group.Go(func() error {
			c.submit(jobID(number), standin.Work{Ms: 10, Padding: textOfLength(3900)}, standin.Phase{Count: 1, MilliCPU: 1000, LongRunning: true, MaxMissing: 1})
			return nil
		})
	}
	assert.NilError(t, group.Wait())
	c.dial = throttle(c.dial, bytesPerSecond)
	c.startNode(1)
	c.waitUntil("the first configuration is in force", func() bool { return c.servesQueue(1, testPrefix) })
	c.killNode(0)
	c.waitUntil("the new owner reports the last job", func() bool { return c.jobState(jobID(jobs-1)) == "running" || c.jobState(jobID(jobs-1)) == "queued" })
}
