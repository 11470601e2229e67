package main

import "time"

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
