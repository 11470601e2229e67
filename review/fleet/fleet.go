// Package fleet runs the project's nodes as separate processes on loopback addresses, with stand-ins of the
// platform, of workers and of clients that follow the users' pages. The cases under review/ use it.
package fleet

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"damsonwinch"
	"damsonwinch/platform/standin"
)

// What a worker has, as the sheet of the workshop's site says: about 32 cores and 128 GB.
const (
	workerCPU      = 32000
	workerMemoryMB = 131072
)

// heartbeat is heartbeat_ms of the example of settings.
const heartbeat = 1500 * time.Millisecond

// Service is a pool of workers.
type Service struct {
	Name    string
	Workers int
}

// Options configure a Fleet.
type Options struct {
	Services []Service
	Nodes    int
	// Program is the node's program, as the deploy file names it, and Root the root of the repository.
	Program string
	Root    string
	// Folder is where the settings and the nodes' output go.
	Folder string
	Record *Record
	Clock  damsonwinch.Clock
}

// Fleet is a small deployment.
type Fleet struct {
	Record  *Record
	Nodes   []*Node
	Workers []*Worker

	options   Options
	clock     damsonwinch.Clock
	group     errgroup.Group
	platform  *standin.Platform
	machines  *http.Server
	machineAt string
	storeAt   string
	// entriesAt is the address of the store without a proxy, for the workers.
	entriesAt string
	adviceAt  string
	ctx       context.Context
	cancel    context.CancelFunc
	// machineMutex guards Workers, upkeeps and the fields of machines after the start.
	machineMutex sync.Mutex
	upkeeps      map[string]*upkeep
	lives        atomic.Int64
	needMutex    sync.Mutex
	// needs holds, by job and step, what a task asks for.
	needs map[string]standin.Phase
}

// New starts the stand-ins. The nodes are started by StartNodes, after the first configuration.
func New(options Options) (*Fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{Record: options.Record, options: options, clock: options.Clock, ctx: ctx, cancel: cancel, needs: map[string]standin.Phase{}, upkeeps: map[string]*upkeep{}}
	var pools []standin.Pool
	for _, service := range options.Services {
		pools = append(pools, standin.Pool{Name: service.Name})
	}
	var err error
	f.platform, err = standin.New(standin.Options{Clock: options.Clock, Pools: pools, HeartbeatInterval: time.Second})
	if err != nil {
		return nil, err
	}
	f.storeAt, _, f.adviceAt = f.platform.Addresses()
	f.entriesAt = f.storeAt
	if err := f.serveMachines(); err != nil {
		return nil, err
	}
	for _, service := range options.Services {
		for number := range service.Workers {
			name := fmt.Sprintf("%s-%d", service.Name, number+1)
			worker, err := newWorker(f, "w-"+name, "m-"+name, service.Name)
			if err != nil {
				return nil, err
			}
			f.Workers = append(f.Workers, worker)
		}
	}
	f.group.Go(f.sendHeartbeats)
	return f, nil
}

// Close ends all processes and stand-ins.
func (f *Fleet) Close() error {
	for _, node := range f.Nodes {
		node.Kill()
	}
	f.cancel()
	for _, worker := range f.currentWorkers() {
		worker.close()
	}
	_ = f.machines.Close()
	err := f.platform.Close()
	if groupErr := f.group.Wait(); err == nil {
		err = groupErr
	}
	return err
}

// Configure writes a configuration as the operator does, and returns when the store has acknowledged it.
func (f *Fleet) Configure(version int, queues ...standin.Queue) error {
	for _, queue := range queues {
		f.Record.Note("config  version %d: queue %s at %s%s is run by service %s", version, queue.Name, queue.Host, queue.PathPrefix, queue.Pool)
	}
	err := f.platform.PutConfiguration(version, queues...)
	f.Record.Note("config  version %d acknowledged", version)
	return err
}

// WorkerOf returns the worker with the most of some starts.
func (f *Fleet) WorkerOf(starts []Start) *Worker {
	counts := map[string]int{}
	for _, s := range starts {
		counts[s.Worker]++
	}
	best := f.Workers[0]
	for _, w := range f.Workers {
		if counts[w.ID] > counts[best.ID] {
			best = w
		}
	}
	return best
}

// need returns what a task asks for. It is known from the job that the client sent.
func (f *Fleet) need(task string) (cpu, memory int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return 0, 0
	}
	f.needMutex.Lock()
	defer f.needMutex.Unlock()
	phase := f.needs[parts[0]+"."+parts[2]]
	return phase.MilliCPU, phase.MemoryMB
}

func (f *Fleet) setNeeds(job string, phases []standin.Phase) {
	f.needMutex.Lock()
	defer f.needMutex.Unlock()
	for number, phase := range phases {
		f.needs[fmt.Sprintf("%s.%d", job, number)] = phase
	}
}

// sendHeartbeats has each worker write its entry into the store every heartbeat.
func (f *Fleet) sendHeartbeats() error {
	client := &http.Client{Timeout: time.Second}
	for seq := 1; f.ctx.Err() == nil; seq++ {
		for _, w := range f.currentWorkers() {
			f.register(client, w, seq)
		}
		timer := f.clock.NewTimer(heartbeat)
		select {
		case <-timer.Chan():
		case <-f.ctx.Done():
		}
		timer.Stop()
	}
	return nil
}

// register writes a worker's entry, as PROTOCOL.md says under "Service discovery". A failed write is made up for
// by the next one.
func (f *Fleet) register(client *http.Client, w *Worker, seq int) {
	entry, err := json.Marshal(map[string]any{
		"service": w.Service, "address": w.Address, "zone": zoneName(0), "version": "1", "slots": 8, "state": "ready", "cold_remaining_ms": 0, "seq": seq,
		"machine": w.Machine, "capacity": map[string]int{"cpu": w.cpu, "mem_mb": w.memory, "gpu": 0}, "labels": []string{"a", "r1-1"},
	})
	if err == nil {
		f.putEntry(client, w.ID, entry)
	}
}

// forget removes a worker's entry.
func (f *Fleet) forget(w *Worker) {
	f.putEntry(&http.Client{Timeout: time.Second}, w.ID, nil)
}

func (f *Fleet) putEntry(client *http.Client, id string, entry []byte) {
	body := append([]byte{byte(len(id))}, id...)
	body = append(body, entry...)
	body = append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
	response, err := client.Post("http://"+f.entriesAt+"/log-append?topic=keyed.servers&part=0", "application/octet-stream", bytes.NewReader(body))
	if err == nil {
		_ = response.Body.Close()
	}
}

func zoneName(number int) string {
	return "zone-" + string(rune('a'+number))
}

// output opens the file for a node's output.
func (f *Fleet) output(name string) (*os.File, error) {
	return os.OpenFile(filepath.Join(f.options.Folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
}
