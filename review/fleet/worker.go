package fleet

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"damsonwinch"
)

// Limits of a worker, as the users' pages state them.
const (
	// maxListedEnds is how many ends one answer lists ("500 at once").
	maxListedEnds = 500
	// maxHeldTime is the longest time for which an answer waits for an end.
	maxHeldTime = 2000
	// maxLease is hold_max_ms and stopTime is below stop_ms.
	maxLease = 10 * time.Second
	stopTime = 200 * time.Millisecond
)

// Worker is a stand-in of one worker, which speaks what PROTOCOL.md says under "Running tasks". It rejects
// what doesn't fit.
type Worker struct {
	ID      string
	Machine string
	Service string
	Address string

	clock   damsonwinch.Clock
	record  *Record
	bornAt  time.Time
	server  *http.Server
	cpu     int
	memory  int
	need    func(task string) (cpu, memory int)
	mutex   sync.Mutex
	changed *sync.Cond
	// fence is the highest fencing token seen, and leaseUntilMs the end of the lease on the worker's clock.
	fence        int
	leaseUntilMs int
	runs         map[string]*workerRun
	highest      map[string]int
	ends         []end
	lastEnd      int
	closed       bool
	// cutUntil is when the worker is no longer cut off from all nodes.
	cutUntil time.Time
}

type workerRun struct {
	task     string
	attempt  int
	cpu      int
	memory   int
	duration time.Duration
	begunAt  time.Time
}

// end is an end of a run that hasn't been taken note of.
type end struct {
	number  int
	task    string
	attempt int
	how     string
}

// newWorker starts a worker at a free loopback address.
func newWorker(f *Fleet, id, machine, service string) (*Worker, error) {
	w := &Worker{
		ID: id, Machine: machine, Service: service, clock: f.clock, record: f.Record, bornAt: f.clock.Now(), cpu: workerCPU, memory: workerMemoryMB,
		need: f.need, runs: map[string]*workerRun{}, highest: map[string]int{},
	}
	w.changed = sync.NewCond(&w.mutex)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.handle(w.start))
	mux.HandleFunc("POST /run-stop", w.handle(w.stop))
	mux.HandleFunc("POST /pace", w.handle(func(order) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /hold", w.hold)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	w.Address, w.server = listener.Addr().String(), &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	f.group.Go(func() error { return ignoreClosed(w.server.Serve(listener)) })
	return w, nil
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (w *Worker) close() {
	w.mutex.Lock()
	w.closed = true
	w.changed.Broadcast()
	w.mutex.Unlock()
	// Shutdown would wait for the polls that are held.
	_ = w.server.Close()
}

// order is the body of any call to a worker.
type order struct {
	Task         string `json:"task"`
	Attempt      int    `json:"attempt"`
	Spec         string `json:"spec"`
	LeaseUntilMs int    `json:"deadline_ms"`
	Fence        int    `json:"fencing_token"`
	LastSeen     int    `json:"last_seen"`
	WaitMs       int    `json:"wait_ms"`
}

func (w *Worker) clockMs() int {
	return int(w.clock.Since(w.bornAt).Milliseconds()) + 1000
}

// accept reads a call, and refuses it if it is meant for another life or carries a lower fencing token than
// one seen before. If it returns true, the caller holds the lock.
func (w *Worker) accept(rw http.ResponseWriter, r *http.Request, body *order) bool {
	if err := json.NewDecoder(r.Body).Decode(body); err != nil {
		reply(rw, http.StatusBadRequest, map[string]any{"reason": err.Error()})
		return false
	}
	if !w.reached(r) {
		return false
	}
	if r.Header.Get("X-Damsonwinch-Expect-Instance") != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	w.mutex.Lock()
	if body.Fence < w.fence {
		defer w.mutex.Unlock()
		reply(rw, http.StatusConflict, map[string]any{"clock_ms": w.clockMs(), "reason": "fence"})
		return false
	}
	w.fence = body.Fence
	return true
}

// Cut cuts the worker off from all nodes for a time, silently. What runs there runs on.
func (w *Worker) Cut(length time.Duration) {
	w.record.Note("worker  %s is cut off for %v", w.ID, length)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.cutUntil = w.clock.Now().Add(length)
}

// reached waits while the worker is cut off. It reports whether the caller is still there afterwards: then its
// packets arrive, or the answer does.
func (w *Worker) reached(r *http.Request) bool {
	for {
		w.mutex.Lock()
		left := w.cutUntil.Sub(w.clock.Now())
		w.mutex.Unlock()
		if left <= 0 {
			return r.Context().Err() == nil
		}
		timer := w.clock.NewTimer(left)
		select {
		case <-timer.Chan():
		case <-r.Context().Done():
		}
		timer.Stop()
		if r.Context().Err() != nil {
			return false
		}
	}
}

func (w *Worker) handle(action func(order) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var body order
		if !w.accept(rw, r, &body) {
			return
		}
		defer w.mutex.Unlock()
		status, reason := action(body)
		answer := map[string]any{"clock_ms": w.clockMs()}
		if reason != "" {
			answer["reason"] = reason
		}
		reply(rw, status, answer)
	}
}

// start carries out an order to start a run. The caller holds the lock.
func (w *Worker) start(o order) (int, string) {
	w.renew(o.LeaseUntilMs)
	if current := w.runs[o.Task]; current != nil && current.attempt == o.Attempt {
		return http.StatusOK, ""
	}
	if o.Attempt <= w.highest[o.Task] {
		return http.StatusConflict, "old"
	}
	if o.LeaseUntilMs <= w.clockMs() {
		return http.StatusConflict, "late"
	}
	cpu, memory := w.need(o.Task)
	usedCPU, usedMemory := 0, 0
	for _, r := range w.runs {
		usedCPU, usedMemory = usedCPU+r.cpu, usedMemory+r.memory
	}
	if usedCPU+cpu > w.cpu || usedMemory+memory > w.memory {
		return http.StatusConflict, "room"
	}
	// The text of a job is the time in milliseconds that each of its tasks takes.
	durationMs, _ := strconv.Atoi(o.Spec)
	run := &workerRun{task: o.Task, attempt: o.Attempt, cpu: cpu, memory: memory, duration: time.Duration(durationMs) * time.Millisecond, begunAt: w.clock.Now()}
	w.runs[o.Task] = run
	w.record.start(w, o)
	w.clock.AfterFunc(run.duration, func() { w.endRun(run, "done") })
	return http.StatusOK, ""
}

// stop carries out an order to stop a run. The caller holds the lock.
func (w *Worker) stop(o order) (int, string) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Attempt)
	if run := w.runs[o.Task]; run != nil && run.attempt == o.Attempt {
		w.clock.AfterFunc(stopTime, func() { w.endRun(run, "stopped") })
	}
	return http.StatusOK, ""
}

func (w *Worker) endRun(run *workerRun, how string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.endLocked(run, how)
}

func (w *Worker) endLocked(run *workerRun, how string) {
	if w.closed || w.runs[run.task] != run {
		return
	}
	delete(w.runs, run.task)
	w.highest[run.task] = max(w.highest[run.task], run.attempt)
	w.lastEnd++
	w.ends = append(w.ends, end{w.lastEnd, run.task, run.attempt, how})
	w.record.end(w, w.lastEnd, run.task, run.attempt, how)
	w.changed.Broadcast()
}

// renew extends the lease of all runs, at most to maxLease from now. The caller holds the lock.
func (w *Worker) renew(untilMs int) {
	untilMs = min(untilMs, w.clockMs()+int(maxLease.Milliseconds()))
	if untilMs <= w.leaseUntilMs {
		return
	}
	w.leaseUntilMs = untilMs
	w.clock.AfterFunc(time.Duration(untilMs-w.clockMs()+1)*time.Millisecond, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		if w.clockMs() < w.leaseUntilMs {
			return
		}
		for _, run := range w.runs {
			w.endLocked(run, "lapsed")
		}
	})
}

// hold answers with what runs and with the ends that haven't been taken note of, 500 at once.
func (w *Worker) hold(rw http.ResponseWriter, r *http.Request) {
	var body order
	if !w.accept(rw, r, &body) {
		return
	}
	defer w.mutex.Unlock()
	w.renew(body.LeaseUntilMs)
	forgotten := slices.IndexFunc(w.ends, func(e end) bool { return e.number > body.LastSeen })
	if forgotten < 0 {
		forgotten = len(w.ends)
	}
	for _, e := range w.ends[:forgotten] {
		w.record.noted(w, e)
	}
	w.ends = slices.Clone(w.ends[forgotten:])
	until := w.clock.Now().Add(time.Duration(min(body.WaitMs, maxHeldTime)) * time.Millisecond)
	for len(w.ends) == 0 && !w.closed && w.clock.Now().Before(until) {
		timer := w.clock.AfterFunc(until.Sub(w.clock.Now()), w.changed.Broadcast)
		w.changed.Wait()
		timer.Stop()
	}
	if w.clock.Now().Before(w.cutUntil) {
		w.mutex.Unlock()
		arrives := w.reached(r)
		w.mutex.Lock()
		if !arrives {
			return
		}
	}
	running, finished := [][]any{}, [][]any{}
	for _, run := range w.runs {
		percent := int(100 * w.clock.Since(run.begunAt) / max(1, run.duration))
		running = append(running, []any{run.task, run.attempt, "", min(percent, 100), run.cpu})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListedEnds)] {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	w.record.listed(w, len(running), len(finished), len(w.ends))
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMs(), "running": running, "finished": finished})
}

func reply(rw http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	// Write fails if the caller has gone, which then needs no answer.
	_, _ = rw.Write(text)
}
