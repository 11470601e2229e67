package membership

import "time"

// stableTime is how long the number of members must not have changed for their list to be
// taken for complete. Until the group uses enough topics, each read shows more members than the one
// before. The list of 147 nodes once stayed at 95 members for a second, without four of the eighteen
// strongest nodes, and the layout was chosen for 60 owners.
const stableTime = 2 * time.Second

// Completeness tells whether the list of members probably holds all members. The zero value is that of a list
// that hasn't been read.
type Completeness struct {
	// stableSince is the time from which all reads have shown a stable list.
	stableSince time.Time
	complete    bool
}

// WithRead returns the completeness after a read, or a confirmation, of the list as of a time. stable reports
// whether it has shown the same number of members as the read before and no sign that members are missing.
func (c Completeness) WithRead(at time.Time, stable bool) Completeness {
	if !stable {
		c.stableSince = at
	}
	c.complete = at.Sub(c.stableSince) >= stableTime
	return c
}

// Complete reports whether the list counts as complete.
func (c Completeness) Complete() bool {
	return c.complete
}
