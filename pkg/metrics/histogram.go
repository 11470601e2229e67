package metrics

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range, in microseconds, and precision of the histograms. No call takes less than 10 us, and nothing waits for a
// call for longer than 5 minutes.
const (
	minMicros         = 10
	maxMicros         = int64(5 * 60 * 1_000_000)
	significantDigits = 2
)

// histogram is a histogram of durations. It implements expvar.Var.
type histogram struct {
	// mutex guards counts, since many goroutines record durations.
	mutex  sync.Mutex
	counts *hdrhistogram.Histogram
}

// summary is the JSON form of a histogram: the number of durations, their quantiles and their maximum in
// milliseconds.
type summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// String implements expvar.Var. It returns the summary in JSON.
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

// Observe adds a duration to a histogram. The first call with a name creates the histogram.
func (s *Set) Observe(name string, took time.Duration) {
	h := s.histogram(name)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	// A duration outside the range counts as the nearest one in the range.
	_ = h.counts.RecordValue(min(max(took.Microseconds(), minMicros), maxMicros))
}

// histogram returns the histogram with a name, and creates it if there is none.
func (s *Set) histogram(name string) *histogram {
	if existing, isHistogram := s.vars.Get(name).(*histogram); isHistogram {
		return existing
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if existing, isHistogram := s.vars.Get(name).(*histogram); isHistogram {
		return existing
	}
	created := &histogram{counts: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
	s.vars.Set(name, created)
	return created
}
