package main

import (
	"errors"
	"fmt"
	"time"

	"damsonwinch/platform/standin"
	"damsonwinch/review/fleet"
)

// What the clients send in manyEnds: small tasks, of which one worker has room for all. cutTime is the for_s of
// node_cut with servers in the site file.
const (
	manyJobs    = 60
	tasksPerJob = 20
	smallTask   = 4 * time.Second
	cutTime     = 5500 * time.Millisecond
	endTimeout  = 40 * time.Second
)

// manyEnds has a worker run 1,200 small tasks, and cuts it off from the nodes while they end. After the cut more
// than 500 ends wait there, and the worker lists 500 at once.
func manyEnds(f *fleet.Fleet, trouble bool) ([]string, error) {
	queue := queueOf("pump-desk")
	if err := begin(f, queue); err != nil {
		return nil, err
	}
	var jobs []string
	for number := range manyJobs {
		job := fmt.Sprintf("5c0e7a21d94b%04x", number)
		phase := standin.Phase{Count: tasksPerJob, MilliCPU: 20, MemoryMB: 64, EstimatedMs: int(smallTask.Milliseconds())}
		if err := submitUntilAccepted(f, queue, job, smallTask, phase); err != nil {
			return nil, err
		}
		jobs = append(jobs, job)
	}
	if err := waitFor(20*time.Second, func() bool { return len(f.Record.Starts("")) >= manyJobs*tasksPerJob }); err != nil {
		return nil, errors.New("not all tasks were started")
	}
	f.Record.Note("all tasks were started")
	if trouble {
		f.WorkerOf(f.Record.Starts("")).Cut(cutTime)
	}
	for begun := clock.Now(); len(jobs) > 0 && clock.Since(begun) < endTimeout; clock.Sleep(50 * time.Millisecond) {
		if f.State(f.Nodes[2], queue, jobs[0]).State == "completed" {
			jobs = jobs[1:]
		}
	}
	clock.Sleep(5 * time.Second)
	var broken []string
	again := f.Record.StartsAfterDone()
	if len(again) > 0 {
		s := again[0]
		broken = append(broken, fmt.Sprintf("TWICE: %d starts of tasks that had ended done, with ends that were taken note of afterwards; the first: %s attempt %d at %s, %.3f s",
			len(again), s.Task, s.Attempt, s.Worker, s.At.Seconds()))
	}
	return broken, nil
}

// giverOf returns the node that has given most orders to workers.
func giverOf(f *fleet.Fleet) *fleet.Node {
	best := f.Nodes[0]
	for _, node := range f.Nodes {
		if node.Figure("runs_started") > best.Figure("runs_started") {
			best = node
		}
	}
	return best
}

var errNotInTime = errors.New("not in time")

// waitFor waits until a condition holds.
func waitFor(limit time.Duration, condition func() bool) error {
	for begun := clock.Now(); clock.Since(begun) < limit; clock.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return errNotInTime
}
