package process

import (
	"context"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"damsonwinch"
	"damsonwinch/pkg/metrics"
)

// loadReportInterval is the time between two log lines about a node's load.
const loadReportInterval = 5 * time.Second

// loadReporter logs what has kept a node busy: the changes of its counters, the CPU time used and
// the delay with which the reporter's own timer was handled. The lines show whether an owner is
// overloaded or cut off.
type loadReporter struct {
	clock        damsonwinch.Clock
	logger       logrus.FieldLogger
	metrics      *metrics.Set
	lastCounters map[string]int // As of the last line.
	lastCPUTime  time.Duration  // As of the last line.
}

// run logs a line every loadReportInterval until ctx ends.
func (l *loadReporter) run(ctx context.Context) {
	ticker := l.clock.NewTicker(loadReportInterval)
	defer ticker.Stop()
	l.lastCounters, l.lastCPUTime = l.metrics.Counters(), cpuTime()
	for {
		select {
		case <-ctx.Done():
			return
		case due := <-ticker.Chan():
			l.report(l.clock.Since(due))
		}
	}
}

// cpuTime returns the CPU time that the process has used, or 0 if the system doesn't report it.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// report logs a line on the time since the last one. The delay is the time from the tick of the
// timer until the tick was handled.
func (l *loadReporter) report(delay time.Duration) {
	counters := l.metrics.Counters()
	used := cpuTime()
	fields := logrus.Fields{"late_ms": delay.Milliseconds(), "processor_ms": (used - l.lastCPUTime).Milliseconds()}
	l.lastCPUTime = used
	for name, value := range counters {
		if change := value - l.lastCounters[name]; change != 0 {
			fields[name] = change
		}
	}
	l.lastCounters = counters
	l.logger.WithFields(fields).Info("load")
}
