package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"damsonwinch/platform/standin"
)

// Demand comes by turns: for the last burstTime of each turnTime, jobs arrive at about five times the
// mean rate, and before at a twentieth of it.
const (
	turnTime  = 8 * time.Second
	burstTime = 1600 * time.Millisecond
	burstGap  = 15 * time.Millisecond
	quietGap  = 100 * burstGap
)

// job is a job as its client knows it.
type job struct {
	id     string
	queue  standin.Queue
	work   standin.Work
	phases []standin.Phase
	calls  []call // In the order in which they were sent.
}

// call is a client's call on a job.
type call struct {
	method     string
	node       int
	sentAt     time.Time
	answeredAt time.Time
	status     int // 0 if there was no answer.
}

func (c call) isAccepted() bool {
	return c.method == http.MethodPost && c.status/100 == 2
}

func (c call) isCancelled() bool {
	return c.method == http.MethodDelete && (c.status/100 == 2 || c.status == http.StatusGone)
}

// spec returns the text that the endpoints must receive with each task of the job.
func (j *job) spec() (string, error) {
	text, err := json.Marshal(j.work)
	return string(text), err
}

func (j *job) isAccepted() bool {
	for _, c := range j.calls {
		if c.isAccepted() {
			return true
		}
	}
	return false
}

// load submits jobs to the nodes of a cluster.
type load struct {
	cluster *cluster
	clients []*standin.Client
	jobs    []*job
	group   errgroup.Group
}

// newLoad returns a load whose clients keep their connections. Some of them give up before a frozen
// node continues, others wait longer.
func newLoad(c *cluster) *load {
	l := &load{cluster: c}
	for _, timeout := range []time.Duration{700 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 5 * time.Second} {
		l.clients = append(l.clients, standin.NewPersistentClient(timeout))
	}
	return l
}

// run submits jobs for a duration and waits until the clients have made all of their calls.
func (l *load) run(duration time.Duration) {
	clock := l.cluster.clock
	for begun := clock.Now(); clock.Since(begun) < duration; {
		number := len(l.jobs)
		random := rand.New(rand.NewPCG(l.cluster.seed, uint64(number)))
		j := l.newJob(random, number)
		l.jobs = append(l.jobs, j)
		l.group.Go(func() error {
			l.play(j, random)
			return nil
		})
		clock.Sleep(gapAfter(clock.Since(begun)))
	}
	// The functions of the group return no errors.
	_ = l.group.Wait()
}

// gapAfter returns the time until the next job arrives.
func gapAfter(elapsed time.Duration) time.Duration {
	untilBurst := turnTime - burstTime - elapsed%turnTime
	if untilBurst > 0 {
		return min(quietGap, untilBurst)
	}
	return burstGap
}

// newJob returns a job of up to six phases, or a long-running one. Its spec is not like that of any
// other job.
func (l *load) newJob(random *rand.Rand, number int) *job {
	j := &job{id: fmt.Sprintf("%08x%08x", l.cluster.seed, number), queue: l.cluster.queues[random.IntN(len(l.cluster.queues))]}
	j.work.Padding = fmt.Sprintf("work of job %d", number)
	if random.IntN(12) == 0 {
		j.phases = []standin.Phase{{Count: 1 + random.IntN(2), MilliCPU: 500, MemoryMB: 256, LongRunning: true, MaxMissing: 1}}
		return j
	}
	j.work.Ms, j.work.SaveMs = 400+random.IntN(400), 200
	for number := range 2 + random.IntN(5) {
		phase := standin.Phase{Count: 1 + random.IntN(3), MilliCPU: 1000, MemoryMB: 512, EstimatedMs: 600, Checkpointing: true}
		if number > 0 {
			phase.DependsOn = []int{number - 1}
		}
		j.phases = append(j.phases, phase)
	}
	return j
}

// play makes all calls of a job's client. Some clients submit a job again, after it has been accepted, after
// a submission without an answer, or after they have cancelled it.
func (l *load) play(j *job, random *rand.Rand) {
	l.submit(j, random)
	resubmitted := random.IntN(10) < 3
	if cancelled := random.IntN(10) < 6; cancelled {
		l.sleepUpTo(random, 1500*time.Millisecond)
		l.cancel(j, random)
	} else {
		l.watch(j, random)
	}
	if resubmitted && !j.isRefused() {
		l.sleepUpTo(random, 3*time.Second)
		l.call(j, random, http.MethodPost)
	}
}

func (l *load) sleepUpTo(random *rand.Rand, most time.Duration) {
	l.cluster.clock.Sleep(time.Duration(random.Int64N(int64(most))))
}

// submit submits a job at one node after another, but may give up after a call without an answer.
func (l *load) submit(j *job, random *rand.Rand) {
	for range 4 {
		status := l.call(j, random, http.MethodPost)
		if status/100 == 2 || (status == 0 && random.IntN(2) == 0) {
			return
		}
		l.sleepUpTo(random, 500*time.Millisecond)
	}
}

// cancel cancels a job at one node after another until one confirms it.
func (l *load) cancel(j *job, random *rand.Rand) {
	for range 6 {
		l.call(j, random, http.MethodDelete)
		if j.calls[len(j.calls)-1].isCancelled() {
			return
		}
		l.sleepUpTo(random, 400*time.Millisecond)
	}
}

// watch asks for the state of a job beyond the time after which all nodes must know it.
func (l *load) watch(j *job, random *rand.Rand) {
	for range 6 {
		l.sleepUpTo(random, 2*time.Second)
		l.call(j, random, http.MethodGet)
	}
}

// call makes a call on a job at a random node, records it and returns the status, or 0 if there is no
// answer.
func (l *load) call(j *job, random *rand.Rand, method string) int {
	return l.callNode(j, method, random.IntN(nodeCount), l.clients[random.IntN(len(l.clients))])
}

func (l *load) callNode(j *job, method string, number int, client *standin.Client) int {
	address, path, ctx := l.cluster.nodes[number].config.ClientAddress, j.queue.PathPrefix+j.id, context.Background()
	made := call{method: method, node: number, sentAt: l.cluster.clock.Now()}
	var status int
	var err error
	if method == http.MethodPost {
		status, err = client.Submit(ctx, address, j.queue.Host, path, j.work, j.phases...)
	} else {
		status, _, err = client.Do(ctx, method, address, j.queue.Host, path, nil)
	}
	if err == nil {
		made.status = status
	}
	made.answeredAt = l.cluster.clock.Now()
	j.calls = append(j.calls, made)
	return made.status
}

// askAll asks every node for every job, after the faults have ended.
func (l *load) askAll() {
	client := standin.NewPersistentClient(3 * time.Second)
	defer client.Close()
	for _, j := range l.jobs {
		for number := range nodeCount {
			l.callNode(j, http.MethodGet, number, client)
		}
	}
}

func (l *load) close() {
	for _, client := range l.clients {
		client.Close()
	}
}
