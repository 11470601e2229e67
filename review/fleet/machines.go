package fleet

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// upkeepTime is upkeep_s.
const upkeepTime = 2 * time.Second

// upkeep is what the platform knows of the upkeep of a machine.
type upkeep struct {
	// down is set while the machine has its upkeep, and fence is the highest fencing token of its orders.
	down  bool
	fence int
	// waves are the waves for which it has begun its upkeep, with the time.
	waves map[int]time.Duration
}

// currentWorkers returns the workers that live now.
func (f *Fleet) currentWorkers() []*Worker {
	f.machineMutex.Lock()
	defer f.machineMutex.Unlock()
	return slices.DeleteFunc(slices.Clone(f.Workers), func(w *Worker) bool { return f.upkeeps[w.Machine] != nil && f.upkeeps[w.Machine].down })
}

// serveMachines serves the list of machines and orders on them. A move is refused as busy: the cases have no
// service that would need one.
func (f *Fleet) serveMachines() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", f.listMachines)
	mux.HandleFunc("POST /machine-upkeep", f.orderUpkeep)
	mux.HandleFunc("POST /machine-move", func(rw http.ResponseWriter, _ *http.Request) {
		f.Record.Note("machine a move is refused: busy")
		reply(rw, http.StatusConflict, map[string]any{"reason": "busy"})
	})
	f.machineAt, f.machines = listener.Addr().String(), &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	f.group.Go(func() error { return ignoreClosed(f.machines.Serve(listener)) })
	return nil
}

func (f *Fleet) listMachines(rw http.ResponseWriter, _ *http.Request) {
	f.machineMutex.Lock()
	defer f.machineMutex.Unlock()
	rows := []map[string]any{}
	for _, w := range f.Workers {
		state, id := "up", w.ID
		if f.upkeeps[w.Machine] != nil && f.upkeeps[w.Machine].down {
			state, id = "upkeep", ""
		}
		rows = append(rows, map[string]any{
			"machine": w.Machine, "pool": w.Service, "state": state, "zone": zoneName(0), "labels": []string{"a", "r1-1"}, "id": id,
			"capacity": map[string]int{"cpu": w.cpu, "mem_mb": w.memory, "gpu": 0},
		})
	}
	reply(rw, http.StatusOK, map[string]any{"machines": rows, "next_token": ""})
}

// orderUpkeep carries out an order to give a machine its upkeep: all that runs there dies at once, and a new worker
// appears after upkeepTime.
func (f *Fleet) orderUpkeep(rw http.ResponseWriter, r *http.Request) {
	var order struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	fence, err := strconv.Atoi(r.Header.Get("X-Damsonwinch-Fencing-Token"))
	if decodeErr := json.NewDecoder(r.Body).Decode(&order); decodeErr != nil || err != nil {
		reply(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	status, reason := f.beginUpkeep(order.Machine, order.Wave, fence)
	f.Record.Note("machine upkeep of %s for wave %d ordered by %s with token %d: %d %s", order.Machine, order.Wave, r.Header.Get("X-Damsonwinch-Duty-Holder"), fence, status, reason)
	if reason != "" {
		reply(rw, status, map[string]any{"reason": reason})
		return
	}
	reply(rw, status, map[string]any{})
}

func (f *Fleet) beginUpkeep(machine string, wave, fence int) (int, string) {
	f.machineMutex.Lock()
	defer f.machineMutex.Unlock()
	at := slices.IndexFunc(f.Workers, func(w *Worker) bool { return w.Machine == machine })
	if at < 0 {
		return http.StatusBadRequest, ""
	}
	if f.upkeeps[machine] == nil {
		f.upkeeps[machine] = &upkeep{waves: map[int]time.Duration{}}
	}
	u := f.upkeeps[machine]
	switch _, done := u.waves[wave]; {
	case fence < u.fence:
		return http.StatusConflict, "fence"
	case done:
		return http.StatusOK, ""
	case u.down:
		return http.StatusConflict, "busy"
	}
	u.fence, u.down, u.waves[wave] = fence, true, f.Record.Now()
	old := f.Workers[at]
	old.close()
	f.clock.AfterFunc(upkeepTime, func() { f.endUpkeep(at, old, u) })
	return http.StatusOK, ""
}

// endUpkeep starts a new worker on a machine.
func (f *Fleet) endUpkeep(at int, old *Worker, u *upkeep) {
	if f.ctx.Err() != nil {
		return
	}
	f.lives.Add(1)
	worker, err := newWorker(f, fmt.Sprintf("w%d-%s", f.lives.Load(), old.Machine), old.Machine, old.Service)
	if err != nil {
		f.Record.Note("machine %s has no new worker: %v", old.Machine, err)
		return
	}
	f.machineMutex.Lock()
	f.Workers[at], u.down = worker, false
	f.machineMutex.Unlock()
	f.register(&http.Client{Timeout: time.Second}, worker, 1)
	f.forget(old)
}

// RequestWave asks for the upkeep of all machines, as the operator does, and returns their names.
func (f *Fleet) RequestWave(number int, duration time.Duration, most int) ([]string, error) {
	var names []string
	for _, w := range f.currentWorkers() {
		names = append(names, w.Machine)
	}
	f.Record.Note("wave    %d: %v, in %v, %d at once", number, names, duration, most)
	return names, f.platform.PutWave(number, names, duration, most)
}

// WaveStatus returns what the system says of a wave.
func (f *Fleet) WaveStatus(number int) string {
	return f.platform.StatusRecord(fmt.Sprintf("wave/%d", number))
}

// NotBegun returns the machines that haven't begun their upkeep for a wave.
func (f *Fleet) NotBegun(number int, machines []string) []string {
	f.machineMutex.Lock()
	defer f.machineMutex.Unlock()
	var left []string
	for _, name := range machines {
		if u := f.upkeeps[name]; u == nil || u.waves[number] == 0 {
			left = append(left, name)
		}
	}
	return left
}
