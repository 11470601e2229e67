package process

import (
	"context"

	"damsonwinch/pkg/entry"
	"damsonwinch/pkg/invariant"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/platform"
	"damsonwinch/pkg/settings"
)

// Entry is a running dw-entry.
type Entry struct {
	entry      *entry.Entry
	platform   *platform.Client
	debug      *debugServer
	Metrics    *metrics.Set
	Invariants *invariant.Checker
}

// NewEntry starts an entry. When NewEntry returns, the entry serves at the addresses of its
// settings.
func NewEntry(config settings.Entry, env Env) (*Entry, error) {
	initialState, err := InitialState()
	if err != nil {
		return nil, err
	}
	listeners, err := listenAll(config.Address, config.HttpAddress, config.DebugAddress)
	if err != nil {
		return nil, err
	}
	set, checker := newMetrics(env)
	client := platform.New(config.Platform, env.Dial)
	started, err := entry.New(entry.Deps{
		Settings: entryWithDefaults(config), Clock: env.Clock, Log: client, Dial: env.Dial,
		Listener: listeners[0], HTTPListener: listeners[1],
		Logger: env.Logger.WithField("entry", config.Node), Metrics: set, Invariants: checker, InitialState: initialState, Seed: env.Seed,
	})
	if err != nil {
		return nil, err
	}
	return &Entry{entry: started, platform: client, debug: serveDebug(listeners[2], set), Metrics: set, Invariants: checker}, nil
}

// entryWithDefaults returns the settings with defaults in place of zero values.
func entryWithDefaults(config settings.Entry) settings.Entry {
	config.LeaseMs = orDefault(config.LeaseMs, defaultLeaseMs)
	config.RenewMs = orDefault(config.RenewMs, defaultRenewMs)
	config.StopMs = orDefault(config.StopMs, defaultStopMs)
	config.QueueKb = orDefault(config.QueueKb, defaultQueueKB)
	return config
}

// Stop shuts the entry down gracefully: the entry hands its boxes over and waits until no request
// is in flight. When ctx ends, Stop closes the entry without waiting any longer.
func (e *Entry) Stop(ctx context.Context) error {
	err := e.entry.Stop(ctx)
	e.closePlatformAndDebug()
	return err
}

// Close ends the entry at once, without handing its boxes over, and waits for its goroutines.
func (e *Entry) Close() error {
	err := e.entry.Close()
	e.closePlatformAndDebug()
	return err
}

// closePlatformAndDebug closes the client of the platform and the debug server.
func (e *Entry) closePlatformAndDebug() {
	e.platform.Close()
	e.debug.close()
}
