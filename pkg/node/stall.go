package node

import "time"

const (
	// tickInterval is the time between two ticks of the main goroutine.
	tickInterval = time.Second
	// minStall is how late a tick must be handled to be reported.
	minStall = 500 * time.Millisecond
)

// noteStall counts and logs that the main goroutine handles a tick late: the process was stopped or had no processor
// time. Calls that reached the node meanwhile are handled from now on, though their clients may have gone.
func (n *Node) noteStall(now time.Time) {
	late := now.Sub(n.state.tickedAt) - tickInterval
	n.state.tickedAt = now
	if late < minStall {
		return
	}
	n.deps.Metrics.Add("stalls", 1)
	n.deps.Metrics.Add("stalled_ms", int(late.Milliseconds()))
	n.deps.Logger.WithField("for_ms", late.Milliseconds()).Warn("the process was stalled")
}
