package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// maxWaitingCalls is how many calls of one machine may wait at the advice service.
const maxWaitingCalls = 32

// advice is the service that says which workers may run a step. It permits all of them.
type advice struct {
	p      *platform
	mutex  sync.Mutex
	decide time.Duration
	each   time.Duration
	valid  time.Duration
	number int
	// issued holds when a ticket was issued, by the ticket, the step and the worker.
	issued map[string]time.Time
}

// set sets the figures of the queues' policy.
func (a *advice) set(decideMs, eachMs, validMs int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.decide, a.each, a.valid = time.Duration(decideMs)*time.Millisecond, time.Duration(eachMs)*time.Millisecond, time.Duration(validMs)*time.Millisecond
}

// policy returns what a route of the configuration says of it.
func (a *advice) policy() map[string]any {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return map[string]any{"decide_ms": a.decide.Milliseconds(), "each_ms": a.each.Milliseconds(), "valid_ms": a.valid.Milliseconds()}
}

// handler returns the handler of one machine's calls, which are handled one at a time, in turn.
func (a *advice) handler(node string) http.Handler {
	places := make(chan struct{}, maxWaitingCalls+1)
	turn := make(chan struct{}, 1)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", func(w http.ResponseWriter, r *http.Request) {
		var call struct {
			Phase   string   `json:"phase"`
			Workers []string `json:"workers"`
		}
		if err := json.NewDecoder(r.Body).Decode(&call); err != nil || len(call.Workers) > 100 {
			writeJSON(w, http.StatusBadRequest, map[string]any{})
			return
		}
		arrived := a.p.clock.Now()
		select {
		case places <- struct{}{}:
		default:
			a.p.record("advice: %s asks for %s: 429", node, call.Phase)
			writeJSON(w, http.StatusTooManyRequests, map[string]any{})
			return
		}
		defer func() { <-places }()
		select {
		case turn <- struct{}{}:
		case <-r.Context().Done():
			a.p.record("advice: %s gave up its call for %s after %d ms", node, call.Phase, a.p.clock.Since(arrived).Milliseconds())
			return
		}
		a.mutex.Lock()
		takes, valid := a.decide+time.Duration(len(call.Workers))*a.each, a.valid
		a.mutex.Unlock()
		a.p.clock.Sleep(takes)
		good := a.issue(call.Phase, call.Workers)
		<-turn
		a.p.record("advice: %s asked for %s on %d workers, answered after %d ms", node, call.Phase, len(call.Workers), a.p.clock.Since(arrived).Milliseconds())
		writeJSON(w, http.StatusOK, map[string]any{"good": good, "valid_ms": valid.Milliseconds()})
	})
	return mux
}

// issue issues tickets for a step on workers.
func (a *advice) issue(phase string, workers []string) [][]string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	good := [][]string{}
	for _, id := range workers {
		a.number++
		ticket := fmt.Sprintf("t-%06d", a.number)
		a.issued[ticket+" "+phase+" "+id] = a.p.clock.Now()
		good = append(good, []string{id, ticket})
	}
	return good
}

// isValid reports whether a ticket holds for a task on a worker.
func (a *advice) isValid(ticket, task, worker string) bool {
	phase := task[:strings.LastIndex(task, ".")]
	a.mutex.Lock()
	defer a.mutex.Unlock()
	at, found := a.issued[ticket+" "+phase+" "+worker]
	return found && a.p.clock.Since(at) <= a.valid
}
