package fairshare

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// quietTime is how long a customer has to have had no job over its share until that is reported as its
// end. A customer near its weight would otherwise cause a log line every second.
const quietTime = 5 * time.Second

// Change is a customer that has come over its share, or has been within it for quietTime.
type Change struct {
	Customer string
	Over     bool
	Reason   string
}

// Changes returns the customers for which that has changed since the last call, sorted by name.
func (s *Shares) Changes(now time.Time) []Change {
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(s.customers)) {
		c := s.customers[name]
		over := !c.overAt.IsZero() && now.Sub(c.overAt) < quietTime
		if over == c.over {
			continue
		}
		c.over = over
		reason := fmt.Sprintf("no job over its share for %d ms", quietTime.Milliseconds())
		if over {
			arrived, entitled := s.arrivals(now, c)
			reason = Decision{Over: true, Arrived: arrived, Entitled: int(entitled)}.String()
		}
		changes = append(changes, Change{Customer: name, Over: over, Reason: reason})
	}
	return changes
}
