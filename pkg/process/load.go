package process

import (
	"context"
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
}

// run writes a line now and then until the context ends.
func (l *load) run(ctx context.Context) {
	ticker := l.clock.NewTicker(loadEvery)
	defer ticker.Stop()
	l.before = l.metrics.Counters()
	for {
		select {
		case <-ctx.Done():
			return
		case due := <-ticker.Chan():
			l.tell(l.clock.Since(due))
		}
	}
}

// tell writes the line. Late is how long after its time the node got round to it.
func (l *load) tell(late time.Duration) {
	now := l.metrics.Counters()
	fields := logrus.Fields{"late_ms": late.Milliseconds()}
	for name, value := range now {
		if grown := value - l.before[name]; grown != 0 {
			fields[name] = grown
		}
	}
	l.before = now
	l.logger.WithFields(fields).Info("load")
}
