package main

import (
	"encoding/json"
	"net/http"
	"time"
)

// maxAttempts is the max_attempts of all routes.
const maxAttempts = 4

// leastMemoryMB is the memory that a task asks for if its job says nothing.
const leastMemoryMB = 256

// job is a job that a client sends: one step of some tasks.
type job struct {
	id    string
	route route
	count int
	cpu   int
	lasts bool
	label string
	work  work
	// serves says that the tasks have a target for their tail, and each needs a worker of its own. fills says that they fill.
	serves, fills bool
	memoryMB      int
}

func (j job) path() string {
	return j.route.prefix + j.id
}

// submit sends a job to a node until it is accepted or refused for good, and reports whether it was accepted.
func (d *deployment) submit(n *node, j job) bool {
	spec, err := json.Marshal(j.work)
	if err != nil {
		return false
	}
	phase := map[string]any{"count": j.count, "cpu": j.cpu, "mem_mb": max(j.memoryMB, leastMemoryMB), "estimated_ms": max(j.work.Ms, 200)}
	if j.lasts {
		phase["long_running"] = true
	}
	if j.label != "" {
		phase["constraints"] = j.label
	}
	if j.serves {
		phase["target_ms"], phase["anti_affinity"], phase["image"] = targetTailMs, 1, "serve-1"
	}
	if j.fills {
		phase["fills"], phase["image"] = true, "fill-1"
	}
	d.addJob(j.id, []jobPhase{{cpu: j.cpu, lasts: j.lasts, advised: j.route.advised, serves: j.serves, fills: j.fills}})
	for range 20 {
		status, _ := d.do(n, http.MethodPost, j.route.host, j.path(), map[string]any{"spec": string(spec), "phases": []any{phase}})
		d.record("client: POST %s to %s: %d", j.path(), n.name, status)
		if status == http.StatusOK {
			return true
		}
		d.clock.Sleep(500 * time.Millisecond)
	}
	return false
}

// state asks a node for the state of a job. It is empty if there is none.
func (d *deployment) state(n *node, j job) string {
	status, body := d.do(n, http.MethodGet, j.route.host, j.path(), nil)
	state, _ := body["state"].(string)
	if status != http.StatusOK {
		d.record("client: GET %s from %s: %d", j.path(), n.name, status)
	}
	return state
}

// awaitState asks for the state of a job until it is one of those given or a time is over, and returns it.
func (d *deployment) awaitState(n *node, j job, most time.Duration, states ...string) string {
	last := ""
	d.waitFor(most, func() bool {
		if state := d.state(n, j); state != last {
			last = state
			d.record("client: GET %s from %s: %s", j.path(), n.name, state)
		}
		for _, wanted := range states {
			if last == wanted {
				return true
			}
		}
		return false
	})
	return last
}

// warmUp waits until the nodes are ready and have carried out a job of a route each.
func (d *deployment) warmUp(r route) bool {
	for number, n := range d.nodes {
		if !d.waitFor(20*time.Second, func() bool { return d.isReady(n) }) {
			return false
		}
		j := job{id: jobID(0, number), route: r, count: 2, cpu: 500, work: work{Ms: 100}}
		if !d.submit(n, j) || d.awaitState(n, j, 10*time.Second, "completed") != "completed" {
			return false
		}
	}
	return true
}
