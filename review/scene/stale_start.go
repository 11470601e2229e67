package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"damsonwinch/platform/standin"
)

// Times of the case stale-start.
const (
	// claimAge is how old the claims of cells are when the case begins.
	claimAge = 4 * time.Second
	// maxFreeze bounds the freeze of the owner.
	maxFreeze = 1900 * time.Millisecond
	// staleWorkers is the number of workers: one of eight is within the share .14 that may be down.
	staleWorkers = 8
	// staleWorkMs is the work of each task.
	staleWorkMs = 1500
	// Rounds are played until the rule is broken, or one of these is reached.
	maxRounds    = 12
	maxRoundTime = 80 * time.Second
)

// freezer freezes the node whose append is the first after it was armed.
type freezer struct {
	scene  *scene
	armed  atomic.Bool
	job    atomic.Pointer[string] // The job of the round.
	frozen chan *node
}

// startProxy starts the proxy in front of a node's store.
func (f *freezer) startProxy(n *node) (string, error) {
	store, _, _ := f.scene.platform.Addresses()
	proxy := &storeProxy{store: store, client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	proxy.beforeAnswer = func(call *http.Request, body []byte) {
		isCellAppend := call.URL.Path == "/log-append" && strings.HasPrefix(call.URL.Query().Get("topic"), "keyed.cells")
		if !isCellAppend || !bytes.Contains(body, []byte(*f.job.Load())) || !f.armed.CompareAndSwap(true, false) {
			return
		}
		// The signal fails only if the process has ended, which the case notices later.
		_ = n.process.Signal(syscall.SIGSTOP)
		f.frozen <- n
	}
	server, err := f.scene.workers.serve(proxy)
	if err != nil {
		return "", err
	}
	return server.Addr, nil
}

// staleStart freezes the owner of a cell as the answer to its append is on its way. Another node takes over, a worker crashes
// and starts again under its ID, and the former owner goes on.
func staleStart(record string, trouble bool) (broken string, err error) {
	queue := standin.Queue{Name: "tenders", Host: host, PathPrefix: tendersPath, Pool: newPool, MaxAttempts: 4}
	s, err := newScene(standin.Options{Pools: []standin.Pool{{Name: queue.Pool}}}, 0, record, trouble, queue)
	defer func() { err = errors.Join(err, s.close()) }()
	if err != nil {
		return "", err
	}
	f, err := newWorkers(s.platform, s.clock)
	if err != nil {
		return "", err
	}
	s.workers, f.reusesIDs = f, true
	freeze := &freezer{scene: s, frozen: make(chan *node, 1)}
	freeze.job.Store(new(string))
	s.proxied = freeze.startProxy
	if err := errors.Join(f.add(queue.Pool, staleWorkers, workerCPU, workerMemoryMB), s.startNodes(3, queue)); err != nil {
		return "", err
	}
	f.onEnd = func(log *runLog) {
		if trouble && log.task == *freeze.job.Load()+".0.0.0" {
			freeze.armed.Store(true)
		}
	}
	begun := s.clock.Now()
	for round := 1; round <= maxRounds && s.clock.Since(begun) < maxRoundTime; round++ {
		s.clock.Sleep(claimAge)
		if err := s.playRound(freeze, fmt.Sprintf("5c0e7a21d94b36%02x", round)); err != nil {
			return "", err
		}
		if broken := f.judgeTwice(s); broken != "" {
			return broken, nil
		}
	}
	return "", nil
}

// playRound submits a job of two tasks, the second of which waits for the first, and freezes the owner when it has decided to
// start the second.
func (s *scene) playRound(freeze *freezer, job string) error {
	f := s.workers
	freeze.job.Store(&job)
	body := jobBody{Spec: fmt.Sprintf(`{"ms":%d}`, staleWorkMs), Phases: []step{
		{Count: 1, CPU: 5000, MemoryMB: 5000, EstimatedMs: staleWorkMs}, {Count: 1, CPU: 5000, MemoryMB: 5000, EstimatedMs: staleWorkMs, DependsOn: []int{0}},
	}}
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	f.mutex.Lock()
	f.jobs[job] = body
	f.mutex.Unlock()
	if status := s.submit(tendersPath+job, text, s.nodes...); status != http.StatusOK {
		return fmt.Errorf("%w: the job was answered with %d", errSetup, status)
	}
	if s.trouble {
		if err := s.playStaleStart(freeze, job+".0.1.0"); err != nil {
			return err
		}
	}
	if state := s.awaitState(tendersPath+job, 20*time.Second); state != "completed" {
		return fmt.Errorf("%w: the job is shown as %q", errSetup, state)
	}
	return nil
}

// playStaleStart plays the freeze of the owner and the crash of the worker on which it has decided to start the task.
func (s *scene) playStaleStart(freeze *freezer, task string) error {
	var owner *node
	select {
	case owner = <-freeze.frozen:
	case <-s.clock.After(10 * time.Second):
		return fmt.Errorf("%w: no append", errSetup)
	}
	begun := s.clock.Now()
	s.note("SIGSTOP to %s as the answer to its append is on its way", owner.config.Node)
	f := s.workers
	var taken *runLog
	if !s.waitUntil(maxFreeze, func() bool { taken = f.lastRun(task); return taken != nil }) {
		_ = owner.process.Signal(syscall.SIGCONT)
		return fmt.Errorf("%w: no other node has started the task", errSetup)
	}
	s.note("another node has taken over and started %s, attempt %d, on %s", task, taken.attempt, taken.worker)
	w := f.byID(taken.worker)
	s.note("%s crashes", w.id)
	if err := f.crash(w); err != nil {
		return err
	}
	again := s.waitUntil(maxFreeze-s.clock.Since(begun), func() bool { r := f.lastRun(task); return r != taken })
	if again {
		s.note("the task was started on %s, attempt %d", f.lastRun(task).worker, f.lastRun(task).attempt)
	}
	if _, err := f.startAgain(w); err != nil {
		return err
	}
	s.note("%s has started again under its ID; SIGCONT to %s after %d ms", w.id, owner.config.Node, s.clock.Since(begun).Milliseconds())
	return owner.process.Signal(syscall.SIGCONT)
}

// lastRun returns the newest run of a task, or nil.
func (f *workers) lastRun(task string) *runLog {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for number := len(f.logs) - 1; number >= 0; number-- {
		if f.logs[number].task == task {
			return f.logs[number]
		}
	}
	return nil
}

// byID returns the present life of a worker.
func (f *workers) byID(id string) *worker {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, w := range f.all {
		if w.id == id {
			return w
		}
	}
	return nil
}

// judgeTwice notes all runs, and returns what broke the rule TWICE.
func (f *workers) judgeTwice(s *scene) string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now, broken := s.clock.Now(), ""
	end := func(l *runLog) time.Time {
		if l.to.IsZero() {
			return now
		}
		return l.to
	}
	for number, a := range f.logs {
		s.note("run of %s, attempt %d, token %d, on %s born %d, from %.3f to %.3f s: %s", a.task, a.attempt, a.token, a.worker, a.born.UnixMilli(), a.from.Sub(s.begunAt).Seconds(), end(a).Sub(s.begunAt).Seconds(), a.how)
		for _, b := range f.logs[:number] {
			if a.task == b.task && a.from.Before(end(b)) && b.from.Before(end(a)) {
				broken = fmt.Sprintf("TWICE: attempts %d and %d of %s ran at once on %s and %s", b.attempt, a.attempt, a.task, b.worker, a.worker)
			}
		}
	}
	return broken
}
