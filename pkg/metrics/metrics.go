// Package metrics holds the counters, gauges and histograms of one process and serves them in the format
// of expvar. Each process has its own set, unlike with expvar, so that several processes can run in one
// test.
package metrics

import (
	"expvar"
	"fmt"
	"net/http"
	"sync"
)

// Set holds the counters, gauges and histograms of one process.
type Set struct {
	vars *expvar.Map
	// mutex guards the creation of histograms, so that there is only one with each name.
	mutex sync.Mutex
}

// New returns an empty set.
func New() *Set {
	return &Set{vars: new(expvar.Map).Init()}
}

// Add adds delta to a counter. The first call with a name creates the counter.
func (s *Set) Add(name string, delta int) {
	s.vars.Add(name, int64(delta))
}

// SetGauge sets the value of a gauge, and creates the gauge if there is none with that name.
func (s *Set) SetGauge(name string, value int) {
	number := new(expvar.Int)
	number.Set(int64(value))
	s.vars.Set(name, number)
}

// Include makes another map of variables part of the set, under a name.
func (s *Set) Include(name string, vars *expvar.Map) {
	s.vars.Set(name, vars)
}

// Count returns the value of a counter or gauge, or 0 if there is none with that name.
func (s *Set) Count(name string) int {
	number, isInt := s.vars.Get(name).(*expvar.Int)
	if !isInt {
		return 0
	}
	return int(number.Value())
}

// Counters returns the values of all counters and gauges by their names.
func (s *Set) Counters() map[string]int {
	values := map[string]int{}
	s.vars.Do(func(entry expvar.KeyValue) {
		if number, isInt := entry.Value.(*expvar.Int); isInt {
			values[entry.Key] = int(number.Value())
		}
	})
	return values
}

// ServeHTTP writes the whole set as one JSON object.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	// The write fails if the client has gone away, which does no harm.
	_, _ = fmt.Fprintf(w, "{\"damsonwinch\": %s}\n", s.vars.String())
}
