package logging

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damsonwinch/pkg/metrics"
)

// TestBlockedOutputDoesNotBlockLogging logs to a pipe that nobody reads.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	reader, writer := io.Pipe()
	clock, set := clockwork.NewRealClock(), metrics.New()
	log := New(Deps{Output: writer, Clock: clock, Metrics: set, LinesPerSecond: 10 * maxQueuedLines})

	started := clock.Now()
	for range 3 * maxQueuedLines {
		log.Info("decision")
	}

	assert.Assert(t, clock.Since(started) < 5*time.Second, "logging took %v", clock.Since(started))
	assert.Assert(t, set.Count("log_lines_not_queued") >= maxQueuedLines, "%d left out", set.Count("log_lines_not_queued"))
	assert.ErrorContains(t, log.Close(), "has taken nothing")
	assert.NilError(t, reader.Close())
}

// TestLinesBeyondTheLimitAreCounted checks that lines beyond the limit are left out, and that a summary
// counts them by message.
func TestLinesBeyondTheLimitAreCounted(t *testing.T) {
	var output bytes.Buffer
	clock, set := clockwork.NewFakeClock(), metrics.New()
	log := New(Deps{Output: &output, Clock: clock, Metrics: set, LinesPerSecond: 10})
	for range 8 {
		log.Debug("start")
	}
	for range 12 {
		log.Info("job accepted")
	}
	clock.Advance(time.Second)
	log.Info("after")
	assert.NilError(t, log.Close())

	counts := map[string]int{}
	leftOut := ""
	for _, line := range strings.Split(strings.TrimSpace(output.String()), "\n") {
		var fields map[string]string
		assert.NilError(t, json.Unmarshal([]byte(line), &fields))
		counts[fields["msg"]]++
		if fields["left_out"] != "" {
			leftOut = fields["left_out"]
		}
	}

	assert.DeepEqual(t, counts, map[string]int{"start": 5, "job accepted": 5, "after": 1, "log lines left out": 1})
	assert.Equal(t, leftOut, `7 of "job accepted", 3 of "start"`)
	assert.Equal(t, set.Count("log_lines_left_out"), 10)
}

// BenchmarkLine measures the time that the caller spends on a line that is written or left out.
func BenchmarkLine(b *testing.B) {
	for name, lines := range map[string]int{"written": 1 << 30, "left-out": 1} {
		b.Run(name, func(b *testing.B) {
			log := New(Deps{Output: io.Discard, Clock: clockwork.NewRealClock(), Metrics: metrics.New(), LinesPerSecond: lines})
			entry := log.WithField("job", "0123456789abcdef").WithField("endpoint", "i-0123456789")
			for b.Loop() {
				entry.WithField("why", "measured").Info("decision")
			}
			assert.NilError(b, log.Close())
		})
	}
}
