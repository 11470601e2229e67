package fleet

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"damsonwinch"
)

// Record writes what was sent, answered and run to a file, and keeps what the checks of the rules need.
type Record struct {
	clock   damsonwinch.Clock
	begunAt time.Time
	mutex   sync.Mutex
	file    *os.File
	writer  *bufio.Writer
	starts  []Start
	ends    []End
}

// Start is a task that a worker has begun on an order.
type Start struct {
	At      time.Duration
	Worker  string
	Service string
	Task    string
	Attempt int
	Fence   int
}

// End is the end of a run. NotedAt is when last_seen reached it, or 0 if it never did.
type End struct {
	At      time.Duration
	Worker  string
	Number  int
	Task    string
	Attempt int
	How     string
	NotedAt time.Duration
}

// NewRecord creates the file.
func NewRecord(path string, clock damsonwinch.Clock) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{clock: clock, begunAt: clock.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

// Close writes what is buffered and closes the file.
func (r *Record) Close() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err := r.writer.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}

// Now returns the time since the record was begun.
func (r *Record) Now() time.Duration {
	return r.clock.Since(r.begunAt)
}

// Note adds a line.
func (r *Record) Note(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.line(format, args...)
}

// line adds a line. The caller holds the lock. A failed write shows when the file is closed.
func (r *Record) line(format string, args ...any) {
	_, _ = fmt.Fprintf(r.writer, "%8.3f s  %s\n", r.Now().Seconds(), fmt.Sprintf(format, args...))
}

func (r *Record) start(w *Worker, o order) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.starts = append(r.starts, Start{At: r.Now(), Worker: w.ID, Service: w.Service, Task: o.Task, Attempt: o.Attempt, Fence: o.Fence})
	r.line("start   %s attempt %d at %s of %s, fencing token %d", o.Task, o.Attempt, w.ID, w.Service, o.Fence)
}

func (r *Record) end(w *Worker, number int, task string, attempt int, how string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ends = append(r.ends, End{At: r.Now(), Worker: w.ID, Number: number, Task: task, Attempt: attempt, How: how})
	r.line("end     %s attempt %d at %s: %s, number %d", task, attempt, w.ID, how, number)
}

// noted notes that an end was taken note of.
func (r *Record) noted(w *Worker, e end) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for at := range r.ends {
		if known := &r.ends[at]; known.Worker == w.ID && known.Number == e.number && known.NotedAt == 0 {
			known.NotedAt = r.Now()
		}
	}
	r.line("noted   number %d at %s, %s attempt %d %s", e.number, w.ID, e.task, e.attempt, e.how)
}

func (r *Record) listed(w *Worker, running, finished, unseen int) {
	if finished == 0 {
		return
	}
	r.Note("listed  %s: %d running, %d of %d ends", w.ID, running, finished, unseen)
}

// Starts returns the starts of tasks whose names begin with a prefix.
func (r *Record) Starts(prefix string) []Start {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var starts []Start
	for _, s := range r.starts {
		if strings.HasPrefix(s.Task, prefix) {
			starts = append(starts, s)
		}
	}
	return starts
}

// Ends returns the ends of tasks whose names begin with a prefix.
func (r *Record) Ends(prefix string) []End {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var ends []End
	for _, e := range r.ends {
		if strings.HasPrefix(e.Task, prefix) {
			ends = append(ends, e)
		}
	}
	return ends
}

// StartsAfterDone returns the starts that break TWICE by its second sentence: a start of a task after a run of
// it has ended done, where that end is taken note of at that time or afterwards.
func (r *Record) StartsAfterDone() []Start {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	doneAt := map[string]time.Duration{}
	for _, e := range r.ends {
		if _, known := doneAt[e.Task]; !known && e.How == "done" && e.NotedAt > 0 {
			doneAt[e.Task] = e.At
		}
	}
	var broken []Start
	for _, s := range r.starts {
		if at, done := doneAt[s.Task]; done && s.At > at {
			broken = append(broken, s)
		}
	}
	return broken
}
