package owner

import "damsonwinch/pkg/cell"

// counter maps a metric of the node to the statistic of a cell that is added to it.
type counter struct {
	name  string
	value func(cell.Stats) int
}

// counters are the node's metrics that sum up statistics of all its cells.
var counters = []counter{
	{"jobs_accepted", func(s cell.Stats) int { return s.JobsAccepted }},
	{"jobs_completed", func(s cell.Stats) int { return s.JobsCompleted }},
	{"jobs_failed", func(s cell.Stats) int { return s.JobsFailed }},
	{"jobs_given_up", func(s cell.Stats) int { return s.TasksGivenUp }},
	{"jobs_cancelled", func(s cell.Stats) int { return s.JobsCancelled }},
	{"jobs_absent", func(s cell.Stats) int { return s.JobsAbsent }},
	{"submissions_after_cancel", func(s cell.Stats) int { return s.LateSubmissions }},
	{"customers_held", func(s cell.Stats) int { return s.QuotaWaits }},
	{"jobs_over_share", func(s cell.Stats) int { return s.JobsOverShare }},
	{"jobs_not_admitted", func(s cell.Stats) int { return s.JobsNotAdmitted }},
	{"jobs_refused", func(s cell.Stats) int { return s.JobsRefused }},
	{"runs_started", func(s cell.Stats) int { return s.Starts }},
	{"runs_repeated", func(s cell.Stats) int { return s.Reruns }},
	{"runs_refused", func(s cell.Stats) int { return s.StartsRefused }},
	{"tickets_refused", func(s cell.Stats) int { return s.TicketsRefused }},
	{"tickets_missing", func(s cell.Stats) int { return s.TicketsMissing }},
	{"permit_calls", func(s cell.Stats) int { return s.PermitCalls }},
	{"permits_late", func(s cell.Stats) int { return s.PermitsLate }},
	{"runs_lapsed", func(s cell.Stats) int { return s.RunsLapsed }},
	{"runs_lost", func(s cell.Stats) int { return s.RunsLost }},
	{"runs_removed_unlisted", func(s cell.Stats) int { return s.Removals.Unlisted }},
	{"runs_removed_after_stop", func(s cell.Stats) int { return s.Removals.AfterStop }},
	{"runs_removed_inherited", func(s cell.Stats) int { return s.Removals.Inherited }},
	{"runs_removed_other_life", func(s cell.Stats) int { return s.Removals.OtherLife }},
	{"runs_removed_other_address", func(s cell.Stats) int { return s.Removals.OtherAddress }},
	{"runs_removed_by_box_list", func(s cell.Stats) int { return s.Removals.ByBoxList }},
	{"runs_removed_by_planner", func(s cell.Stats) int { return s.Removals.ByPlanner }},
	{"runs_removed_kept", func(s cell.Stats) int { return s.Removals.Kept }},
	{"runs_removed_not_sent", func(s cell.Stats) int { return s.Removals.NotSent }},
	{"runs_removed_dropped", func(s cell.Stats) int { return s.Removals.Dropped }},
	{"runs_removed_job_refused", func(s cell.Stats) int { return s.Removals.JobRefused }},
	{"endpoints_lost", func(s cell.Stats) int { return s.EndpointsLost }},
	{"endpoints_lost_falsely", func(s cell.Stats) int { return s.FalseExits }},
	{"polls_other_life", func(s cell.Stats) int { return s.OtherLifeReplies }},
	{"polls_other_life_acked", func(s cell.Stats) int { return s.OtherLifeAcks }},
	{"result_gaps", func(s cell.Stats) int { return s.ResultGaps }},
	{"results_late_done", func(s cell.Stats) int { return s.LateDone }},
	{"results_late_done_again", func(s cell.Stats) int { return s.LateDoneAgain }},
	{"endpoints_ejected", func(s cell.Stats) int { return s.Ejections }},
	{"endpoints_suspected", func(s cell.Stats) int { return s.Suspicions }},
}

// publishStats adds the increase of the cell's statistics since the last call to the node's metrics.
func (o *Owner) publishStats() {
	stats := o.cell.Stats()
	for _, counter := range counters {
		if increase := counter.value(stats) - counter.value(o.publishedStats); increase != 0 {
			o.deps.Metrics.Add(counter.name, increase)
		}
	}
	o.publishedStats = stats
}
