package main

import (
	"bytes"
	"strings"
	"time"
)

// Figures of playNeverBegun.
const (
	neverBegunKills   = 5
	neverBegunCrashes = 3
	workerDownTime    = time.Second
	nodeDownTime      = 1500 * time.Millisecond
)

// playNeverBegun sends a job of one task. With the disruption the node that has recorded a start of the task is killed before
// it can send the start, five times, and the worker that was to get it crashes the first three times.
func playNeverBegun(d *deployment, trouble bool) verdict {
	plain := route{name: "r-plain", host: host, prefix: "/plain/", service: "svc-a"}
	if d.configure(3, []string{"svc-a"}, plain) != nil || !d.warmUp(plain) {
		return exitNotRun
	}
	d.clock.Sleep(settleTime)
	j := job{id: jobID(9, 1), route: plain, count: 1, cpu: 1000, label: oddLabel, work: work{Ms: 1000}}
	if trouble {
		d.killStarters(j)
	}
	accepted := false
	for _, n := range d.nodes {
		if accepted = d.submit(n, j); accepted {
			break
		}
	}
	if !accepted {
		return exitNotRun
	}
	state := d.awaitAnywhere(j, 80*time.Second)
	counts := d.countsOf(j.id)
	d.record("the job is shown as %q; its task was started %d times, %d runs failed, %d done", state, counts.started, counts.failed, counts.done)
	switch {
	case state == "failed" && counts.failed < maxAttempts:
		return exitBroken
	case state == "completed":
		return exitHeld
	}
	return exitNotRun
}

// killStarters kills the nodes that record a start of the job, before their appends are answered.
func (d *deployment) killStarters(j job) {
	left := neverBegunKills
	d.store.mutex.Lock()
	defer d.store.mutex.Unlock()
	d.store.watch = func(node int, records []keyedRecord) bool {
		worker := d.oddWorker()
		for _, r := range records {
			if left > 0 && strings.Contains(r.key, j.id) && bytes.Contains(r.value, []byte(worker)) {
				left--
				crashes := left >= neverBegunKills-neverBegunCrashes
				d.group.Go(func() error { return d.killStarter(d.nodes[node], worker, crashes) })
				return true
			}
		}
		return false
	}
}

// killStarter kills a node that has just recorded a start on a worker, which may crash as well, and starts it again.
func (d *deployment) killStarter(n *node, worker string, crashes bool) error {
	if err := n.process.Process.Kill(); err != nil {
		return err
	}
	d.record("%s has recorded a start on %s; it is killed before the answer", n.name, worker)
	if crashes {
		d.crashOddMachine()
	}
	// A process that ends by the signal reports that as an error.
	_ = n.process.Wait()
	d.clock.Sleep(nodeDownTime)
	if err := d.writeSettings(n, false); err != nil {
		return err
	}
	return d.start(n)
}

// oddWorker returns the ID of the worker with the odd label, or a text that no record has while there is none.
func (d *deployment) oddWorker() string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, m := range d.machines {
		if m.name == oddMachine && m.worker != nil {
			return m.worker.id
		}
	}
	return "no worker"
}

// crashOddMachine ends the worker with the odd label. Another life of it starts after a while.
func (d *deployment) crashOddMachine() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, m := range d.machines {
		if m.name == oddMachine && m.state == "up" {
			d.recordLocked("the worker of %s crashes", m.name)
			m.state = "down"
			d.takeDown(m, workerDownTime)
		}
	}
}

// awaitAnywhere asks all nodes for the state of a job until one shows it as ended.
func (d *deployment) awaitAnywhere(j job, most time.Duration) string {
	state := ""
	d.waitFor(most, func() bool {
		for _, n := range d.nodes {
			status, body := d.do(n, "GET", j.route.host, j.path(), nil)
			if shown, _ := body["state"].(string); status == 200 && shown != state {
				state = shown
				d.record("client: GET %s from %s: %s", j.path(), n.name, state)
			}
		}
		return state == "failed" || state == "completed"
	})
	return state
}
