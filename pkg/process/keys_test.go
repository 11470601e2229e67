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

// Keys of the customers of these stories.
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

// newKeyedStory returns nodes whose operator names two customers.
func newKeyedStory(t *testing.T, nodes int) *story {
	s := newStory(t, nodes)
	s.client = s.client.WithKey(bakeryKey)
	s.customers(2, []string{bakeryKey}, []string{millKey})
	s.until("all nodes have the configuration", func() bool {
		for number := range s.nodes {
			if status := s.submitAt(number, s.client.WithKey(millKey), "probe", oneTask); status == http.StatusUnauthorized || status == 0 {
				return false
			}
		}
		return true
	})
	return s
}

// customers puts a configuration with keys of two customers in force.
func (s *story) customers(version int, bakery, mill []string) {
	s.t.Helper()
	s.platform.SetCustomers(standin.Customer{Name: "bakery", Keys: bakery}, standin.Customer{Name: "mill", Keys: mill})
	assert.NilError(s.t, s.platform.PutConfiguration(version, payslips, notices))
}

// submitAt hands a job in at one node, once, and returns the answer's status, 0 for none.
func (s *story) submitAt(number int, client *standin.Client, id string, phase standin.Phase) int {
	status, err := client.Submit(context.Background(), s.configs[number].ClientAddress, testHost, testPrefix+id, standin.Work{Ms: 50}, phase)
	if err != nil {
		return 0
	}
	return status
}

// statusOf makes a call on a job at one node and returns the answer's status and body.
func (s *story) statusOf(number int, client *standin.Client, method, path string) (int, string) {
	s.t.Helper()
	status, body, err := client.Do(context.Background(), method, s.configs[number].ClientAddress, testHost, path, nil)
	assert.NilError(s.t, err)
	return status, string(body)
}

// TestACallNeedsAKeyThatIsInForce at every node, whoever owns the cell. Without one nothing is
// read of the job, and the answer doesn't tell what is wrong with the key.
func TestACallNeedsAKeyThatIsInForce(t *testing.T) {
	s := newKeyedStory(t, 3)
	s.submit(id(0), standin.Work{Ms: 50}, oneTask)
	for number := range s.nodes {
		answers := map[string]bool{}
		for _, key := range []string{"", strangerKey, strings.Repeat("x", 5000), bakeryKey + "x", bakeryKey[1:]} {
			client := s.client.WithKey(key)
			for _, method := range []string{http.MethodGet, http.MethodDelete, http.MethodPost} {
				status, body := s.statusOf(number, client, method, testPrefix+id(0))
				assert.Equal(t, status, http.StatusUnauthorized, "%s with %q", method, key)
				answers[body] = true
			}
			status, _ := s.statusOf(number, client, http.MethodGet, testPrefix)
			assert.Equal(t, status, http.StatusUnauthorized)
		}
		assert.Equal(t, len(answers), 1, "%v", answers)
		assert.Equal(t, s.submitAt(number, s.client.WithKey(millKey), id(10+number), oneTask), http.StatusOK)
		status, _ := s.statusOf(number, s.client.WithKey("x"), http.MethodGet, "/notices/"+id(0))
		assert.Equal(t, status, http.StatusOK, "a public queue asks for none, whatever the header holds")
	}
}

// TestAJobIsItsCustomers: another one's key doesn't see it, doesn't cancel it and doesn't get
// its ID, and the answers are those on a job that nobody has handed in.
func TestAJobIsItsCustomers(t *testing.T) {
	s := newKeyedStory(t, 2)
	s.submit(id(0), standin.Work{Ms: 1500}, oneTask)
	mill := s.client.WithKey(millKey)
	for number := range s.nodes {
		for _, method := range []string{http.MethodGet, http.MethodDelete} {
			status, body := s.statusOf(number, mill, method, testPrefix+id(0))
			unknown, unknownBody := s.statusOf(number, mill, method, testPrefix+id(99))
			assert.Equal(t, status, http.StatusGone, method)
			assert.Equal(t, status, unknown)
			assert.Equal(t, body, unknownBody)
		}
		assert.Equal(t, s.submitAt(number, mill, id(0), oneTask), http.StatusServiceUnavailable)
	}
	s.until("it is completed", func() bool { return s.state(id(0)) == "completed" })
	status, _ := s.statusOf(0, mill, http.MethodGet, testPrefix+id(0))
	assert.Equal(t, status, http.StatusGone, "also once it has ended")
}

// TestAKeyThatIsTakenAway: its calls are turned away, what it has handed in runs on, and the
// customer's new key leads to it, also at the next owner of its cell.
func TestAKeyThatIsTakenAway(t *testing.T) {
	s := newKeyedStory(t, 3)
	s.submit(id(0), standin.Work{Ms: 3000}, oneTask)
	s.customers(3, []string{bakeryNewKey}, []string{millKey})
	old := s.client
	s.client = old.WithKey(bakeryNewKey)
	s.until("the old key is turned away everywhere, and the new one isn't", func() bool {
		for number := range s.nodes {
			if status, _ := s.statusOf(number, old, http.MethodGet, testPrefix+id(0)); status != http.StatusUnauthorized {
				return false
			}
			if status, _ := s.statusOf(number, s.client, http.MethodGet, testPrefix+id(0)); status != http.StatusOK {
				return false
			}
		}
		return true
	})
	owner := s.ownerOf("runs")
	s.kill(owner)
	s.until("it is completed under the next owner", func() bool { return s.state(id(0)) == "completed" })
	assert.Equal(t, s.platform.CountStarts(id(0))[id(0)+".0.0.0"], 1, "it has run on")

	s.customers(4, nil, []string{millKey})
	s.until("a customer without keys is turned away", func() bool {
		status, _, err := s.client.State(context.Background(), s.address(0), testHost, testPrefix+id(0))
		return err == nil && status == http.StatusUnauthorized
	})
}

// TestAForwardedCallBringsItsKey: the word of whoever calls a node's port isn't enough.
func TestAForwardedCallBringsItsKey(t *testing.T) {
	s := newKeyedStory(t, 1)
	s.submit(id(0), standin.Work{Ms: 50}, oneTask)
	peer := call.New(s.configs[0].CallAddress, s.dial, clockwork.NewRealClock())
	defer peer.Close()
	ctx, cancel := context.WithTimeout(context.Background(), storyTime)
	defer cancel()
	for what, args := range map[string]wire.JobArgs{
		"no key":                    {Customer: "bakery"},
		"the digest of another one": {Customer: "bakery", Key: "AAAAAAAAAAAAAAAAAAAAAA"},
		"no customer":               {},
		"as if public":              {Customer: "bakery", Public: true},
		"by a later configuration":  {Customer: "bakery", ConfigVersion: 99},
	} {
		args.Cell, args.Queue, args.Id = "runs", "payslips", id(0)
		for _, method := range []string{".Show", ".Cancel", ".Submit"} {
			var reply wire.JobReply
			args.Spec = &wire.JobSpec{Phases: []wire.Phase{{Count: 1}}}
			assert.NilError(t, peer.Do(ctx, intake.ServiceName+method, args, &reply))
			if args.ConfigVersion > 2 {
				assert.Equal(t, reply.Outcome, wire.JobOutcomeRefused, "%s: %s", what, method)
				continue
			}
			assert.Equal(t, reply.Outcome, wire.JobOutcomeUnauthorized, "%s: %s", what, method)
		}
	}
}

// TestWithoutWordOfTheKeys a node goes on by what it knows, or refuses calls where it is told to.
func TestWithoutWordOfTheKeys(t *testing.T) {
	for name, closed := range map[string]bool{"goes on": false, "refuses": true} {
		t.Run(name, func(t *testing.T) {
			s := newStory(t, 0)
			s.keyTimeMs, s.closesWithoutWord = 700, closed
			s.start(0)
			s.client = s.client.WithKey(bakeryKey)
			s.customers(2, []string{bakeryKey}, []string{millKey})
			s.submit(id(0), standin.Work{Ms: 50}, oneTask)
			s.platform.SetStoreFault(standin.FaultBusy)
			want := http.StatusOK
			if closed {
				want = http.StatusServiceUnavailable
			}
			s.until("it is so", func() bool {
				status, _ := s.statusOf(0, s.client, http.MethodGet, testPrefix+id(0))
				return status == want
			})
			clockwork.NewRealClock().Sleep(time.Second)
			status, _ := s.statusOf(0, s.client, http.MethodGet, testPrefix+id(0))
			assert.Equal(t, status, want)
			s.platform.SetStoreFault(standin.FaultNone)
			s.until("calls are taken again", func() bool {
				status, _ := s.statusOf(0, s.client, http.MethodGet, testPrefix+id(0))
				return status == http.StatusOK
			})
		})
	}
}

// output collects what nodes write.
type output struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (o *output) Write(text []byte) (int, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.Write(text)
}

func (o *output) String() string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.String()
}

// TestNoKeyIsTold in logs, counters, records or answers.
func TestNoKeyIsTold(t *testing.T) {
	s := newStory(t, 0)
	logs := &output{}
	s.logger = logrus.New()
	s.logger.SetLevel(logrus.DebugLevel)
	s.logger.SetOutput(logs)
	for number := range 2 {
		s.start(number)
	}
	s.client = s.client.WithKey(bakeryKey)
	s.customers(2, []string{bakeryKey, ""}, []string{millKey, bakeryNewKey})
	s.submit(id(0), standin.Work{Ms: 50}, oneTask)
	answers := &output{}
	for number := range s.nodes {
		for _, key := range []string{bakeryKey, millKey, strangerKey} {
			for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
				_, body := s.statusOf(number, s.client.WithKey(key), method, testPrefix+id(number))
				_, _ = answers.Write([]byte(body))
			}
		}
	}
	// A configuration that can't be decoded, and a key of two customers.
	s.platform.PutInvalidConfiguration(3, "bakery", bakeryKey)
	s.customers(4, []string{bakeryKey, bakeryNewKey}, []string{millKey, bakeryNewKey})
	s.until("that is logged", func() bool { return strings.Contains(logs.String(), "neither's") })
	var counters string
	for number := range s.nodes {
		response, err := http.Get("http://" + s.configs[number].DebugAddress + "/debug/vars")
		assert.NilError(t, err)
		text, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		counters += string(text)
	}
	assert.Assert(t, strings.Contains(counters, "calls_unauthorized"))
	for where, text := range map[string]string{"logs": logs.String(), "counters": counters, "records": s.platform.Dump(), "answers": answers.String()} {
		assert.Assert(t, text != "", where)
		for _, key := range []string{bakeryKey, bakeryNewKey, millKey, strangerKey} {
			assert.Assert(t, !strings.Contains(text, key), "%s hold the key %s", where, key)
		}
	}
}
