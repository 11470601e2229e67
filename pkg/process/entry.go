package process

import (
	"context"

	"damsonwinch/pkg/front"
	"damsonwinch/pkg/invariant"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/platform"
	"damsonwinch/pkg/settings"
)

// Entry is a running dw-entry.
type Entry struct {
	front      *front.Entry
	platform   *platform.Client
	debug      *debug
	Metrics    *metrics.Set
	Invariants *invariant.Checker
}

// NewEntry starts an entry.
func NewEntry(config settings.Entry, env Env) (*Entry, error) {
	empty, err := InitialState()
	if err != nil {
		return nil, err
	}
	listeners, err := listenAll(config.Address, config.HttpAddress, config.DebugAddress)
	if err != nil {
		return nil, err
	}
	set, book := newSet(env)
	client := platform.New(config.Platform, env.Dial)
	started, err := front.New(front.Deps{
		Settings: entryWithDefaults(config), Clock: env.Clock, Log: client, Dial: env.Dial,
		Listener: listeners[0], HTTPListener: listeners[1],
		Logger: env.Logger.WithField("entry", config.Node), Metrics: set, Invariants: book, InitialState: empty, Seed: env.Seed,
	})
	if err != nil {
		return nil, err
	}
	return &Entry{front: started, platform: client, debug: serveDebug(listeners[2], set), Metrics: set, Invariants: book}, nil
}

func entryWithDefaults(config settings.Entry) settings.Entry {
	config.LeaseMs = orUsual(config.LeaseMs, usualLeaseMs)
	config.RenewMs = orUsual(config.RenewMs, usualRenewMs)
	config.StopMs = orUsual(config.StopMs, usualStopMs)
	config.QueueKb = orUsual(config.QueueKb, usualQueueKb)
	return config
}

// Stop ends the entry as planned; the context bounds it.
func (e *Entry) Stop(ctx context.Context) error {
	err := e.front.Stop(ctx)
	e.closeRest()
	return err
}

// Close ends the entry at once and waits for its goroutines.
func (e *Entry) Close() error {
	err := e.front.Close()
	e.closeRest()
	return err
}

func (e *Entry) closeRest() {
	e.platform.Close()
	e.debug.close()
}
