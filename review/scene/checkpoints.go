package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"damsonwinch/platform/standin"
)

// The job of the case checkpoints. A large one has the sheet's largest number of steps and of tasks in each, the other one
// has the means.
const (
	tendersPath     = "/tenders/"
	tendersJob      = "5c0e7a21d94b36f8"
	largeSteps      = 5
	largeWidth      = 32
	meanSteps       = 2
	meanWidth       = 8
	taskMs          = 4200
	taskCPU         = 1700
	taskMemoryMB    = 5000
	checkpointBytes = 2000
	workerCount     = 9
	workerCPU       = 32000
	workerMemoryMB  = 131072
)

// longCheckpoints submits a job whose tasks save checkpoints of some length. In trouble it is a large job.
func longCheckpoints(record string, trouble bool) (broken string, err error) {
	queue := standin.Queue{Name: "tenders", Host: host, PathPrefix: tendersPath, Pool: newPool, MaxAttempts: 4}
	s, f, err := newWorkerScene(record, trouble, queue)
	defer func() { err = errors.Join(err, s.close()) }()
	if err != nil {
		return "", err
	}
	f.checkpointBytes = checkpointBytes
	spec, err := json.Marshal(jobWork{Ms: taskMs, SaveMs: 2000})
	if err != nil {
		return "", err
	}
	body, steps, width := jobBody{Spec: string(spec)}, meanSteps, meanWidth
	if trouble {
		steps, width = largeSteps, largeWidth
	}
	for range steps {
		body.Phases = append(body.Phases, step{Count: width, CPU: taskCPU, MemoryMB: taskMemoryMB, EstimatedMs: taskMs, Saves: true})
	}
	text, err := json.Marshal(body)
	if err != nil {
		return "", err
	}
	f.jobs[tendersJob] = body
	if status := s.submit(tendersPath+tendersJob, text, s.nodes...); status != http.StatusOK {
		return "", fmt.Errorf("%w: the job was answered with %d", errSetup, status)
	}
	state := s.awaitState(tendersPath+tendersJob, 60*time.Second)
	f.noteRuns(s)
	all, failed := f.countEnds("failed")
	_, done := f.countEnds("done")
	s.note("%d steps of %d tasks: %d runs, of which %d ended done and %d failed; the job is shown as %s", steps, width, all, done, failed, state)
	if state == "failed" && failed == 0 {
		return fmt.Sprintf("LOST: an accepted job is shown as failed, and none of its %d runs has ended failed", all), nil
	}
	if state != "completed" {
		return "", fmt.Errorf("%w: the job is shown as %q", errSetup, state)
	}
	return "", nil
}

// newWorkerScene starts a platform with workers of its own and three nodes.
func newWorkerScene(record string, trouble bool, queue standin.Queue) (*scene, *workers, error) {
	s, err := newScene(standin.Options{Pools: []standin.Pool{{Name: queue.Pool}}}, 0, record, trouble, queue)
	if err != nil {
		return s, nil, err
	}
	f, err := newWorkers(s.platform, s.clock)
	if err != nil {
		return s, nil, err
	}
	s.workers = f
	if err := f.add(queue.Pool, workerCount, workerCPU, workerMemoryMB); err != nil {
		return s, f, err
	}
	return s, f, s.startNodes(3, queue)
}

// awaitState asks for a job until it has ended, and returns its state.
func (s *scene) awaitState(path string, limit time.Duration) string {
	var shown struct {
		State string `json:"state"`
	}
	s.waitUntil(limit, func() bool {
		s.clock.Sleep(450 * time.Millisecond)
		if status, text := s.do(s.nodes[0], http.MethodGet, path, nil); status != http.StatusOK || json.Unmarshal([]byte(text), &shown) != nil {
			return false
		}
		return shown.State == "completed" || shown.State == "failed" || shown.State == "cancelled"
	})
	return shown.State
}
