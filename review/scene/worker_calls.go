package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// callBody is the body of any call to a worker.
type callBody struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	Checkpoint string `json:"checkpoint"`
	DeadlineMs int    `json:"deadline_ms"`
	Token      int    `json:"fencing_token"`
	LastSeen   int    `json:"last_seen"`
	WaitMs     int    `json:"wait_ms"`
}

// routes returns the calls that a worker takes.
func (w *worker) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.call(w.start))
	mux.HandleFunc("POST /run-stop", w.call(w.stop))
	mux.HandleFunc("POST /pace", w.call(func(callBody) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /hold", w.call(w.hold))
	return mux
}

// clockMs returns the time on the worker's clock.
func (w *worker) clockMs() int {
	return int(w.fleet.clock.Since(w.born).Milliseconds()) + 1000
}

// call returns the handler of a call. The action carries it out and returns the status and the reason of a refusal.
func (w *worker) call(action func(callBody) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var body callBody
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			answer(rw, http.StatusBadRequest, map[string]any{})
			return
		}
		if instance := r.Header.Get("X-Damsonwinch-Expect-Instance"); instance != "" && instance != w.id {
			answer(rw, http.StatusMisdirectedRequest, map[string]any{})
			return
		}
		w.fleet.mutex.Lock()
		defer w.fleet.mutex.Unlock()
		reply := map[string]any{}
		status, reason := http.StatusConflict, "fence"
		if body.Token >= w.token {
			w.token = body.Token
			status, reason = action(body)
		}
		if reason != "" {
			reply["reason"] = reason
		}
		if status == http.StatusOK && r.URL.Path == "/hold" {
			w.awaitEnd(time.Duration(body.WaitMs) * time.Millisecond)
			reply["running"], reply["finished"] = w.listRuns(), slices.Clone(w.ends)
			w.addBirth(reply)
		}
		reply["clock_ms"] = w.clockMs()
		answer(rw, status, reply)
	}
}

// endCheckInterval is the time between two looks for an end while a call waits for one.
const endCheckInterval = 10 * time.Millisecond

// awaitEnd waits for an end. The caller holds the lock, which is released meanwhile.
func (w *worker) awaitEnd(limit time.Duration) {
	for begun := w.fleet.clock.Now(); len(w.ends) == 0 && w.fleet.clock.Since(begun) < limit && !w.fleet.closed && !w.dead; {
		w.fleet.mutex.Unlock()
		w.fleet.clock.Sleep(endCheckInterval)
		w.fleet.mutex.Lock()
	}
}

// listRuns returns the rows of what runs.
func (w *worker) listRuns() [][]any {
	rows := [][]any{}
	for _, r := range w.runs {
		rows = append(rows, []any{r.log.task, r.log.attempt, r.checkpoint(), r.percent(), 0})
	}
	return rows
}

// hold takes the deadline, and forgets the ends up to the last one that the caller has seen.
func (w *worker) hold(body callBody) (int, string) {
	w.extend(body.DeadlineMs)
	w.ends = slices.DeleteFunc(w.ends, func(row []any) bool { return row[0].(int) <= body.LastSeen })
	return http.StatusOK, ""
}

// extend extends the lease of all that runs here. Once it is over, everything is killed.
func (w *worker) extend(deadlineMs int) {
	deadlineMs = min(deadlineMs, w.clockMs()+int(maxLease.Milliseconds()))
	if deadlineMs <= w.lease {
		return
	}
	w.lease = deadlineMs
	w.after(time.Duration(deadlineMs-w.clockMs()+1)*time.Millisecond, func() {
		if w.clockMs() < w.lease {
			return
		}
		for _, r := range w.runs {
			r.finish("lapsed")
		}
	})
}

// after calls a function after a delay with the lock held, unless the workers are closed by then.
func (w *worker) after(delay time.Duration, do func()) {
	w.fleet.clock.AfterFunc(delay, func() {
		w.fleet.mutex.Lock()
		defer w.fleet.mutex.Unlock()
		if !w.fleet.closed && !w.dead {
			do()
		}
	})
}

// runKey names a run.
func runKey(task string, attempt int) string {
	return task + "#" + strconv.Itoa(attempt)
}

// stop ends a run after a while, and makes sure that it is not begun any more.
func (w *worker) stop(body callBody) (int, string) {
	w.highest[body.Task] = max(w.highest[body.Task], body.Attempt)
	if r := w.runs[runKey(body.Task, body.Attempt)]; r != nil {
		w.after(stopTime/2, func() { r.finish("stopped") })
	}
	return http.StatusOK, ""
}
