package cell

import (
	"fmt"

	"damsonwinch"
)

// checkResultGaps logs and counts a gap in the numbers of the results that are new to this owner: the endpoint has discarded
// results that this owner has not applied. An endpoint numbers the results of a life from 1 without gaps and discards only
// what has been acknowledged. results are sorted by their numbers. A gap before the first result that this owner applies is
// normal, since an earlier owner may have applied and acknowledged results.
func (c *Cell) checkResultGaps(e *endpoint, results []damsonwinch.RunResult) {
	last, missing := e.appliedSequence, 0
	for _, result := range results {
		if result.Sequence <= last {
			continue
		}
		if last > 0 {
			missing += result.Sequence - last - 1
		}
		last = result.Sequence
	}
	if missing == 0 {
		return
	}
	c.stats.ResultGaps++
	c.logEndpoint("results are missing", e, fmt.Sprintf("%d up to number %d; the last one applied before was number %d, the last one recorded %d",
		missing, last, e.appliedSequence, e.recordedSequence))
}
