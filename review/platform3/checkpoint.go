package main

import (
	"fmt"
	"strings"
	"time"
)

// saveTime is save_s: how much work a task does between two checkpoints.
const saveTime = 2 * time.Second

// saved returns the newest checkpoint of a run: the work done in milliseconds, filled up to the length of its checkpoints. It is
// empty if there is none.
func (r *taskRun) saved(now time.Time) string {
	if r.what.SaveBytes == 0 {
		return ""
	}
	r.settle(now)
	done := time.Duration(r.what.Ms)*time.Millisecond - r.left
	done -= done % saveTime
	if done <= 0 {
		return ""
	}
	text := fmt.Sprintf("%08d", done.Milliseconds())
	return text + strings.Repeat("x", max(0, r.what.SaveBytes-len(text)))
}

// Figures of playCheckpoints.
const (
	savingSteps = 3
	savingTasks = 32
	savingMs    = 5200
	longSave    = 4000
	shortSave   = 16
)

// playCheckpoints sends a job whose tasks make checkpoints, with the disruption long ones.
func playCheckpoints(d *deployment, trouble bool) verdict {
	plain := route{name: "r-plain", host: host, prefix: "/plain/", service: "svc-a"}
	if d.configure(3, []string{"svc-a"}, plain) != nil || !d.warmUp(plain) {
		return exitNotRun
	}
	j := job{id: jobID(7, 1), route: plain, steps: savingSteps, count: savingTasks, cpu: 1000, work: work{Ms: savingMs, SaveBytes: shortSave}}
	if trouble {
		j.work.SaveBytes = longSave
	}
	if !d.submit(d.nodes[0], j) {
		return exitNotRun
	}
	state := d.awaitState(d.nodes[0], j, 4*finishTime, "completed", "failed")
	counts := d.countsOf(j.id)
	d.record("the job is shown as %q; %d runs started, %d done, %d failed", state, counts.started, counts.done, counts.failed)
	switch {
	case state == "failed" && counts.failed == 0:
		return exitBroken
	case state == "completed":
		return exitHeld
	}
	return exitNotRun
}
