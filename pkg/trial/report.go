package trial

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"damsonwinch/pkg/wire"
)

// Report is the result of a run. ReportedViolations counts the violations that the
// processes themselves reported. All others are counted independently of the
// processes, by the clients, the endpoints and the observer.
type Report struct {
	// Users is the name of the user whose fleet ran.
	Users    string `json:"users"`
	Seed     uint64 `json:"seed"`
	Requests int    `json:"requests"`
	// Answered, NotRun and Unknown count the requests by the outcome that the client
	// got. The outcome is unknown if there was no response.
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// RunTwice counts requests that may not be repeated and ran more than once.
	RunTwice int `json:"run_twice"`
	// NotRunButRan counts requests with the outcome "not-run" that an endpoint ran.
	NotRunButRan int `json:"not_run_but_ran"`
	// WrongAnswer counts responses with status 200 whose body isn't the one expected for
	// the request.
	WrongAnswer int `json:"wrong_answer"`
	// CutInFlight counts requests that ran on a box when it was rebooted.
	CutInFlight int `json:"cut_in_flight"`
	// PoolOverlap counts how often a box ran requests of two pools at once.
	PoolOverlap int `json:"pool_overlap"`
	// BelowFloor counts the checks that found a pool whose serving boxes had fewer slots
	// than its floors require.
	BelowFloor int `json:"below_floor"`
	// ConfigReverted counts the checks that found a process with an older table than
	// before.
	ConfigReverted int `json:"config_reverted"`
	// SentToLeaving counts requests that reached a box too long after the list had
	// marked it as leaving.
	SentToLeaving int `json:"sent_to_leaving"`
	// ReportedViolations counts the violations that the processes reported.
	ReportedViolations int `json:"violations"`
	BoxesMoved         int `json:"boxes_moved"`
	BoxesMaintained    int `json:"boxes_maintained"`
	// TableRolloutMsMax is the longest time from the acceptance of a table until a
	// process had it in force, in milliseconds.
	TableRolloutMsMax int `json:"table_rollout_ms_max"`
	// LogAppends is the number of records that were appended to the log.
	LogAppends int `json:"log_appends"`

	// details has a line for each violation of which more is known. reasons counts the
	// requests that were not answered with status 200, by outcome and status.
	details []string
	reasons map[string]int
}

// TotalViolations returns the number of violations of all kinds. A correct system has
// none.
func (r Report) TotalViolations() int {
	return r.RunTwice + r.NotRunButRan + r.WrongAnswer + r.CutInFlight + r.PoolOverlap + r.BelowFloor + r.ConfigReverted +
		r.SentToLeaving + r.ReportedViolations
}

// report compares the results of the clients with the observations of the endpoints
// and adds what the observer and the processes counted.
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

// addResult counts the result of one request. runs is how often the endpoints observed
// the request to run.
func (r *Report) addResult(result clientResult, runs int) {
	r.Requests++
	switch result.outcome {
	case wire.OutcomeAnswered:
		r.Answered++
	case wire.OutcomeNotRun:
		r.NotRun++
		if runs > 0 {
			r.NotRunButRan++
			r.details = append(r.details, "reported as not run, but ran: "+result.nonce+" "+result.reason)
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

// Write writes the report as readable text, and as JSON on the last line.
func (r Report) Write(out io.Writer) error {
	lines := []string{
		"",
		fmt.Sprintf("requests   %d: %d answered, %d not run, %d unknown", r.Requests, r.Answered, r.NotRun, r.Unknown),
		fmt.Sprintf("fleet      %d boxes moved between pools, %d maintained", r.BoxesMoved, r.BoxesMaintained),
		fmt.Sprintf("table      in force everywhere within %d ms", r.TableRolloutMsMax),
		fmt.Sprintf("log        %d appends", r.LogAppends),
		fmt.Sprintf("violations %d in total", r.TotalViolations()),
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
