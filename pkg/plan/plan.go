// Package plan decides which boxes each pool has, when boxes are maintained and
// which entry sends requests to which box. It is a pure function of the fleet's
// state: it returns proposals with their causes. Package fleetstate defines the pools'
// budgets and checks each drain against them; this package only asks it which
// drains are possible.
package plan

import (
	"time"

	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/wire"
)

const (
	// defaultDownTimeout is how long a box may be down before it is replaced.
	defaultDownTimeout = 30 * time.Second
	// defaultMaintenanceTimeout is how long the maintenance of a box may take. After
	// that the wave in its pool halts: no further boxes of the pool are maintained.
	defaultMaintenanceTimeout = 10 * time.Minute
	// overdueBoxesToHalt is the number of overdue boxes, in all pools together, from
	// which on the waves in all pools halt. A box is overdue if it is in maintenance
	// for longer than the timeout.
	overdueBoxesToHalt = 3
	day                = 24 * time.Hour
)

// Plan lists the proposals to make next, and the changes that are deferred.
type Plan struct {
	Proposals []wire.Proposal
	// Deferred describes, in one sentence each, changes that are wanted but can't
	// be proposed now.
	Deferred []string
}

// Options are the planner's timeouts, which differ between deployments and trials.
// A timeout of 0 means the default.
type Options struct {
	// DownTimeout is how long a box may be down before it is replaced; the default
	// is 30 s.
	DownTimeout time.Duration
	// MaintenanceTimeout is how long a box may be in maintenance before its pool
	// maintains no further boxes; the default is 10 min.
	MaintenanceTimeout time.Duration
}

func (o Options) withDefaults() Options {
	if o.DownTimeout == 0 {
		o.DownTimeout = defaultDownTimeout
	}
	if o.MaintenanceTimeout == 0 {
		o.MaintenanceTimeout = defaultMaintenanceTimeout
	}
	return o
}

// planner holds the data of one run of New.
type planner struct {
	state   fleetstate.State // After the drains that have been planned so far.
	boxes   []fleetstate.Box // As they were at the start of the run.
	locator locator
	pools   map[string]*poolCount // By name, without the free pool.
	free    *freeBoxes
	options Options
	plan    Plan
}

// New returns the plan for the fleet's pools and the maintenance of its boxes. See
// AssignSenders for the boxes' senders.
func New(state fleetstate.State, options Options) Plan {
	p := &planner{state: state, options: options.withDefaults()}
	p.countBoxes()
	p.cancelDrains()
	p.evictBroken()
	p.growPools()
	p.freeSurplus()
	p.maintainDueBoxes()
	return p.plan
}

// deployment returns the table's settings for the whole fleet: the pools, the
// weights of the planner's costs and the maintenance intervals.
func (p *planner) deployment() settings.Deployment {
	return p.state.Table().Deployment()
}

// proposeDrain adds a drain to the plan. It returns an error if the drain would be
// refused after those that are already in the plan.
func (p *planner) proposeDrain(box fleetstate.Box, target string, maintain bool, cause string) error {
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

// deferChange adds a sentence to the plan's deferred changes.
func (p *planner) deferChange(sentence string) {
	p.plan.Deferred = append(p.plan.Deferred, sentence)
}

// isMaintenanceDue reports whether a box should be maintained: its last maintenance
// was before the moment that the table sets, or at least a maintenance interval
// ago.
func (p *planner) isMaintenanceDue(box fleetstate.Box) bool {
	interval := time.Duration(p.deployment().MaintainDays) * day
	if interval == 0 {
		interval = defaultMaintenanceDays * day
	}
	if box.MaintainedAt < p.deployment().MaintainBefore {
		return true
	}
	return p.elapsedSince(box.MaintainedAt) >= interval
}

// defaultMaintenanceDays is the maintenance interval if the table sets none.
const defaultMaintenanceDays = 42

// elapsedSince returns the log time since a moment, which is in milliseconds since
// 1970.
func (p *planner) elapsedSince(moment int) time.Duration {
	return time.Duration(p.state.LogTimeMs()-moment) * time.Millisecond
}
