package process

import (
	"damsonwinch/pkg/invariant"
	"damsonwinch/pkg/keeper"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/plan"
	"damsonwinch/pkg/platform"
	"damsonwinch/pkg/settings"
)

// Usual times of a deployment, where its settings name none.
const (
	usualLeaseMs       = 12_000
	usualDriftMs       = 500
	usualRenewMs       = 4000
	usualListMs        = 500
	usualSnapshotEvery = 2000
	usualStopMs        = 2000
	usualQueueKb       = 32_768
)

// Keeper is a running dw-keeper.
type Keeper struct {
	keeper     *keeper.Keeper
	platform   *platform.Client
	debug      *debug
	Metrics    *metrics.Set
	Invariants *invariant.Checker
}

// NewKeeper starts a keeper.
func NewKeeper(config settings.Keeper, options plan.Options, env Env) (*Keeper, error) {
	empty, err := InitialState()
	if err != nil {
		return nil, err
	}
	listeners, err := listenAll(config.Address, config.DebugAddress)
	if err != nil {
		return nil, err
	}
	set, book := newSet(env)
	client := platform.New(config.Platform, env.Dial)
	started, err := keeper.New(keeper.Deps{
		Settings: keeperWithDefaults(config), Clock: env.Clock, Log: client, List: client, Boxes: client, Dial: env.Dial,
		Listener: listeners[0], Logger: env.Logger.WithField("keeper", config.Node), Metrics: set, Invariants: book, InitialState: empty, PlanOptions: options,
	})
	if err != nil {
		return nil, err
	}
	return &Keeper{keeper: started, platform: client, debug: serveDebug(listeners[1], set), Metrics: set, Invariants: book}, nil
}

func keeperWithDefaults(config settings.Keeper) settings.Keeper {
	config.LeaseMs = orUsual(config.LeaseMs, usualLeaseMs)
	config.DriftMs = orUsual(config.DriftMs, usualDriftMs)
	config.RenewMs = orUsual(config.RenewMs, usualRenewMs)
	config.ListMs = orUsual(config.ListMs, usualListMs)
	config.SnapshotEvery = orUsual(config.SnapshotEvery, usualSnapshotEvery)
	return config
}

func orUsual(value, usual int) int {
	if value == 0 {
		return usual
	}
	return value
}

// Close stops the keeper and waits.
func (k *Keeper) Close() error {
	err := k.keeper.Close()
	k.platform.Close()
	k.debug.close()
	return err
}
