package main

import (
	"strings"
	"time"
)

// Figures of playShortFillers. Each worker has memory for three tasks that fill beside the one that serves.
const (
	servingWorkers  = 2
	fillerMemoryMB  = 40_000
	shortFillerMs   = 400
	shortFillers    = 300
	longFillerMs    = 8000
	longFillers     = shortFillers * shortFillerMs / longFillerMs
	harmTime        = 4 * time.Second
	fillersLookTime = 15 * time.Second
)

// playShortFillers lets tasks that fill run beside tasks that serve, on workers that all have one that serves. With the
// disruption those that fill are short and many, without it they are long and few.
func playShortFillers(d *deployment, trouble bool) verdict {
	plain := route{name: "r-plain", host: host, prefix: "/plain/", service: "svc-a"}
	if d.configure(3, []string{"svc-a"}, plain) != nil || !d.warmUp(plain) {
		return exitNotRun
	}
	serving := job{id: jobID(5, 1), route: plain, count: servingWorkers, cpu: 4000, lasts: true, serves: true}
	if !d.submit(d.nodes[0], serving) || !d.waitFor(10*time.Second, func() bool { return d.countsOf(serving.id).started == servingWorkers }) {
		return exitNotRun
	}
	d.clock.Sleep(settleTime)
	filling := job{id: jobID(5, 2), route: plain, count: longFillers, cpu: 8000, fills: true, memoryMB: fillerMemoryMB, work: work{Ms: longFillerMs}}
	if trouble {
		filling.count, filling.work.Ms = shortFillers, shortFillerMs
	}
	if !d.submit(d.nodes[0], filling) || !d.waitFor(10*time.Second, func() bool { return d.countsOf(filling.id).started > 0 }) {
		return exitNotRun
	}
	d.clock.Sleep(fillersLookTime)
	broken := false
	for _, w := range d.workers() {
		w.mutex.Lock()
		longest := w.tails.longest
		w.mutex.Unlock()
		d.record("worker %s: the tail was over the target of %d ms for up to %d ms without a break", w.id, targetTailMs, longest.Milliseconds())
		broken = broken || longest > harmTime
	}
	counts := d.countsOf(filling.id)
	d.record("%d tasks that fill were started, %d are done", counts.started, counts.done)
	if broken {
		return exitBroken
	}
	return exitHeld
}

// Figures of playPausedFiller.
const (
	pausedFillerMs   = 30_000
	pausedFillerTail = 400
	pausedLookTime   = 45 * time.Second
)

// playPausedFiller lets a task that fills run on the only worker with a label. With the disruption a task serves there too.
func playPausedFiller(d *deployment, trouble bool) verdict {
	plain := route{name: "r-plain", host: host, prefix: "/plain/", service: "svc-a"}
	if d.configure(3, []string{"svc-a"}, plain) != nil || !d.warmUp(plain) {
		return exitNotRun
	}
	serving := job{id: jobID(6, 1), route: plain, count: 1, cpu: 4000, lasts: true, serves: true, label: oddLabel}
	if trouble && (!d.submit(d.nodes[0], serving) || !d.waitFor(10*time.Second, func() bool { return d.countsOf(serving.id).started == 1 })) {
		return exitNotRun
	}
	d.clock.Sleep(settleTime)
	filling := job{id: jobID(6, 2), route: plain, count: 1, cpu: 8000, fills: true, label: oddLabel, work: work{Ms: pausedFillerMs, TailMs: pausedFillerTail}}
	if !d.submit(d.nodes[0], filling) || !d.waitFor(10*time.Second, func() bool { return d.countsOf(filling.id).started > 0 }) {
		return exitNotRun
	}
	sentAt, idleSince, longest := d.clock.Now(), time.Time{}, time.Duration(0)
	for d.clock.Since(sentAt) < pausedLookTime && d.countsOf(filling.id).done == 0 {
		d.clock.Sleep(sampleTime)
		now := d.clock.Now()
		switch {
		case d.isRunning(filling.id) || now.Sub(sentAt) < finishTime:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = now
		default:
			longest = max(longest, now.Sub(idleSince))
		}
	}
	counts := d.countsOf(filling.id)
	d.record("the task that fills was started %d times, done %d times; from %d s after the client's last job on it was not running for up to %d ms", counts.started, counts.done, int(finishTime.Seconds()), longest.Milliseconds())
	d.record("the job is shown as %q", d.state(d.nodes[0], filling))
	if longest > idleTime {
		return exitBroken
	}
	return exitHeld
}

// isRunning reports whether a run of a job is there.
func (d *deployment) isRunning(job string) bool {
	for _, w := range d.workers() {
		w.mutex.Lock()
		for task := range w.runs {
			if strings.HasPrefix(task, job+".") {
				w.mutex.Unlock()
				return true
			}
		}
		w.mutex.Unlock()
	}
	return false
}
