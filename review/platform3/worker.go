package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds of workers.
const (
	holdMaxMs     = 10_000
	maxWaitMs     = 2000
	stopMs        = 100
	listedEnds    = 500
	beatInterval  = 1500 * time.Millisecond
	clockStartsMs = 1000
	// recordedRefusals is how many refused starts of a task are recorded one by one. Later on each hundredth is.
	recordedRefusals = 5
)

// work is what a client's spec says that the tasks of its job do.
type work struct {
	// Ms is how long a run takes; with 0 it lasts until it is stopped.
	Ms int `json:"ms"`
	// Failures is how many runs of each task fail, each after FailMs, before one does its work.
	Failures int `json:"failures,omitempty"`
	FailMs   int `json:"fail_ms,omitempty"`
	// TailMs is what a task that fills adds at full pace to the tail of one that serves beside it.
	TailMs int `json:"tail_ms,omitempty"`
}

// taskRun is a run of a task.
type taskRun struct {
	task    string
	attempt int
	cpu     int
	began   time.Time
	lasts   bool
	phase   jobPhase
	what    work
	// left is the work that was left at since, in the time that it takes at full pace.
	left  time.Duration
	since time.Time
	pace  int
	turn  int
}

// worker is one life of a worker.
type worker struct {
	p       *platform
	machine *machine
	id      string
	address string
	born    time.Time
	server  *http.Server
	mutex   sync.Mutex
	changed *sync.Cond
	dead    bool
	fence   int
	lease   int
	seq     int
	runs    map[string]*taskRun
	barred  map[string]int // By task, the highest attempt that has ended or was stopped.
	ends    [][]any
	lastEnd int
	tails   tails
}

func (p *platform) newWorker(m *machine, id string) (*worker, error) {
	w := &worker{p: p, machine: m, id: id, born: p.clock.Now(), runs: map[string]*taskRun{}, barred: map[string]int{}}
	w.changed = sync.NewCond(&w.mutex)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.handler(w.start))
	mux.HandleFunc("POST /run-stop", w.handler(w.stop))
	mux.HandleFunc("POST /pace", w.handler(w.setPace))
	mux.HandleFunc("POST /hold", w.hold)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address, w.server = listener.Addr().String(), &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	p.group.Go(func() error {
		_ = w.server.Serve(listener)
		return nil
	})
	p.group.Go(w.beat)
	p.group.Go(w.watch)
	return w, nil
}

// beat keeps the worker's entry in the store.
func (w *worker) beat() error {
	for {
		w.mutex.Lock()
		dead := w.dead
		w.seq++
		seq, clock := w.seq, w.clockMs()
		w.mutex.Unlock()
		if dead {
			return nil
		}
		entry, err := json.Marshal(map[string]any{
			"service": w.machine.pool, "address": w.address, "zone": w.machine.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]int{"cpu": machineCPU, "mem_mb": machineMemoryMB, "gpu": 0}, "labels": w.machine.labels(), "machine": w.machine.name, "clock_ms": clock, "seq": seq,
		})
		if err != nil {
			return err
		}
		w.p.store.put("keyed.servers", w.id, entry)
		w.p.clock.Sleep(beatInterval)
	}
}

// kill ends the life and all that runs there.
func (w *worker) kill() {
	w.mutex.Lock()
	w.dead = true
	for task, r := range w.runs {
		w.p.record("worker %s: run %s attempt %d dies with it", w.id, task, r.attempt)
	}
	clear(w.runs)
	w.changed.Broadcast()
	w.mutex.Unlock()
	w.p.store.put("keyed.servers", w.id, nil)
	_ = w.server.Close()
}

func (w *worker) clockMs() int {
	return clockStartsMs + int(w.p.clock.Since(w.born).Milliseconds())
}

// workerCall is the body of a call to a worker.
type workerCall struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMs int    `json:"deadline_ms"`
	Fence      int    `json:"fencing_token"`
	LastSeen   int    `json:"last_seen"`
	WaitMs     int    `json:"wait_ms"`
	Ticket     string `json:"ticket"`
	Percent    int    `json:"percent"`
}

// admit decodes a call and checks its instance and its fencing token. If it returns true the caller holds the lock.
func (w *worker) admit(rw http.ResponseWriter, r *http.Request, call *workerCall) bool {
	if err := json.NewDecoder(r.Body).Decode(call); err != nil {
		writeJSON(rw, http.StatusBadRequest, map[string]any{"clock_ms": w.clockMs()})
		return false
	}
	if r.Header.Get("X-Damsonwinch-Expect-Instance") != w.id {
		writeJSON(rw, http.StatusMisdirectedRequest, map[string]any{})
		return false
	}
	w.mutex.Lock()
	if call.Fence < w.fence {
		w.mutex.Unlock()
		writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": w.clockMs(), "reason": "fence"})
		return false
	}
	w.fence = call.Fence
	return true
}

func (w *worker) handler(act func(workerCall) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var call workerCall
		if !w.admit(rw, r, &call) {
			return
		}
		status, reason := act(call)
		w.mutex.Unlock()
		reply := map[string]any{"clock_ms": w.clockMs()}
		if reason != "" {
			reply["reason"] = reason
		}
		writeJSON(rw, status, reply)
	}
}

// start starts a run. The caller holds the lock.
func (w *worker) start(call workerCall) (int, string) {
	current, phase := w.runs[call.Task], w.p.phaseOf(call.Task)
	status, reason := http.StatusOK, ""
	switch {
	case current != nil && current.attempt == call.Attempt:
		return status, reason
	case call.DeadlineMs <= w.clockMs():
		status, reason = http.StatusConflict, "late"
	case current != nil || call.Attempt <= w.barred[call.Task]:
		w.extend(call.DeadlineMs)
		status, reason = http.StatusConflict, "old"
	case w.used()+phase.cpu > machineCPU:
		w.extend(call.DeadlineMs)
		status, reason = http.StatusConflict, "room"
	case phase.advised && !w.p.advice.isValid(call.Ticket, call.Task, w.id):
		status, reason = http.StatusConflict, "ticket"
	}
	if refused := w.p.noteStart(call.Task, status); refused <= recordedRefusals || refused%100 == 0 {
		w.p.record("worker %s: start %s attempt %d token %d ticket %q: %d %s (%d refused so far)", w.id, call.Task, call.Attempt, call.Fence, call.Ticket, status, reason, refused)
	}
	if status != http.StatusOK {
		return status, reason
	}
	w.extend(call.DeadlineMs)
	r := &taskRun{task: call.Task, attempt: call.Attempt, cpu: phase.cpu, began: w.p.clock.Now(), lasts: phase.lasts, phase: phase, since: w.p.clock.Now(), pace: fullPace}
	w.runs[call.Task] = r
	// A spec of another form stands for a run that lasts until it is stopped.
	_ = json.Unmarshal([]byte(call.Spec), &r.what)
	switch {
	case w.p.failuresLeft(call.Task, r.what.Failures):
		w.endAfter(r, time.Duration(r.what.FailMs)*time.Millisecond, "failed")
	case r.what.Ms > 0:
		r.left = time.Duration(r.what.Ms) * time.Millisecond
		w.work(r)
	}
	return status, reason
}

// used returns the processor that the runs use. The caller holds the lock.
func (w *worker) used() int {
	sum := 0
	for _, r := range w.runs {
		sum += r.cpu
	}
	return sum
}

// endAfter ends a run after a time, if it still runs then.
func (w *worker) endAfter(r *taskRun, after time.Duration, how string) {
	w.p.clock.AfterFunc(after, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.end(r, how)
	})
}

// end ends a run, if it runs. The caller holds the lock.
func (w *worker) end(r *taskRun, how string) {
	if w.dead || w.runs[r.task] != r {
		return
	}
	delete(w.runs, r.task)
	w.barred[r.task] = max(w.barred[r.task], r.attempt)
	w.lastEnd++
	w.ends = append(w.ends, []any{w.lastEnd, r.task, r.attempt, how, ""})
	w.p.noteEnd(r.task, how)
	w.p.record("worker %s: run %s attempt %d ends %s", w.id, r.task, r.attempt, how)
	w.changed.Broadcast()
}

// failRuns ends the runs of a job with "failed", which a task that lasts may do at any time.
func (w *worker) failRuns(job string) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	count := 0
	for task, r := range w.runs {
		if strings.HasPrefix(task, job+".") {
			w.end(r, "failed")
			count++
		}
	}
	return count
}

func (w *worker) stop(call workerCall) (int, string) {
	w.barred[call.Task] = max(w.barred[call.Task], call.Attempt)
	if r := w.runs[call.Task]; r != nil && r.attempt == call.Attempt {
		w.p.record("worker %s: stop %s attempt %d", w.id, call.Task, call.Attempt)
		w.endAfter(r, stopMs*time.Millisecond, "stopped")
	}
	return http.StatusOK, ""
}

// extend extends the lease of all runs. The caller holds the lock.
func (w *worker) extend(deadlineMs int) {
	until := min(deadlineMs, w.clockMs()+holdMaxMs)
	if until <= w.lease {
		return
	}
	w.lease = until
	w.p.clock.AfterFunc(time.Duration(until-w.clockMs()+1)*time.Millisecond, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		if w.clockMs() < w.lease {
			return
		}
		for _, r := range w.runs {
			w.end(r, "lapsed")
		}
	})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	var call workerCall
	if !w.admit(rw, r, &call) {
		return
	}
	w.extend(call.DeadlineMs)
	w.ends = slices.DeleteFunc(w.ends, func(row []any) bool { return row[0].(int) <= call.LastSeen })
	until := w.p.clock.Now().Add(time.Duration(min(call.WaitMs, maxWaitMs)) * time.Millisecond)
	for len(w.ends) == 0 && !w.dead && w.p.clock.Now().Before(until) && r.Context().Err() == nil {
		timer := w.p.clock.AfterFunc(w.p.clock.Until(until), w.changed.Broadcast)
		w.changed.Wait()
		timer.Stop()
	}
	running := [][]any{}
	for _, run := range w.runs {
		running = append(running, []any{run.task, run.attempt, "", run.percent(w.p.clock.Now()), w.figure(run)})
	}
	ends := slices.Clone(w.ends[:min(len(w.ends), listedEnds)])
	w.mutex.Unlock()
	if ends == nil {
		ends = [][]any{}
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMs(), "running": running, "finished": ends})
}

// figure returns the fifth entry of a row of "running". The caller holds the lock.
func (w *worker) figure(r *taskRun) int {
	if r.phase.serves {
		return w.reportedTail()
	}
	return r.cpu * r.pace / fullPace
}

// percent returns how much of a run is done. One that lasts is at work after a short start.
func (r *taskRun) percent(now time.Time) int {
	if r.lasts {
		return min(100, int(now.Sub(r.began).Milliseconds()/5))
	}
	r.settle(now)
	return 99 - int(99*r.left.Milliseconds())/max(r.what.Ms, 1)
}
