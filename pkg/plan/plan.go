// Package plan decides which pool has which boxes, when each is maintained and
// which entry sends to it. It is pure: state and time in, proposals with
// reasons out. The budgets are the fold's own; a plan only asks.
package plan

import (
	"time"

	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/wire"
)

// Times by which the planner tells slow from lost.
const (
	// repairAfter is how long a box may be down before it is replaced.
	repairAfter = 30 * time.Second
	// backAfter is how long a maintenance may take before its wave halts.
	backAfter = 10 * time.Minute
	// mostHalted is the number of boxes not back that halts every wave.
	mostHalted = 3
	day        = 24 * time.Hour
)

// Plan is what should be done next, and why some of it waits.
type Plan struct {
	Proposals []wire.Proposal
	// Deferred says what is wanted and not proposed now, one sentence each.
	Deferred []string
}

// Options are the planner's choices that differ between deployments and trials.
type Options struct {
	// DownTimeout and BackAfter replace the usual times when above 0.
	DownTimeout        time.Duration
	MaintenanceTimeout time.Duration
}

func (o Options) withDefaults() Options {
	if o.DownTimeout == 0 {
		o.DownTimeout = repairAfter
	}
	if o.MaintenanceTimeout == 0 {
		o.MaintenanceTimeout = backAfter
	}
	return o
}

// planner carries one run: the state as it would be after what is planned.
type planner struct {
	state   fold.State
	boxes   []fold.Box // As they stood when the run began.
	atlas   atlas
	census  map[string]*census
	free    *shelf
	options Options
	plan    Plan
}

// New returns the plan for the fleet's pools and waves.
func New(state fold.State, options Options) Plan {
	p := &planner{state: state, options: options.withDefaults()}
	p.count()
	p.withdrawDrains()
	p.evictBroken()
	p.growPools()
	p.returnSurplus()
	p.maintainDue()
	return p.plan
}

func (p *planner) measures() settings.Deployment {
	return p.state.Table().Deployment()
}

// drain proposes a drain if the budgets allow it on top of what is planned.
func (p *planner) drain(box fold.Box, target string, maintain bool, cause string) error {
	next, err := p.state.WithDrain(box.Info.Name, target, maintain)
	if err != nil {
		return err
	}
	p.state = next
	p.plan.Proposals = append(p.plan.Proposals, wire.Proposal{
		Kind:   wire.KindDrain,
		Cause:  cause,
		Change: &wire.BoxChange{Box: box.Info.Name, Epoch: box.Epoch, Pool: target, Maintain: maintain},
	})
	return nil
}

func (p *planner) wait(sentence string) {
	p.plan.Deferred = append(p.plan.Deferred, sentence)
}

// due says whether a box should be maintained.
func (p *planner) due(box fold.Box) bool {
	every := time.Duration(p.measures().MaintainDays) * day
	if every == 0 {
		every = defaultMaintainDays * day
	}
	if box.MaintainedAt < p.measures().MaintainBefore {
		return true
	}
	return p.since(box.MaintainedAt) >= every
}

const defaultMaintainDays = 42

// since returns the log's time that has passed since a moment in milliseconds.
func (p *planner) since(moment int) time.Duration {
	return time.Duration(p.state.LogTimeMs()-moment) * time.Millisecond
}
