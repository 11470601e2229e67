// Package metrics holds one process's counters and serves them as expvar does.
// Each process has its own set, so that several can run in one test.
package metrics

import (
	"expvar"
	"fmt"
	"net/http"
	"sync"
)

// Set is the counters and gauges of one process.
type Set struct {
	vars *expvar.Map
	// The lock keeps two histograms of one name from being made.
	mutex sync.Mutex
}

// New returns an empty set.
func New() *Set {
	return &Set{vars: new(expvar.Map).Init()}
}

// Add adds to a counter.
func (s *Set) Add(name string, by int) {
	s.vars.Add(name, int64(by))
}

// SetGauge sets a gauge.
func (s *Set) SetGauge(name string, value int) {
	number := new(expvar.Int)
	number.Set(int64(value))
	s.vars.Set(name, number)
}

// Include shows another map of counters under a name.
func (s *Set) Include(name string, vars *expvar.Map) {
	s.vars.Set(name, vars)
}

// Count returns a counter's value.
func (s *Set) Count(name string) int {
	number, isInt := s.vars.Get(name).(*expvar.Int)
	if !isInt {
		return 0
	}
	return int(number.Value())
}

// Counters returns the values of all counters and gauges.
func (s *Set) Counters() map[string]int {
	values := map[string]int{}
	s.vars.Do(func(entry expvar.KeyValue) {
		if number, isInt := entry.Value.(*expvar.Int); isInt {
			values[entry.Key] = int(number.Value())
		}
	})
	return values
}

// ServeHTTP writes all counters as one JSON object.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	// A reader that has gone away needs no counters.
	_, _ = fmt.Fprintf(w, "{\"damsonwinch\": %s}\n", s.vars.String())
}
