package main

import (
	"fmt"
	"net/http"
	"time"

	"damsonwinch/platform/standin"
	"damsonwinch/review/fleet"
)

// configApply is config_apply_ms and visible is visible_ms.
const (
	configApply = 2 * time.Second
	visible     = 3 * time.Second
	longTask    = 14 * time.Second
)

// redirected has a job accepted, changes the service of its queue, and then asks for the job, sends it again and
// cancels another one.
func redirected(f *fleet.Fleet, trouble bool) ([]string, error) {
	queue := queueOf("pump-desk")
	if err := begin(f, queue); err != nil {
		return nil, err
	}
	const asked, cancelled = "5c0e7a21d94b0001", "5c0e7a21d94b0002"
	phase := standin.Phase{Count: 4, MilliCPU: 5000, MemoryMB: 1024, EstimatedMs: int(longTask.Milliseconds())}
	for _, job := range []string{asked, cancelled} {
		if err := submitUntilAccepted(f, queue, job, longTask, phase); err != nil {
			return nil, err
		}
	}
	acceptedAt := f.Record.Now()
	clock.Sleep(time.Second)
	next := queue
	if trouble {
		next.Pool = "valve-desk"
	}
	if err := f.Configure(2, next); err != nil {
		return nil, err
	}
	clock.Sleep(configApply + time.Second)
	clock.Sleep(acceptedAt + visible + time.Second - f.Record.Now())
	var broken []string
	for _, node := range f.Nodes {
		if answer := f.State(node, queue, asked); answer.Status == http.StatusGone {
			broken = append(broken, fmt.Sprintf("LOST: a GET for job %s, which was accepted and not cancelled, is answered 410 by %s", asked, node.Name))
		}
	}
	f.Cancel(f.Nodes[1], queue, cancelled)
	f.Submit(f.Nodes[0], queue, asked, longTask, phase)
	clock.Sleep(2 * longTask)
	for _, s := range f.Record.StartsAfterDone() {
		broken = append(broken, fmt.Sprintf("TWICE: %s was started again at %s after it had ended done", s.Task, s.Worker))
	}
	broken = append(broken, overlapping(f.Record, asked)...)
	return broken, nil
}

// overlapping returns the tasks of a job of which two runs were there at once.
func overlapping(record *fleet.Record, job string) []string {
	var broken []string
	ends := record.Ends(job)
	starts := record.Starts(job)
	for at, first := range starts {
		endedAt := endOf(ends, first)
		for _, second := range starts[at+1:] {
			if second.Task == first.Task && second.At < endedAt {
				broken = append(broken, fmt.Sprintf("TWICE: two runs of %s at once, at %s from %.3f s and at %s from %.3f s", first.Task, first.Worker, first.At.Seconds(), second.Worker, second.At.Seconds()))
			}
		}
	}
	return broken
}

// endOf returns when the run that was started has ended, or a time after the case if it hasn't.
func endOf(ends []fleet.End, start fleet.Start) time.Duration {
	for _, e := range ends {
		if e.Worker == start.Worker && e.Task == start.Task && e.Attempt == start.Attempt {
			return e.At
		}
	}
	return time.Hour
}
