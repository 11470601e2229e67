package main

import (
	"net"
	"net/http"
	"time"
)

// crash ends a worker's life at once. Its connections break, and its machine is down.
func (f *workers) crash(w *worker) error {
	f.mutex.Lock()
	w.dead = true
	for _, r := range w.runs {
		r.finish("gone")
	}
	server := w.server
	f.mutex.Unlock()
	return server.Close()
}

// startAgain starts another life of a worker that has crashed, under the same ID and at the same address. It knows nothing of
// before.
func (f *workers) startAgain(w *worker) (*worker, error) {
	listener, err := net.Listen("tcp", w.server.Addr)
	if err != nil {
		return nil, err
	}
	next := &worker{
		fleet: f, id: w.id, service: w.service, machine: w.machine, rack: w.rack, cpu: w.cpu, mem: w.mem, born: f.clock.Now(),
		runs: map[string]*workerRun{}, highest: map[string]int{},
	}
	next.server = &http.Server{Addr: w.server.Addr, Handler: next.routes(), ReadHeaderTimeout: time.Second}
	f.mutex.Lock()
	for number, other := range f.all {
		if other == w {
			f.all[number] = next
		}
	}
	f.mutex.Unlock()
	f.run(next.server, listener)
	return next, nil
}
