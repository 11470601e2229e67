// Package loadtest measures a request's way under load and faults, beside a
// plain gateway in the same run: round robin, no classes, no ejection.
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
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/standin"
	"damsonwinch/pkg/trial"
	"damsonwinch/pkg/wire"
)

// Options of a run.
type Options struct {
	Seed        uint64
	Connections int
	// Phase is the length of each phase.
	Phase    time.Duration
	Progress io.Writer
	Logger   logrus.FieldLogger
	Clock    damsonwinch.Clock
}

// ClassResult is what became of one class in a phase.
type ClassResult struct {
	Requests  int     `json:"requests"`
	InTime    int     `json:"in_time"`
	Refused   int     `json:"refused"`
	Failed    int     `json:"failed"`
	P50Ms     float64 `json:"p50_ms"`
	P99Ms     float64 `json:"p99_ms"`
	WaitP99Ms float64 `json:"wait_p99_ms"`
	histogram *hdrhistogram.Histogram
}

// PhaseResult is one phase through one gateway.
type PhaseResult struct {
	Phase   string                  `json:"phase"`
	Gateway string                  `json:"gateway"`
	Offered float64                 `json:"offered_per_second"`
	Goodput float64                 `json:"goodput_per_second"`
	Classes map[string]*ClassResult `json:"classes"`
}

// Report is a whole run.
type Report struct {
	Seed        uint64        `json:"seed"`
	Connections int           `json:"connections"`
	Slots       int           `json:"slots"`
	ServiceMs   int           `json:"service_ms"`
	Cost        Cost          `json:"cost"`
	Phases      []PhaseResult `json:"phases"`
	GoalResults []GoalResult  `json:"goals"`
}

// GoalResult is one goal and what was measured.
type GoalResult struct {
	Goal     string  `json:"goal"`
	Limit    float64 `json:"limit"`
	Measured float64 `json:"measured"`
	Met      bool    `json:"met"`
}

const (
	serviceMs      = 200
	service        = "quotes"
	poolName       = "all"
	slots          = 400
	floorSlots     = 352
	queueLimit     = 600
	urgentDeadline = 3 * time.Second
	normalDeadline = 3 * time.Second
	dayDeadline    = 30 * time.Second
	urgentPercent  = 20
	dayPercent     = 20
	percent        = 100
	badBoxEvery    = 10
)

// mix returns the class of a request and its deadline.
func mix(random *rand.Rand) (wire.Class, time.Duration) {
	switch drawn := random.IntN(percent); {
	case drawn < urgentPercent:
		return wire.ClassUrgent, urgentDeadline
	case drawn < urgentPercent+dayPercent:
		return wire.ClassSameDay, dayDeadline
	}
	return wire.ClassNormal, normalDeadline
}

// fleetUser is a user's fleet with one service on all of its boxes.
func fleetUser() (trial.User, error) {
	user, err := trial.NewUser(trial.Lisbon)
	if err != nil {
		return user, err
	}
	row := settings.Row{
		Pool: poolName, Weight: 1, Floor: floorSlots, Most: slots, Down: 1, Queue: queueLimit,
		DeadlineMs: int(dayDeadline.Milliseconds()), RunMs: 5000, Repeatable: true, AnswerKb: 64, RequestKb: 64,
	}
	user.Table = settings.Table{
		Deployment: settings.Deployment{Pools: []string{poolName}, Moves: 1, Rollout: 1, Buffer: 1, MaintainDays: 42},
		Services:   []settings.NamedRow{{Service: service, Row: row}},
	}
	return user, nil
}

// Run measures cost, overload and a bad box in ten.
func Run(ctx context.Context, options Options) (Report, error) {
	report := Report{Seed: options.Seed, Connections: options.Connections, Slots: slots, ServiceMs: serviceMs}
	user, err := fleetUser()
	if err != nil {
		return report, err
	}
	cluster, err := trial.StartReady(ctx, user, options.Seed, options.Logger)
	if err != nil {
		return report, err
	}
	err = report.measure(ctx, cluster, options)
	if closed := cluster.Close(); err == nil {
		err = closed
	}
	report.judge()
	return report, err
}

func (r *Report) measure(ctx context.Context, cluster *trial.Cluster, options Options) error {
	plain, err := startPlain(cluster)
	if err != nil {
		return err
	}
	defer plain.close()
	if r.Cost, err = measureCost(ctx, cluster, plain, options); err != nil {
		return err
	}
	say(options, "a direct call costs %.0f us of processor time, one through an entry %.2f times that", r.Cost.DirectUs, r.Cost.Ratio)
	for _, load := range []int{100, 150, 200} {
		for _, way := range []gateway{{"damsonwinch", cluster.ReadyAddresses()}, {"plain", []string{plain.address}}} {
			r.add(ctx, options, fmt.Sprintf("%d%%", load), way, load)
		}
	}
	breakBoxes(cluster)
	const light = 60
	for _, way := range []gateway{{"damsonwinch", cluster.ReadyAddresses()}, {"plain", []string{plain.address}}} {
		r.add(ctx, options, "bad-boxes", way, light)
	}
	return ctx.Err()
}

// breakBoxes makes one box in ten fail everything.
func breakBoxes(cluster *trial.Cluster) {
	number := 0
	for _, endpoint := range cluster.Endpoints {
		if number%badBoxEvery == 0 {
			endpoint.SetFault(standin.FaultFailAll)
		}
		number++
	}
}

func (r *Report) add(ctx context.Context, options Options, name string, way gateway, load int) {
	if ctx.Err() != nil {
		return
	}
	rate := float64(slots) * float64(time.Second/time.Millisecond) / serviceMs * float64(load) / percent
	result := drive(ctx, options, way, rate)
	result.Phase, result.Gateway, result.Offered = name, way.name, rate
	r.Phases = append(r.Phases, result)
	urgent := result.Classes[string(wire.ClassUrgent)]
	day := result.Classes[string(wire.ClassSameDay)]
	say(options, "%-9s %-11s goodput %5.0f/s; urgent p99 wait %6.0f ms; same-day in time %d of %d accepted", name, way.name, result.Goodput,
		urgent.WaitP99Ms, day.InTime, day.Requests-day.Refused)
}

func say(options Options, format string, values ...any) {
	_, _ = fmt.Fprintf(options.Progress, format+"\n", values...)
}

// judge compares the figures with the goals.
func (r *Report) judge() {
	r.verdict("processor time through an entry / of a direct call, at most", 1.5, r.Cost.Ratio, false)
	r.verdict("median added latency in us, at most", 300, r.Cost.AddedUs, false)
	urgent := r.class("150%", wire.ClassUrgent)
	r.verdict("urgent p99 wait / service time at 150%, at most", 2, urgent.WaitP99Ms/serviceMs, false)
	day := r.class("150%", wire.ClassSameDay)
	r.verdict("same-day accepted and in time at 150%, at least", 1, ratio(day.InTime, day.Requests-day.Refused), true)
	r.verdict("goodput at 200% / at 100%, at least", 0.95, r.goodput("200%")/max(1, r.goodput("100%")), true)
	bad := 0
	total := 0
	for _, class := range r.phase("bad-boxes").Classes {
		bad += class.Failed
		total += class.Requests
	}
	r.verdict("repeatable answered with one box in ten bad, at least", 0.999, 1-ratio(bad, total), true)
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func (r *Report) verdict(goal string, limit, measured float64, atLeast bool) {
	met := measured <= limit
	if atLeast {
		met = measured >= limit
	}
	r.GoalResults = append(r.GoalResults, GoalResult{Goal: goal, Limit: limit, Measured: measured, Met: met})
}

// phase returns damsonwinch's part of a phase.
func (r *Report) phase(name string) PhaseResult {
	for _, phase := range r.Phases {
		if phase.Phase == name && phase.Gateway == "damsonwinch" {
			return phase
		}
	}
	return PhaseResult{}
}

func (r *Report) goodput(name string) float64 {
	return r.phase(name).Goodput
}

func (r *Report) class(name string, class wire.Class) ClassResult {
	if result := r.phase(name).Classes[string(class)]; result != nil {
		return *result
	}
	return ClassResult{}
}
