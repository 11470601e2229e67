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

// slowLink dials connections on which so many bytes a second come in.
func slowLink(dial damsonwinch.Dial, bytesPerSecond int) damsonwinch.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &slowConn{Conn: conn, share: max(1, bytesPerSecond/sharesPerSecond)}, nil
	}
}

// sharesPerSecond is how often in a second a share of a slow link's bytes comes.
const sharesPerSecond = 50

type slowConn struct {
	net.Conn
	share int
}

func (c *slowConn) Read(into []byte) (int, error) {
	read, err := c.Conn.Read(into[:min(len(into), c.share)])
	if read == c.share {
		clockwork.NewRealClock().Sleep(time.Second / sharesPerSecond)
	}
	return read, err
}

// manyQueues returns a queue by a name, and as many others.
func manyQueues(name, prefix string, others int) []standin.Queue {
	queues := []standin.Queue{{Name: name, Host: testHost, PathPrefix: prefix, Pool: "runs", MaxAttempts: 3}}
	for number := range others {
		queues = append(queues, standin.Queue{
			Name: fmt.Sprintf("queue-%d", number), Host: "many.example", PathPrefix: fmt.Sprintf("/queue-%d/", number), Pool: "runs", MaxAttempts: 3,
		})
	}
	return queues
}

// The operator's configuration had grown by 1,400 queues three times. On most nodes, those
// with the slowest links, the newest one never came into force, and minutes later clients
// were still served by a queue that it had dropped.
//
// A reading was given so much time in all, however large its answer: 0.6 s beyond its wait,
// and after a failure, when it doesn't wait, 0.6 s. The record needed longer than that on
// a slow link, and each new reading began it anew. The links were full and the store had
// refused nothing; the bytes that had come before each reading was broken off proved it.
func TestALargeConfigurationComesThroughASlowLink(t *testing.T) {
	s := newStory(t, 1)
	const bytesPerSecond = 200_000
	s.dial = slowLink(s.dial, bytesPerSecond)
	s.start(1)
	s.until("the first configuration is in force", func() bool { return s.known(1, testPrefix) })

	// Some 600 KB, which take 3 s.
	assert.NilError(t, s.platform.PutConfiguration(2, manyQueues("other", "/other/", 3000)...))
	s.until("the new queue is known", func() bool { return s.known(1, "/other/") })
	assert.Assert(t, !s.known(1, testPrefix), "the dropped queue is unknown")
}

// known says whether a node takes calls on a queue.
func (s *story) known(number int, prefix string) bool {
	status, _, err := s.client.Do(context.Background(), http.MethodGet, s.address(number), testHost, prefix, nil)
	return err == nil && status == http.StatusOK
}

// A new owner whose link is slow reads the records of its cell page by page. A bound on
// all pages together, or on one page of some 270 KB, kept it from ever having them.
func TestACellIsTakenOverThroughASlowLink(t *testing.T) {
	s := newStory(t, 1)
	const bytesPerSecond, jobs = 200_000, 120
	var group errgroup.Group
	for number := range jobs {
		group.Go(func() error {
			s.submit(id(number), standin.Work{Ms: 10, Padding: text(3900)}, standin.Phase{Count: 1, MilliCPU: 1000, LongRunning: true, MayMiss: 1})
			return nil
		})
	}
	assert.NilError(t, group.Wait())
	s.dial = slowLink(s.dial, bytesPerSecond)
	s.start(1)
	s.until("the first configuration is in force", func() bool { return s.known(1, testPrefix) })
	s.kill(0)
	s.until("the last job is known", func() bool { return s.state(id(jobs-1)) == "running" || s.state(id(jobs-1)) == "queued" })
}
