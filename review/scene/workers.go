package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"damsonwinch/platform/standin"
)

// step is a step of a job as clients send it.
type step struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu,omitempty"`
	MemoryMB    int   `json:"mem_mb,omitempty"`
	EstimatedMs int   `json:"estimated_ms,omitempty"`
	DependsOn   []int `json:"depends_on,omitempty"`
	Saves       bool  `json:"checkpointing,omitempty"`
}

// jobBody is a job as clients send it.
type jobBody struct {
	Spec   string `json:"spec"`
	Phases []step `json:"phases"`
}

// jobWork is the spec of a job, which tells the workers what its tasks do.
type jobWork struct {
	// Ms is how long each task works, and SaveMs the work between two checkpoints, or 0 for none.
	Ms     int `json:"ms"`
	SaveMs int `json:"save,omitempty"`
}

// runLog is a run that a worker has begun.
type runLog struct {
	task    string
	attempt int
	token   int
	worker  string
	born    time.Time // Of the worker.
	from    time.Time
	to      time.Time // Zero while it runs.
	how     string
	need    step
}

// workers are stand-ins of the platform's workers, with the list of machines.
type workers struct {
	clock    clockwork.Clock
	platform *standin.Platform
	group    errgroup.Group
	list     *http.Server
	// checkpointBytes is the length of each checkpoint.
	checkpointBytes int
	mutex           sync.Mutex     // Guards all below, and the workers.
	servers         []*http.Server // All that were started.
	all             []*worker
	jobs            map[string]jobBody // What clients have sent, by job.
	logs            []*runLog
	closed          bool
	// reusesIDs is set if workers say when they were born, since they start again under their IDs.
	reusesIDs bool
	// onEnd is called with each run that has ended, if it isn't nil. The lock is held.
	onEnd func(*runLog)
}

// worker is one life of a worker.
type worker struct {
	fleet    *workers
	id       string
	service  string
	machine  string
	rack     string
	cpu, mem int
	server   *http.Server
	born     time.Time
	dead     bool
	seq      int
	token    int
	// lease is when everything here is killed, by the worker's clock.
	lease   int
	runs    map[string]*workerRun // By run, as runKey returns it.
	highest map[string]int        // The highest attempt that has ended or was stopped, by task.
	ends    [][]any
	lastEnd int
}

// newWorkers starts the list of machines.
func newWorkers(platform *standin.Platform, clock clockwork.Clock) (*workers, error) {
	f := &workers{clock: clock, platform: platform, jobs: map[string]jobBody{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", f.machines)
	orders := func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusTooManyRequests, map[string]any{}) }
	mux.HandleFunc("POST /machine-move", orders)
	mux.HandleFunc("POST /machine-upkeep", orders)
	var err error
	f.list, err = f.serve(mux)
	f.group.Go(f.beat)
	return f, err
}

// serve serves on a free port until the server is closed.
func (f *workers) serve(handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Addr: listener.Addr().String(), Handler: handler, ReadHeaderTimeout: time.Second}
	f.run(server, listener)
	return server, nil
}

// run serves until the server or the workers are closed.
func (f *workers) run(server *http.Server, listener net.Listener) {
	f.mutex.Lock()
	f.servers = append(f.servers, server)
	f.mutex.Unlock()
	f.group.Go(func() error {
		// Serve always returns an error, and the only expected one is that the server was closed.
		_ = server.Serve(listener)
		return nil
	})
}

// answer sends a response. A caller that has gone needs none.
func answer(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// machines answers with the list of machines, which are up unless their workers have crashed.
func (f *workers) machines(w http.ResponseWriter, _ *http.Request) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	rows := []any{}
	for _, x := range f.all {
		row := map[string]any{"machine": x.machine, "pool": x.service, "state": "up", "zone": "zone", "labels": []string{"a", x.rack}, "capacity": x.capacity(), "id": x.id}
		if x.dead {
			row["state"] = "down"
			delete(row, "id")
		}
		rows = append(rows, row)
	}
	answer(w, http.StatusOK, map[string]any{"machines": rows, "next_token": ""})
}

// capacity returns the worker's room in the platform's form.
func (w *worker) capacity() map[string]int {
	return map[string]int{"cpu": w.cpu, "mem_mb": w.mem, "gpu": 0}
}

// add starts workers of a service, four to a rack.
func (f *workers) add(service string, count, cpu, mem int) error {
	for number := range count {
		f.mutex.Lock()
		w := &worker{
			fleet: f, id: fmt.Sprintf("i-%06x", len(f.all)+1), service: service, machine: fmt.Sprintf("m-%s-%d", service, number), rack: fmt.Sprintf("r1-%d", len(f.all)/4+1),
			cpu: cpu, mem: mem, born: f.clock.Now(), runs: map[string]*workerRun{}, highest: map[string]int{},
		}
		f.mutex.Unlock()
		server, err := f.serve(w.routes())
		if err != nil {
			return err
		}
		f.mutex.Lock()
		w.server = server
		f.all = append(f.all, w)
		w.register()
		f.mutex.Unlock()
	}
	return nil
}

// register writes the worker's entry to the store. The caller holds the lock.
func (w *worker) register() {
	w.seq++
	entry := map[string]any{
		"service": w.service, "address": w.server.Addr, "zone": "zone", "version": "1", "slots": 8, "state": "ready", "cold_remaining_ms": 0, "seq": w.seq,
		"machine": w.machine, "capacity": w.capacity(), "labels": []string{"a", w.rack},
	}
	w.addBirth(entry)
	if text, err := json.Marshal(entry); err == nil {
		w.fleet.platform.PutRegistration(w.id, string(text))
	}
}

// addBirth adds to what a worker says when it was started, if workers say that.
func (w *worker) addBirth(said map[string]any) {
	if w.fleet.reusesIDs {
		said["born"] = w.born.UnixMilli()
	}
}

// heartbeat is the time between two entries of a worker.
const heartbeat = 1500 * time.Millisecond

// beat writes the entries of all workers until they are closed.
func (f *workers) beat() error {
	for {
		f.clock.Sleep(heartbeat)
		f.mutex.Lock()
		if f.closed {
			f.mutex.Unlock()
			return nil
		}
		for _, w := range f.all {
			if !w.dead {
				w.register()
			}
		}
		f.mutex.Unlock()
	}
}

// close ends all workers.
func (f *workers) close() error {
	f.mutex.Lock()
	f.closed = true
	servers := slices.Clone(f.servers)
	f.mutex.Unlock()
	for _, server := range servers {
		// Close fails only for listeners that are closed already.
		_ = server.Close()
	}
	return f.group.Wait()
}

// countEnds returns the numbers of runs, and of those that have ended in a way.
func (f *workers) countEnds(how string) (all, ended int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, log := range f.logs {
		if log.how == how {
			ended++
		}
	}
	return len(f.logs), ended
}

// noteRuns notes all runs.
func (f *workers) noteRuns(s *scene) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, log := range f.logs {
		ended := "still runs"
		if !log.to.IsZero() {
			ended = fmt.Sprintf("%s at %.3f s", log.how, log.to.Sub(s.begunAt).Seconds())
		}
		s.note("run of %s, attempt %d, on %s from %.3f s: %s", log.task, log.attempt, log.worker, log.from.Sub(s.begunAt).Seconds(), ended)
	}
}
