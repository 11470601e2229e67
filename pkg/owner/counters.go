package owner

import "damsonwinch/pkg/cell"

// counter is a figure of a cell that is added to the node's counters.
type counter struct {
	name string
	of   func(cell.Stats) int
}

var counters = []counter{
	{"jobs_accepted", func(s cell.Stats) int { return s.JobsAccepted }},
	{"jobs_completed", func(s cell.Stats) int { return s.JobsCompleted }},
	{"jobs_failed", func(s cell.Stats) int { return s.JobsFailed }},
	{"jobs_given_up", func(s cell.Stats) int { return s.JobsGivenUp }},
	{"jobs_cancelled", func(s cell.Stats) int { return s.JobsCancelled }},
	{"customers_held", func(s cell.Stats) int { return s.QuotaWaits }},
	{"jobs_refused", func(s cell.Stats) int { return s.JobsRefused }},
	{"runs_started", func(s cell.Stats) int { return s.Starts }},
	{"runs_repeated", func(s cell.Stats) int { return s.Reruns }},
	{"runs_refused", func(s cell.Stats) int { return s.StartsRefused }},
	{"runs_lapsed", func(s cell.Stats) int { return s.RunsLapsed }},
	{"runs_lost", func(s cell.Stats) int { return s.RunsLost }},
	{"endpoints_lost", func(s cell.Stats) int { return s.EndpointsLost }},
	{"endpoints_ejected", func(s cell.Stats) int { return s.Ejections }},
}

// publish adds what the cell has done since the last time to the node's counters.
func (o *Owner) publish() {
	now := o.cell.Stats()
	for _, counter := range counters {
		if by := counter.of(now) - counter.of(o.published); by != 0 {
			o.deps.Metrics.Add(counter.name, by)
		}
	}
	o.published = now
}
