package trial

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"damsonwinch/pkg/wire"
)

// Report is what a run came to. The counts of harm come from the endpoints' and
// the callers' own books.
type Report struct {
	Users              string `json:"users"`
	Seed               uint64 `json:"seed"`
	Requests           int    `json:"requests"`
	Answered           int    `json:"answered"`
	NotRun             int    `json:"not_run"`
	Unknown            int    `json:"unknown"`
	RunTwice           int    `json:"run_twice"`
	NotRunButRan       int    `json:"not_run_but_ran"`
	WrongAnswer        int    `json:"wrong_answer"`
	CutInFlight        int    `json:"cut_in_flight"`
	PoolOverlap        int    `json:"pool_overlap"`
	BelowFloor         int    `json:"below_floor"`
	ConfigReverted     int    `json:"config_reverted"`
	SentToLeaving      int    `json:"sent_to_leaving"`
	ReportedViolations int    `json:"violations"`
	BoxesMoved         int    `json:"boxes_moved"`
	BoxesMaintained    int    `json:"boxes_maintained"`
	TableRolloutMsMax  int    `json:"table_rollout_ms_max"`
	LogAppends         int    `json:"log_appends"`

	details []string
	reasons map[string]int
}

// TotalViolations counts everything that must never happen.
func (r Report) TotalViolations() int {
	return r.RunTwice + r.NotRunButRan + r.WrongAnswer + r.CutInFlight + r.PoolOverlap + r.BelowFloor + r.ConfigReverted +
		r.SentToLeaving + r.ReportedViolations
}

// report compares the books.
func (r *run) report() Report {
	overlaps, cutInFlight, sentToLeaving := r.cluster.Observations.Violations()
	o := r.observer
	o.mutex.Lock()
	defer o.mutex.Unlock()
	report := Report{
		Users: r.options.User, Seed: r.options.Seed, CutInFlight: cutInFlight, PoolOverlap: overlaps, SentToLeaving: sentToLeaving,
		BelowFloor: o.belowFloor, ConfigReverted: o.versionReverted, BoxesMoved: o.moved, BoxesMaintained: o.maintained,
		TableRolloutMsMax: int(o.maxRollout.Milliseconds()), LogAppends: r.cluster.Platform.Log.Appends(), reasons: map[string]int{},
	}
	for _, count := range r.cluster.reportedViolations() {
		report.ReportedViolations += count
	}
	report.details = r.cluster.violations.details
	if r.generator != nil {
		for _, result := range r.generator.results() {
			report.addResult(result, r.cluster.Observations.Runs(result.nonce))
		}
	}
	return report
}

// addResult counts one line of the callers' book against the endpoints' book.
func (r *Report) addResult(result clientResult, runs int) {
	r.Requests++
	switch result.outcome {
	case wire.OutcomeAnswered:
		r.Answered++
	case wire.OutcomeNotRun:
		r.NotRun++
		if runs > 0 {
			r.NotRunButRan++
			r.details = append(r.details, "told not run and ran: "+result.nonce+" "+result.reason)
		}
	default:
		r.Unknown++
	}
	if result.wrongAnswer {
		r.WrongAnswer++
	}
	if !result.repeatable && runs > 1 {
		r.RunTwice++
		r.details = append(r.details, "ran twice: "+result.nonce)
	}
	if result.reason != "" {
		r.reasons[fmt.Sprintf("%s %d", result.outcome, result.status)]++
	}
}

// Write prints the report for a person and ends with one line of JSON.
func (r Report) Write(out io.Writer) error {
	lines := []string{
		"",
		fmt.Sprintf("requests   %d: %d answered, %d not run, %d unknown", r.Requests, r.Answered, r.NotRun, r.Unknown),
		fmt.Sprintf("fleet      %d boxes moved between pools, %d maintained", r.BoxesMoved, r.BoxesMaintained),
		fmt.Sprintf("table      in force everywhere within %d ms", r.TableRolloutMsMax),
		fmt.Sprintf("log        %d appends", r.LogAppends),
		fmt.Sprintf("harm       %d", r.TotalViolations()),
	}
	for _, reason := range slices.Sorted(maps.Keys(r.reasons)) {
		lines = append(lines, fmt.Sprintf("           %d times %s", r.reasons[reason], reason))
	}
	for _, detail := range r.details {
		lines = append(lines, "           "+detail)
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(out, jsonLine(r))
	return err
}
