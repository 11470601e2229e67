package process

import (
	"damsonwinch/pkg/invariant"
	"damsonwinch/pkg/keeper"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/plan"
	"damsonwinch/pkg/platform"
	"damsonwinch/pkg/settings"
)

// Defaults of the settings of keepers and entries.
const (
	defaultLeaseMs              = 12_000
	defaultDriftMs              = 500
	defaultRenewMs              = 4000
	defaultListMs               = 500
	defaultSnapshotEveryRecords = 2000
	defaultStopMs               = 2000
	defaultQueueKB              = 32_768
)

// Keeper is a running dw-keeper.
type Keeper struct {
	keeper     *keeper.Keeper
	platform   *platform.Client
	debug      *debugServer
	Metrics    *metrics.Set
	Invariants *invariant.Checker
}

// NewKeeper starts a keeper. When NewKeeper returns, the keeper serves at the addresses of its
// settings. Fields of options that are 0 mean the planner's defaults.
func NewKeeper(config settings.Keeper, options plan.Options, env Env) (*Keeper, error) {
	initialState, err := InitialState()
	if err != nil {
		return nil, err
	}
	listeners, err := listenAll(config.Address, config.DebugAddress)
	if err != nil {
		return nil, err
	}
	set, checker := newMetrics(env)
	client := platform.New(config.Platform, env.Dial)
	started, err := keeper.New(keeper.Deps{
		Settings: keeperWithDefaults(config), Clock: env.Clock, Log: client, List: client, Boxes: client, Dial: env.Dial,
		Listener: listeners[0], Logger: env.Logger.WithField("keeper", config.Node), Metrics: set, Invariants: checker, InitialState: initialState, PlanOptions: options,
	})
	if err != nil {
		return nil, err
	}
	return &Keeper{keeper: started, platform: client, debug: serveDebug(listeners[1], set), Metrics: set, Invariants: checker}, nil
}

// keeperWithDefaults returns the settings with defaults in place of zero values.
func keeperWithDefaults(config settings.Keeper) settings.Keeper {
	config.LeaseMs = orDefault(config.LeaseMs, defaultLeaseMs)
	config.DriftMs = orDefault(config.DriftMs, defaultDriftMs)
	config.RenewMs = orDefault(config.RenewMs, defaultRenewMs)
	config.ListMs = orDefault(config.ListMs, defaultListMs)
	config.SnapshotEvery = orDefault(config.SnapshotEvery, defaultSnapshotEveryRecords)
	return config
}

// orDefault returns a setting, or its default if the setting is 0.
func orDefault(value, defaultValue int) int {
	if value == 0 {
		return defaultValue
	}
	return value
}

// Close stops the keeper and waits for its goroutines.
func (k *Keeper) Close() error {
	err := k.keeper.Close()
	k.platform.Close()
	k.debug.close()
	return err
}
