package process

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"damsonwinch/platform/standin"
)

// addressScript plays the steps of a script on a cluster in which one address leads from pool to pool.
type addressScript struct {
	*testCluster
	version int
	phases  map[string]standin.Phase // By job.
}

// TestJobSentAgainRunsOnce guards against a second run of a job that its client sends again after its address was led to
// another pool: by a queue of another name, with a pause between, there and back, or to nodes that were started since.
func TestJobSentAgainRunsOnce(t *testing.T) {
	datadriven.Walk(t, "testdata/sent-again", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s := &addressScript{testCluster: newCluster(t, 3), version: 1, phases: map[string]standin.Phase{}}
			for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
				s.play(strings.Fields(line))
			}
			return s.countStarts()
		})
	})
}

// play plays a step, which is given by its words.
func (s *addressScript) play(words []string) {
	switch words[0] {
	case "accept": // accept short|long|quick
		s.accept(words[1])
	case "lead": // lead the address to POOL by queue NAME
		s.configure(standin.Queue{Name: words[2], Host: testHost, PathPrefix: testPrefix, Pool: words[1], MaxAttempts: 3})
	case "drop":
		s.configure()
	case "restart-all":
		for number := range s.nodes {
			s.killNode(number)
		}
		for number := range s.nodes {
			s.startNode(number)
		}
		s.waitUntilServed()
	case "restart-in-turn":
		for number := range s.nodes {
			s.killNode(number)
			s.startNode(number)
			s.waitUntilServed()
		}
	case "send-again":
		s.sendAgain()
	default:
		s.t.Fatalf("unknown step %q", words[0])
	}
}

// accept submits a job and waits until it runs, or, if it is quick, until it is completed.
func (s *addressScript) accept(kind string) {
	id := jobID(len(s.phases))
	phase, work := standin.Phase{Count: 1, MilliCPU: 500, EstimatedMs: 60_000}, standin.Work{Ms: 60_000}
	switch kind {
	case "long":
		phase, work = standin.Phase{Count: 1, MilliCPU: 500, LongRunning: true}, standin.Work{}
	case "quick":
		phase, work = standin.Phase{Count: 1, MilliCPU: 500, EstimatedMs: 20}, standin.Work{Ms: 20}
	}
	s.phases[id] = phase
	s.submit(id, work, phase)
	if kind == "quick" {
		s.waitUntil("the quick job is completed", func() bool { return s.jobState(id) == "completed" })
		return
	}
	s.waitUntil("the job runs", func() bool { return len(s.platform.CountRuns(id)) == 1 })
}

// configure writes a configuration with some queues and one more that shows whether it is in force, and waits for that.
func (s *addressScript) configure(queues ...standin.Queue) {
	s.version++
	assert.NilError(s.t, s.platform.PutConfiguration(s.version, append(queues, s.marker())...))
	s.waitUntilServed()
}

// marker returns the queue that shows that the newest configuration is in force.
func (s *addressScript) marker() standin.Queue {
	return standin.Queue{Name: fmt.Sprintf("marker-%d", s.version), Host: testHost, PathPrefix: fmt.Sprintf("/marker-%d/", s.version), Pool: "runs"}
}

// waitUntilServed waits until all nodes serve by the newest configuration.
func (s *addressScript) waitUntilServed() {
	path := testPrefix
	if s.version > 1 {
		path = s.marker().PathPrefix
	}
	s.waitUntil("all nodes serve by the newest configuration", func() bool {
		for number := range s.nodes {
			if status, _ := s.callNode(number, s.client, http.MethodGet, path); status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// sendAgain has the clients send all jobs again, to each node.
func (s *addressScript) sendAgain() {
	for number := range s.nodes {
		for id, phase := range s.phases {
			s.waitUntil("job "+id+" is accepted again", func() bool { return s.submitOnce(number, s.client, id, phase) == http.StatusOK })
		}
	}
}

// countStarts returns how often the task of each job was started.
func (s *addressScript) countStarts() string {
	var lines strings.Builder
	for number := range len(s.phases) {
		// A job that was accepted twice is started within the time that another one takes.
		id := jobID(number)
		fmt.Fprintf(&lines, "job %d: %d\n", number, s.platform.CountStarts(id)[id+".0.0.0"])
	}
	return lines.String()
}
