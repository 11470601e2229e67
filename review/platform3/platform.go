package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
)

// Sizes and times of machines.
const (
	machineCPU      = 32_000
	machineMemoryMB = 131_072
	moveTime        = 1500 * time.Millisecond
	upkeepTime      = 2 * time.Second
	perRack         = 4
)

// machine is a machine that runs a worker.
type machine struct {
	name, pool, state, zone, rack string
	token                         int
	waves                         map[int]bool
	worker                        *worker
}

// oddMachine is the only machine that has the label oddLabel.
const (
	oddMachine = "m-00"
	oddLabel   = "c"
)

func (m *machine) labels() []string {
	if m.name == oddMachine {
		return []string{oddLabel, m.rack}
	}
	return []string{"a", m.rack}
}

// jobPhase is what the platform knows of a phase of a job that a client has sent.
type jobPhase struct {
	cpu            int
	lasts, advised bool
	serves, fills  bool
}

// taskCounts counts what has become of a task.
type taskCounts struct {
	started, refused, done, failed int
}

// platform is the stand-in of the users' platform: store, workers, control of machines and advice.
type platform struct {
	clock    clockwork.Clock
	begun    time.Time
	group    errgroup.Group
	store    *store
	advice   *advice
	mutex    sync.Mutex
	out      *os.File
	machines []*machine
	lives    int
	jobs     map[string][]jobPhase
	counts   map[string]*taskCounts
}

func newPlatform(clock clockwork.Clock, out *os.File) *platform {
	p := &platform{clock: clock, begun: clock.Now(), store: newStore(clock), out: out, jobs: map[string][]jobPhase{}, counts: map[string]*taskCounts{}}
	p.advice = &advice{p: p, issued: map[string]time.Time{}}
	return p
}

// record writes a line to the record, with the seconds since the start.
func (p *platform) record(format string, args ...any) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.recordLocked(format, args...)
}

func (p *platform) recordLocked(format string, args ...any) {
	// If the record can't be written, the case shows that by its end.
	_, _ = fmt.Fprintf(p.out, "%8.3f %s\n", p.clock.Since(p.begun).Seconds(), fmt.Sprintf(format, args...))
}

// serve serves a handler on a free port and returns the address.
func (p *platform) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	p.group.Go(func() error {
		_ = server.Serve(listener)
		return nil
	})
	return listener.Addr().String(), nil
}

// addMachines adds machines to a pool and starts their workers.
func (p *platform) addMachines(pool string, count int) error {
	for range count {
		p.mutex.Lock()
		number := len(p.machines)
		m := &machine{name: fmt.Sprintf("m-%02d", number), pool: pool, state: "down", zone: "z" + strconv.Itoa(number%2+1), rack: fmt.Sprintf("r1-%d", number/perRack+1), waves: map[int]bool{}}
		p.machines = append(p.machines, m)
		p.mutex.Unlock()
		if err := p.startWorker(m); err != nil {
			return err
		}
	}
	return nil
}

func (p *platform) startWorker(m *machine) error {
	p.mutex.Lock()
	p.lives++
	id := fmt.Sprintf("i-%04d", p.lives)
	p.mutex.Unlock()
	w, err := p.newWorker(m, id)
	if err != nil {
		return err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	m.worker, m.state = w, "up"
	return nil
}

// workers returns the workers that are up.
func (p *platform) workers() []*worker {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var up []*worker
	for _, m := range p.machines {
		if m.worker != nil {
			up = append(up, m.worker)
		}
	}
	return up
}

// controlHandler returns the handler of the control of machines.
func (p *platform) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", p.list)
	mux.HandleFunc("POST /machine-move", p.order)
	mux.HandleFunc("POST /machine-upkeep", p.order)
	return mux
}

func (p *platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	rows := []map[string]any{}
	for _, m := range p.machines {
		row := map[string]any{
			"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": m.labels(),
			"capacity": map[string]int{"cpu": machineCPU, "mem_mb": machineMemoryMB, "gpu": 0},
		}
		if m.worker != nil {
			row["id"] = m.worker.id
		}
		rows = append(rows, row)
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": rows, "next_token": nil})
}

// order carries out an order on a machine.
func (p *platform) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int    `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{})
		return
	}
	token, _ := strconv.Atoi(r.Header.Get("X-Damsonwinch-Fencing-Token"))
	p.mutex.Lock()
	defer p.mutex.Unlock()
	index := slices.IndexFunc(p.machines, func(m *machine) bool { return m.name == order.Machine })
	if index < 0 {
		writeJSON(w, http.StatusBadRequest, map[string]any{})
		return
	}
	m := p.machines[index]
	status, reason := http.StatusOK, ""
	switch {
	case token < m.token:
		status, reason = http.StatusConflict, "fence"
	case order.Pool != "" && order.Pool == m.pool, order.Wave != 0 && m.waves[order.Wave]:
	case m.state != "up":
		status, reason = http.StatusConflict, "busy"
	case order.Pool != "":
		m.pool, m.state = order.Pool, "moving"
		p.takeDown(m, moveTime)
	default:
		m.waves[order.Wave], m.state = true, "upkeep"
		p.takeDown(m, upkeepTime)
	}
	m.token = max(m.token, token)
	p.recordLocked("order on %s: pool %q wave %d by %s token %d: %d %s", order.Machine, order.Pool, order.Wave, r.Header.Get("X-Damsonwinch-Duty-Holder"), token, status, reason)
	writeJSON(w, status, map[string]any{"reason": reason})
}

// takeDown ends the worker of a machine and starts another one after a time. The caller holds the lock.
func (p *platform) takeDown(m *machine, downtime time.Duration) {
	gone := m.worker
	m.worker = nil
	p.group.Go(func() error {
		if gone != nil {
			gone.kill()
		}
		p.clock.Sleep(downtime)
		return p.startWorker(m)
	})
}

// addJob notes the phases of a job that a client is about to send.
func (p *platform) addJob(id string, phases []jobPhase) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.jobs[id] = phases
}

// phaseOf returns the phase of a task. Tasks of unknown jobs get the zero value.
func (p *platform) phaseOf(task string) jobPhase {
	parts := strings.Split(task, ".")
	p.mutex.Lock()
	defer p.mutex.Unlock()
	phases := p.jobs[parts[0]]
	if len(parts) != 4 {
		return jobPhase{}
	}
	number, err := strconv.Atoi(parts[2])
	if err != nil || number >= len(phases) {
		return jobPhase{}
	}
	return phases[number]
}

// count returns the counts of a task. The caller holds the lock.
func (p *platform) count(task string) *taskCounts {
	if p.counts[task] == nil {
		p.counts[task] = &taskCounts{}
	}
	return p.counts[task]
}

// noteStart counts a start of a task, and returns how many have been refused so far.
func (p *platform) noteStart(task string, status int) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	counts := p.count(task)
	if status == http.StatusOK {
		counts.started++
	} else {
		counts.refused++
	}
	return counts.refused
}

func (p *platform) noteEnd(task, how string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch how {
	case "done":
		p.count(task).done++
	case "failed":
		p.count(task).failed++
	}
}

// failuresLeft reports whether a run of a task that now begins is one of those that fail.
func (p *platform) failuresLeft(task string, failures int) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.count(task).failed < failures
}

// countsOf returns the sums of the counts of a job's tasks.
func (p *platform) countsOf(job string) taskCounts {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var sum taskCounts
	for task, counts := range p.counts {
		if strings.HasPrefix(task, job+".") {
			sum.started += counts.started
			sum.refused += counts.refused
			sum.done += counts.done
			sum.failed += counts.failed
		}
	}
	return sum
}
