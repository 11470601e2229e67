package main

import (
	"cmp"
	"net/http"
	"slices"
	"time"
)

// What tasks that fill do to the tail of a task that serves on the same worker.
const (
	quietTailMs  = 40 // The tail with nothing beside it.
	fillTailMs   = 80 // What each task that fills adds to it at its full pace, if its spec says nothing.
	fullPace     = 100
	paceTime     = 100 * time.Millisecond
	sampleTime   = 50 * time.Millisecond
	tailSamples  = 10 // Those of half a second.
	targetTailMs = 100
)

// tails holds what has been seen of the tail of the task that serves on a worker.
type tails struct {
	recent    []int
	overSince time.Time
	longest   time.Duration
}

// settle counts the work that a run has done at its pace. The caller holds the worker's lock.
func (r *taskRun) settle(now time.Time) {
	r.left -= now.Sub(r.since) * time.Duration(r.pace) / fullPace
	r.since = now
}

// work lets a run end once its work is done at its present pace. The caller holds the lock.
func (w *worker) work(r *taskRun) {
	r.turn++
	turn := r.turn
	if r.pace == 0 {
		return
	}
	w.p.clock.AfterFunc(r.left*fullPace/time.Duration(r.pace), func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		if r.turn == turn {
			w.end(r, "done")
		}
	})
}

// setPace sets the pace of a run. The caller holds the lock.
func (w *worker) setPace(call workerCall) (int, string) {
	r := w.runs[call.Task]
	if r == nil || r.attempt != call.Attempt {
		return http.StatusConflict, "old"
	}
	w.p.record("worker %s: pace %s attempt %d: %d", w.id, call.Task, call.Attempt, call.Percent)
	w.p.clock.AfterFunc(paceTime, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		r.settle(w.p.clock.Now())
		r.pace = call.Percent
		w.work(r)
	})
	return http.StatusOK, ""
}

// tail returns the tail of the task that serves here, or 0 if there is none. The caller holds the lock.
func (w *worker) tail() int {
	serves, tail := false, quietTailMs
	for _, r := range w.runs {
		serves = serves || r.phase.serves
		if r.phase.fills {
			tail += cmp.Or(r.what.TailMs, fillTailMs) * r.pace / fullPace
		}
	}
	if !serves {
		return 0
	}
	return tail
}

// reportedTail returns the highest tail of the last half second. The caller holds the lock.
func (w *worker) reportedTail() int {
	return slices.Max(append([]int{0}, w.tails.recent...))
}

// watch looks at the tail again and again, and notes for how long it has been over the target without a break.
func (w *worker) watch() error {
	for {
		w.p.clock.Sleep(sampleTime)
		w.mutex.Lock()
		if w.dead {
			w.mutex.Unlock()
			return nil
		}
		now, tail := w.p.clock.Now(), w.tail()
		w.tails.recent = append(w.tails.recent, tail)
		w.tails.recent = w.tails.recent[max(0, len(w.tails.recent)-tailSamples):]
		switch {
		case tail <= targetTailMs:
			w.tails.overSince = time.Time{}
		case w.tails.overSince.IsZero():
			w.tails.overSince = now
		default:
			w.tails.longest = max(w.tails.longest, now.Sub(w.tails.overSince))
		}
		w.mutex.Unlock()
	}
}
