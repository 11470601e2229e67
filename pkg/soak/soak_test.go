package soak

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

const (
	loadTime = 25 * time.Second
	// quietTime is how long nodes and endpoints run on without faults and calls. It is enough for
	// mustHaveEndedBy.
	quietTime = contactTime + cancelTime + stopTime + time.Second
)

// TestRulesHoldForNodeProcesses guards against tasks of cancelled jobs that start after all, and against
// lost jobs, wrong orders and second runs. A frozen node that continues answers from what it knew
// before and carries out what its connections hold, which no test within one process shows.
// DAMSONWINCH_FIRST_SEED and DAMSONWINCH_SEEDS choose the seeds.
func TestRulesHoldForNodeProcesses(t *testing.T) {
	program := buildProgram(t)
	first, count := environmentNumber(t, "DAMSONWINCH_FIRST_SEED"), environmentNumber(t, "DAMSONWINCH_SEEDS")
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { playSeed(t, program, seed) })
	}
}

// environmentNumber returns the number in an environment variable, or 1 if that is not set.
func environmentNumber(t *testing.T, name string) uint64 {
	text := os.Getenv(name)
	if text == "" {
		return 1
	}
	number, err := strconv.ParseUint(text, 10, 64)
	assert.NilError(t, err)
	return number
}

// playSeed plays the load and the faults of a seed and checks the rules.
func playSeed(t *testing.T, program string, seed uint64) {
	c := newCluster(t, program, seed)
	l, p := newLoad(c), &faultPlayer{cluster: c}
	defer l.close()
	begunAt := c.clock.Now()
	var group errgroup.Group
	group.Go(func() error { return p.run(loadTime) })
	l.run(loadTime)
	assert.NilError(t, group.Wait())
	c.clock.Sleep(quietTime)
	for _, n := range c.nodes {
		assert.NilError(t, n.checkRunning())
		c.waitUntilReady(t, n)
	}
	l.askAll()

	e := &evidence{jobs: map[string]*job{}, starts: c.platform.Starts(), faults: p.faults, endedAt: c.clock.Now()}
	for _, j := range l.jobs {
		e.jobs[j.id] = j
	}
	summary := e.summary()
	t.Log(summary)
	found := e.violations()
	record := e.record(begunAt)
	writeRecord(t, filepath.Join(c.nodes[0].folder, "record.txt"), record)
	for _, v := range found {
		t.Errorf("seed %d: %s: %s", seed, v.rule, v.text)
	}
	printRecord(t, record, found)
}

// summary returns the numbers of what was played. All of them are above zero in a useful test.
func (e *evidence) summary() string {
	accepted, cancelled := 0, 0
	for _, j := range e.jobs {
		if j.isAccepted() {
			accepted++
		}
		if j.cancelCall() != nil {
			cancelled++
		}
	}
	return fmt.Sprintf("%d jobs, %d accepted, %d cancelled, %d orders to start tasks, %d faults", len(e.jobs), accepted, cancelled, len(e.starts), len(e.faults))
}

// event is a line of the record of a test. The job is empty if the event concerns all jobs.
type event struct {
	at        time.Time
	job, text string
}

// record returns all calls, orders and faults as lines in the order of time, with seconds since the
// given time.
func (e *evidence) record(begunAt time.Time) []event {
	var events []event
	for _, f := range e.faults {
		events = append(events, event{at: f.from, text: fmt.Sprintf("fault: %s, until %.3f", f.text, f.until.Sub(begunAt).Seconds())})
	}
	for _, j := range e.jobs {
		for _, c := range j.calls {
			events = append(events, event{at: c.sentAt, job: j.id, text: fmt.Sprintf("%s %s at node-%d: %d at %.3f", c.method, j.id, c.node, c.status, c.answeredAt.Sub(begunAt).Seconds())})
		}
	}
	for _, s := range e.starts {
		text := fmt.Sprintf("start of %s attempt %d on %s, token %d, checkpoint %q, began %v", s.Task, s.Attempt, s.Endpoint, s.Token, s.Checkpoint, s.Began)
		if s.Ending != "" {
			text += fmt.Sprintf(", %s at %.3f", s.Ending, s.EndedAt.Sub(begunAt).Seconds())
		}
		events = append(events, event{at: s.At, job: s.Job(), text: text})
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	for number, line := range events {
		events[number].text = fmt.Sprintf("%s %7.3f %s", line.at.UTC().Format("15:04:05.000"), line.at.Sub(begunAt).Seconds(), line.text)
	}
	return events
}

func writeRecord(t *testing.T, path string, record []event) {
	var text strings.Builder
	for _, line := range record {
		text.WriteString(line.text + "\n")
	}
	assert.NilError(t, os.WriteFile(path, []byte(text.String()), 0o600))
}

// maxPrintedJobs bounds the output of a test that fails for many jobs.
const maxPrintedJobs = 4

// printRecord prints the faults and what concerns the first jobs for which a rule has been broken.
func printRecord(t *testing.T, record []event, found []violation) {
	if len(found) == 0 {
		return
	}
	printed := map[string]bool{"": true}
	for _, v := range found {
		if len(printed) <= maxPrintedJobs {
			printed[v.job] = true
		}
	}
	for _, line := range record {
		if printed[line.job] {
			t.Log(line.text)
		}
	}
}
