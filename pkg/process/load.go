package process

import (
	"context"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"damsonwinch"
	"damsonwinch/pkg/metrics"
)

// loadEvery is the time between two log lines on a node's load.
const loadEvery = 5 * time.Second

// load tells in the log what has kept a node busy, so that an owner which can't keep up
// is told from one that is cut off: the counters that have grown, and how late the node
// itself ran.
type load struct {
	clock   damsonwinch.Clock
	logger  logrus.FieldLogger
	metrics *metrics.Set
	before  map[string]int
	used    time.Duration
}

// run writes a line now and then until the context ends.
func (l *load) run(ctx context.Context) {
	ticker := l.clock.NewTicker(loadEvery)
	defer ticker.Stop()
	l.before, l.used = l.metrics.Counters(), processorTime()
	for {
		select {
		case <-ctx.Done():
			return
		case due := <-ticker.Chan():
			l.tell(l.clock.Since(due))
		}
	}
}

// processorTime returns the processor time that the process has used, 0 where the system
// doesn't tell.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// tell writes the line. Late is how long after its time the node got round to it.
func (l *load) tell(late time.Duration) {
	now := l.metrics.Counters()
	used := processorTime()
	fields := logrus.Fields{"late_ms": late.Milliseconds(), "processor_ms": (used - l.used).Milliseconds()}
	l.used = used
	for name, value := range now {
		if grown := value - l.before[name]; grown != 0 {
			fields[name] = grown
		}
	}
	l.before = now
	l.logger.WithFields(fields).Info("load")
}
