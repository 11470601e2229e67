package main

import (
	"net/http"
	"time"
)

// host is the host of all routes.
const host = "pule25.example"

// settleTime is how long a case waits before the disruption, and between a disruption and a next one.
const settleTime = 4 * time.Second

// ownerOf returns the node that keeps the jobs of a service, by what the store has received, and another node.
func (d *deployment) ownerOf(service string) (owner, other *node, found bool) {
	number := d.store.producerNode(service)
	if number < 0 {
		return nil, nil, false
	}
	return d.nodes[number], d.nodes[(number+1)%len(d.nodes)], true
}

// playNewRoute adds a route while the open connections of one machine to the store go silent. A job of that route has a
// task whose first run fails.
func playNewRoute(d *deployment, trouble bool) verdict {
	first := route{name: "r-first", host: host, prefix: "/first/", service: "svc-a"}
	added := route{name: "r-added", host: host, prefix: "/added/", service: "svc-a"}
	services := []string{"svc-a"}
	if d.configure(3, services, first) != nil || !d.warmUp(first) {
		return exitNotRun
	}
	d.clock.Sleep(settleTime)
	owner, other, found := d.ownerOf("svc-a")
	if !found {
		return exitNotRun
	}
	if trouble {
		d.record("the open connections of %s to the store go silent: %d", owner.name, owner.storeProxy.silence())
	}
	if d.configure(5, services, first, added) != nil {
		return exitNotRun
	}
	known := d.waitFor(5*time.Second, func() bool {
		status, _ := d.do(other, http.MethodGet, host, added.prefix, nil)
		return status == http.StatusOK
	})
	j := job{id: jobID(1, 1), route: added, count: 1, cpu: 1000, work: work{Ms: 200, Failures: 1, FailMs: 50}}
	if !known || !d.submit(other, j) {
		return exitNotRun
	}
	state := d.awaitState(other, j, 20*time.Second, "completed", "failed")
	counts := d.countsOf(j.id)
	d.record("the job is shown as %q; its task was started %d times, %d runs failed of max_attempts %d", state, counts.started, counts.failed, maxAttempts)
	switch {
	case state == "failed" && counts.failed < maxAttempts:
		return exitBroken
	case state == "completed":
		return exitHeld
	}
	return exitNotRun
}

// Figures of playManyAdvised. The time that is valid is that of the users' example.
const (
	decideMs, eachMs, validMs = 400, 10, 3000
	manyJobs, fewJobs         = 20, 4
	finishTime                = 14 * time.Second
	idleTime                  = 3 * time.Second
)

// playManyAdvised sends many jobs at once on a route with advice, or a few one after the other.
func playManyAdvised(d *deployment, trouble bool) verdict {
	plain := route{name: "r-plain", host: host, prefix: "/plain/", service: "svc-a"}
	d.advice.set(decideMs, eachMs, validMs)
	advised := route{name: "r-advised", host: host, prefix: "/advised/", service: "svc-a", advised: true}
	if d.configure(3, []string{"svc-a"}, plain, advised) != nil || !d.warmUp(plain) {
		return exitNotRun
	}
	d.clock.Sleep(settleTime)
	count, gap := fewJobs, 1500*time.Millisecond
	if trouble {
		count, gap = manyJobs, 0
	}
	var sent []job
	for number := range count {
		j := job{id: jobID(2, number), route: advised, count: 2, cpu: 1000, work: work{Ms: 500}}
		if !d.submit(d.nodes[number%len(d.nodes)], j) {
			return exitNotRun
		}
		sent = append(sent, j)
		d.clock.Sleep(gap)
	}
	d.clock.Sleep(finishTime)
	before := d.waiting(sent)
	d.record("%d jobs of %d have had no start %d s after the last one was sent", len(before), len(sent), int(finishTime.Seconds()))
	d.clock.Sleep(3 * idleTime)
	broken := 0
	for _, j := range d.waiting(sent) {
		state := d.state(d.nodes[0], j)
		d.record("job %s is shown as %q and has had no start", j.id, state)
		broken++
	}
	d.record("%d jobs of %d have had nothing running all the time; the workers are idle", broken, len(sent))
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}

// waiting returns the jobs of which no task has been started.
func (d *deployment) waiting(sent []job) []job {
	var without []job
	for _, j := range sent {
		if d.countsOf(j.id).started == 0 {
			without = append(without, j)
		}
	}
	return without
}

// playRenamedRoute gives a route with advice another name, restarts the machine that keeps its jobs, and then lets the runs of
// a job that lasts fail.
func playRenamedRoute(d *deployment, trouble bool) verdict {
	plain := route{name: "r-plain", host: host, prefix: "/plain/", service: "svc-a"}
	d.advice.set(50, 2, validMs)
	before := route{name: "r-before", host: host, prefix: "/lasting/", service: "svc-a", advised: true}
	after := route{name: "r-after", host: host, prefix: "/lasting/", service: "svc-a", advised: true}
	services := []string{"svc-a"}
	if d.configure(3, services, plain, before) != nil || !d.warmUp(plain) {
		return exitNotRun
	}
	j := job{id: jobID(3, 1), route: before, count: 2, cpu: 1000, lasts: true}
	if !d.submit(d.nodes[0], j) || !d.waitFor(10*time.Second, func() bool { return d.countsOf(j.id).started == 2 }) {
		return exitNotRun
	}
	d.clock.Sleep(settleTime)
	if trouble {
		owner, _, found := d.ownerOf("svc-a")
		if !found || d.configure(5, services, plain, after) != nil {
			return exitNotRun
		}
		d.clock.Sleep(settleTime)
		if d.restart(owner) != nil {
			return exitNotRun
		}
		d.clock.Sleep(2 * settleTime)
	}
	for _, w := range d.workers() {
		if w.failRuns(j.id) > 0 {
			break
		}
	}
	failedAt := d.clock.Now()
	again := d.waitFor(25*time.Second, func() bool { return d.countsOf(j.id).started > 2 })
	counts := d.countsOf(j.id)
	d.record("%d ms after the run has failed: started %d times, %d starts refused, state %q", d.clock.Since(failedAt).Milliseconds(), counts.started, counts.refused, d.state(d.nodes[0], j))
	if !again {
		return exitBroken
	}
	return exitHeld
}

// pendingTime is visible_ms and the two seconds by which the count may be old.
const pendingTime = 5 * time.Second

// playPending leads a route to another service while jobs that last wait, and asks for the queue's pending jobs.
func playPending(d *deployment, trouble bool) verdict {
	before := route{name: "r-moved", host: host, prefix: "/moved/", service: "svc-a"}
	after := before
	after.service = "svc-b"
	plain := route{name: "r-plain", host: host, prefix: "/plain/", service: "svc-a"}
	services := []string{"svc-a", "svc-b"}
	if d.configure(3, services, plain, before) != nil || !d.warmUp(plain) {
		return exitNotRun
	}
	const waiting = 4
	for number := range waiting {
		// No machine has this label yet.
		j := job{id: jobID(4, number), route: before, count: 1, cpu: 1000, lasts: true, label: "b"}
		if !d.submit(d.nodes[number%len(d.nodes)], j) {
			return exitNotRun
		}
	}
	d.clock.Sleep(pendingTime)
	if trouble {
		if d.configure(5, services, plain, after) != nil {
			return exitNotRun
		}
		d.clock.Sleep(settleTime)
	}
	short := job{id: jobID(4, waiting), route: before, count: 1, cpu: 1000, work: work{Ms: 200}}
	if !d.submit(d.nodes[0], short) || d.awaitState(d.nodes[0], short, 10*time.Second, "completed") != "completed" {
		return exitNotRun
	}
	d.clock.Sleep(pendingTime)
	lowest := waiting
	for _, n := range d.nodes {
		status, body := d.do(n, http.MethodGet, host, before.prefix, nil)
		count, isNumber := body["pending"].(float64)
		d.record("client: GET %s from %s: %d %v", before.prefix, n.name, status, body)
		if status == http.StatusOK && isNumber {
			lowest = min(lowest, int(count))
		}
	}
	for number := range waiting {
		j := job{id: jobID(4, number), route: before}
		d.record("client: GET %s from %s: %s, %d starts", j.path(), d.nodes[0].name, d.state(d.nodes[0], j), d.countsOf(j.id).started)
	}
	d.record("%d accepted jobs have not begun; the lowest count is %d", waiting, lowest)
	if 2*lowest < waiting {
		return exitBroken
	}
	return exitHeld
}
