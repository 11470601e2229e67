package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// workerRun is a run that goes on.
type workerRun struct {
	w    *worker
	log  *runLog
	work jobWork
	// resumedMs is the work that the checkpoint held with which the run was started.
	resumedMs int
	ended     bool
}

// restoreMs is how long it takes to continue from a checkpoint.
const restoreMs = 600

// stepOf returns the step of a task, by what the client has sent.
func (f *workers) stepOf(task string) (step, bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return step{}, false
	}
	number, err := strconv.Atoi(parts[2])
	body, known := f.jobs[parts[0]]
	if err != nil || !known || number < 0 || number >= len(body.Phases) {
		return step{}, false
	}
	return body.Phases[number], true
}

// start starts a run, unless it is there already, an attempt as high has ended, it comes too late or doesn't fit.
func (w *worker) start(body callBody) (int, string) {
	w.extend(body.DeadlineMs)
	need, known := w.fleet.stepOf(body.Task)
	switch {
	case !known:
		return http.StatusBadRequest, ""
	case w.runs[runKey(body.Task, body.Attempt)] != nil:
		return http.StatusOK, ""
	case body.Attempt <= w.highest[body.Task]:
		return http.StatusConflict, "old"
	case body.DeadlineMs <= w.clockMs():
		return http.StatusConflict, "late"
	case !w.hasRoom(need):
		return http.StatusConflict, "room"
	}
	var work jobWork
	if err := json.Unmarshal([]byte(body.Spec), &work); err != nil {
		return http.StatusBadRequest, ""
	}
	log := &runLog{task: body.Task, attempt: body.Attempt, token: body.Token, worker: w.id, born: w.born, from: w.fleet.clock.Now(), need: need}
	w.fleet.logs = append(w.fleet.logs, log)
	r := &workerRun{w: w, log: log, work: work, resumedMs: savedWork(body.Checkpoint)}
	w.runs[runKey(body.Task, body.Attempt)] = r
	left := max(1, work.Ms-r.resumedMs)
	if r.resumedMs > 0 {
		left += restoreMs
	}
	w.after(time.Duration(left)*time.Millisecond, func() { r.finish("done") })
	return http.StatusOK, ""
}

// hasRoom reports whether a task of a step fits beside what runs.
func (w *worker) hasRoom(need step) bool {
	cpu, mem := need.CPU, need.MemoryMB
	for _, r := range w.runs {
		cpu += r.log.need.CPU
		mem += r.log.need.MemoryMB
	}
	return cpu <= w.cpu && mem <= w.mem
}

// workMs returns the work of the task that is done.
func (r *workerRun) workMs() int {
	return min(r.work.Ms, r.resumedMs+int(r.w.fleet.clock.Since(r.log.from).Milliseconds()))
}

// percent returns how much of the work is done.
func (r *workerRun) percent() int {
	return 100 * r.workMs() / max(1, r.work.Ms)
}

// checkpoint returns the newest checkpoint, or an empty text. It ends with the work that it holds.
func (r *workerRun) checkpoint() string {
	if !r.log.need.Saves || r.work.SaveMs == 0 || r.workMs() < r.work.SaveMs {
		return ""
	}
	text := fmt.Sprintf("%s/%d", r.log.task, r.workMs()/r.work.SaveMs*r.work.SaveMs)
	return strings.Repeat("-", max(0, r.w.fleet.checkpointBytes-len(text))) + text
}

// savedWork returns the work that a checkpoint holds.
func savedWork(checkpoint string) int {
	saved, err := strconv.Atoi(checkpoint[strings.LastIndex(checkpoint, "/")+1:])
	if err != nil {
		return 0
	}
	return saved
}

// finish ends the run, unless it has ended.
func (r *workerRun) finish(how string) {
	if r.ended {
		return
	}
	r.ended = true
	w, log := r.w, r.log
	saved := r.checkpoint()
	delete(w.runs, runKey(log.task, log.attempt))
	w.highest[log.task] = max(w.highest[log.task], log.attempt)
	log.to, log.how = w.fleet.clock.Now(), how
	w.lastEnd++
	w.ends = append(w.ends, []any{w.lastEnd, log.task, log.attempt, how, saved})
	if w.fleet.onEnd != nil {
		w.fleet.onEnd(log)
	}
}
