package metrics

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms: from 10 us, less than any call takes, to
// 5 minutes, more than any is waited for, to two digits.
const (
	leastMicros = 10
	mostMicros  = int64(5 * 60 * 1_000_000)
	digits      = 2
)

// histogram is a histogram of times, shown at the metrics address.
type histogram struct {
	// The lock guards the counts: calls of many goroutines are measured.
	mutex  sync.Mutex
	counts *hdrhistogram.Histogram
}

// summary is what the metrics address shows of a histogram, in milliseconds.
type summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// String implements expvar.Var.
func (h *histogram) String() string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	milliseconds := func(micros int64) float64 { return float64(micros) / 1000 }
	text, err := json.Marshal(summary{
		Count: h.counts.TotalCount(), P50: milliseconds(h.counts.ValueAtQuantile(50)), P95: milliseconds(h.counts.ValueAtQuantile(95)),
		P99: milliseconds(h.counts.ValueAtQuantile(99)), Max: milliseconds(h.counts.Max()),
	})
	if err != nil {
		return "null"
	}
	return string(text)
}

// Observe adds a time to a histogram, which is made by the first one.
func (s *Set) Observe(name string, took time.Duration) {
	h := s.histogram(name)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	// A time beyond the range counts as the longest.
	_ = h.counts.RecordValue(min(max(took.Microseconds(), leastMicros), mostMicros))
}

func (s *Set) histogram(name string) *histogram {
	if known, isHistogram := s.vars.Get(name).(*histogram); isHistogram {
		return known
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if known, isHistogram := s.vars.Get(name).(*histogram); isHistogram {
		return known
	}
	made := &histogram{counts: hdrhistogram.New(leastMicros, mostMicros, digits)}
	s.vars.Set(name, made)
	return made
}
