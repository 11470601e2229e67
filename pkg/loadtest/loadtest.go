// Package loadtest measures the latency, goodput and processor time of requests
// through the entries of a fleet, under overload and with failing boxes. For comparison
// it measures a plain gateway in the same run, which sends requests to the boxes round
// robin, and has neither classes nor ejection.
package loadtest

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"

	"damsonwinch"
	"damsonwinch/pkg/fakes"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/trial"
	"damsonwinch/pkg/wire"
)

// Options are the options of Run.
type Options struct {
	// Seed determines the times and classes of the requests.
	Seed uint64
	// Connections is the maximum number of requests in flight.
	Connections int
	// Phase is the length of each phase.
	Phase time.Duration
	// Progress gets a line for each phase.
	Progress io.Writer
	Logger   logrus.FieldLogger
	Clock    damsonwinch.Clock
}

// ClassResult is the result of one class of requests in a phase.
type ClassResult struct {
	Requests int `json:"requests"`
	// InTime counts the responses with status 200 within the deadline.
	InTime int `json:"in_time"`
	// Refused counts the responses with status 429 or 503.
	Refused int `json:"refused"`
	// Failed counts the requests with another status or without a response.
	Failed int `json:"failed"`
	// P50Ms and P99Ms are quantiles of the latency of responses with status 200, in
	// milliseconds.
	P50Ms float64 `json:"p50_ms"`
	P99Ms float64 `json:"p99_ms"`
	// WaitP99Ms is P99Ms without the time that a request works on an endpoint. It is at
	// least 0.
	WaitP99Ms float64                 `json:"wait_p99_ms"`
	histogram *hdrhistogram.Histogram // Of the latency in microseconds.
}

// PhaseResult is the result of one phase through one gateway.
type PhaseResult struct {
	Phase   string `json:"phase"`
	Gateway string `json:"gateway"`
	// Offered is the number of requests per second that the phase was to send.
	Offered float64 `json:"offered_per_second"`
	// Goodput is the number of requests per second that were answered with status 200
	// within their deadlines.
	Goodput float64                 `json:"goodput_per_second"`
	Classes map[string]*ClassResult `json:"classes"` // By the name of the class.
}

// Report is the result of a run.
type Report struct {
	Seed        uint64 `json:"seed"`
	Connections int    `json:"connections"`
	// Slots is the number of requests that the boxes of the fleet can run at once, and
	// ServiceMs how long each request works on an endpoint, in milliseconds.
	Slots       int           `json:"slots"`
	ServiceMs   int           `json:"service_ms"`
	Cost        Cost          `json:"cost"`
	Phases      []PhaseResult `json:"phases"`
	GoalResults []GoalResult  `json:"goals"`
}

// GoalResult is a goal with the value that was measured for it.
type GoalResult struct {
	// Goal says what is measured and whether Limit is the largest or the smallest value
	// that meets the goal.
	Goal     string  `json:"goal"`
	Limit    float64 `json:"limit"`
	Measured float64 `json:"measured"`
	Met      bool    `json:"met"`
}

// The service that is measured, the settings of its pool, and the mix of the requests.
// slots is the number of slots of all boxes of trial.Lisbon together. One in
// failingBoxInterval boxes fails in the phase "bad-boxes".
const (
	serviceMs          = 200
	service            = "quotes"
	poolName           = "all"
	slots              = 400
	floorSlots         = 352
	queueLimit         = 600
	urgentDeadline     = 3 * time.Second
	normalDeadline     = 3 * time.Second
	sameDayDeadline    = 30 * time.Second
	urgentPercent      = 20
	sameDayPercent     = 20
	percent            = 100
	failingBoxInterval = 10
)

// drawClass returns a random class and the deadline of its requests.
func drawClass(random *rand.Rand) (wire.Class, time.Duration) {
	switch drawn := random.IntN(percent); {
	case drawn < urgentPercent:
		return wire.ClassUrgent, urgentDeadline
	case drawn < urgentPercent+sameDayPercent:
		return wire.ClassSameDay, sameDayDeadline
	}
	return wire.ClassNormal, normalDeadline
}

// loadUser returns a user of package trial, with the usual fleet and a table of one
// service that uses all boxes.
func loadUser() (trial.User, error) {
	user, err := trial.NewUser(trial.Lisbon)
	if err != nil {
		return user, err
	}
	row := settings.Row{
		Pool: poolName, Weight: 1, Floor: floorSlots, Most: slots, Down: 1, Queue: queueLimit,
		DeadlineMs: int(sameDayDeadline.Milliseconds()), RunMs: 5000, Repeatable: true, AnswerKb: 64, RequestKb: 64,
	}
	user.Table = settings.Table{
		Deployment: settings.Deployment{Pools: []string{poolName}, Moves: 1, Rollout: 1, Buffer: 1, MaintainDays: 42},
		Services:   []settings.NamedRow{{Service: service, Row: row}},
	}
	return user, nil
}

// Run measures the cost of a request, then phases with 100, 150 and 200 % of the load
// that the fleet can serve, then a phase in which one box in ten fails. Each phase goes
// through the entries first and through the plain gateway after that.
func Run(ctx context.Context, options Options) (Report, error) {
	report := Report{Seed: options.Seed, Connections: options.Connections, Slots: slots, ServiceMs: serviceMs}
	user, err := loadUser()
	if err != nil {
		return report, err
	}
	cluster, err := trial.StartReady(ctx, user, options.Seed, options.Logger)
	if err != nil {
		return report, err
	}
	err = report.measure(ctx, cluster, options)
	if closeErr := cluster.Close(); err == nil {
		err = closeErr
	}
	report.checkGoals()
	return report, err
}

// measure adds the cost and the results of all phases to the report.
func (r *Report) measure(ctx context.Context, cluster *trial.Cluster, options Options) error {
	plain, err := startPlainGateway(cluster)
	if err != nil {
		return err
	}
	defer plain.close()
	if r.Cost, err = measureCost(ctx, cluster, plain, options); err != nil {
		return err
	}
	logLine(options, "a direct call costs %.0f us of processor time, one through an entry %.2f times that", r.Cost.DirectUs, r.Cost.Ratio)
	for _, load := range []int{100, 150, 200} {
		for _, g := range []gateway{{"damsonwinch", cluster.ReadyAddresses()}, {"plain", []string{plain.address}}} {
			r.measurePhase(ctx, options, fmt.Sprintf("%d%%", load), g, load)
		}
	}
	failBoxes(cluster)
	const lightLoadPercent = 60
	for _, g := range []gateway{{"damsonwinch", cluster.ReadyAddresses()}, {"plain", []string{plain.address}}} {
		r.measurePhase(ctx, options, "bad-boxes", g, lightLoadPercent)
	}
	return ctx.Err()
}

// failBoxes makes one box in ten fail every request.
func failBoxes(cluster *trial.Cluster) {
	number := 0
	for _, endpoint := range cluster.Endpoints {
		if number%failingBoxInterval == 0 {
			endpoint.SetFault(fakes.FaultFailAll)
		}
		number++
	}
}

// measurePhase runs a phase through a gateway and adds its result to the report.
// loadPercent is a percentage of the rate that the fleet can serve.
func (r *Report) measurePhase(ctx context.Context, options Options, name string, g gateway, loadPercent int) {
	if ctx.Err() != nil {
		return
	}
	rate := float64(slots) * float64(time.Second/time.Millisecond) / serviceMs * float64(loadPercent) / percent
	result := offerLoad(ctx, options, g, rate)
	result.Phase, result.Gateway, result.Offered = name, g.name, rate
	r.Phases = append(r.Phases, result)
	urgent := result.Classes[string(wire.ClassUrgent)]
	sameDay := result.Classes[string(wire.ClassSameDay)]
	logLine(options, "%-9s %-11s goodput %5.0f/s; urgent p99 wait %6.0f ms; same-day in time %d of %d accepted", name, g.name, result.Goodput,
		urgent.WaitP99Ms, sameDay.InTime, sameDay.Requests-sameDay.Refused)
}

// logLine writes a line to the progress output.
func logLine(options Options, format string, values ...any) {
	_, _ = fmt.Fprintf(options.Progress, format+"\n", values...)
}

// checkGoals adds the goals to the report, with the values that were measured for them.
func (r *Report) checkGoals() {
	r.addGoal("processor time through an entry / of a direct call, at most", 1.5, r.Cost.Ratio, false)
	r.addGoal("median added latency in us, at most", 300, r.Cost.AddedUs, false)
	urgent := r.class("150%", wire.ClassUrgent)
	r.addGoal("urgent p99 wait / service time at 150%, at most", 2, urgent.WaitP99Ms/serviceMs, false)
	sameDay := r.class("150%", wire.ClassSameDay)
	r.addGoal("same-day accepted and in time at 150%, at least", 1, ratio(sameDay.InTime, sameDay.Requests-sameDay.Refused), true)
	r.addGoal("goodput at 200% / at 100%, at least", 0.95, r.goodput("200%")/max(1, r.goodput("100%")), true)
	failed := 0
	total := 0
	for _, class := range r.phase("bad-boxes").Classes {
		failed += class.Failed
		total += class.Requests
	}
	r.addGoal("repeatable answered with one box in ten bad, at least", 0.999, 1-ratio(failed, total), true)
}

// ratio returns part divided by whole, or 0 if whole is 0.
func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// addGoal adds a goal to the report. The limit is the smallest value that meets the
// goal if atLeast is set, otherwise the largest.
func (r *Report) addGoal(goal string, limit, measured float64, atLeast bool) {
	met := measured <= limit
	if atLeast {
		met = measured >= limit
	}
	r.GoalResults = append(r.GoalResults, GoalResult{Goal: goal, Limit: limit, Measured: measured, Met: met})
}

// phase returns the result of the named phase through the entries, or a zero result if
// the phase didn't run.
func (r *Report) phase(name string) PhaseResult {
	for _, phase := range r.Phases {
		if phase.Phase == name && phase.Gateway == "damsonwinch" {
			return phase
		}
	}
	return PhaseResult{}
}

// goodput returns the goodput of the named phase through the entries, in requests per
// second.
func (r *Report) goodput(name string) float64 {
	return r.phase(name).Goodput
}

// class returns the result of a class in the named phase through the entries, or a zero
// result if there is none.
func (r *Report) class(name string, class wire.Class) ClassResult {
	if result := r.phase(name).Classes[string(class)]; result != nil {
		return *result
	}
	return ClassResult{}
}
