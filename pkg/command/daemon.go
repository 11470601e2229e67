package command

import (
	"context"
	"net"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"damsonwinch"
	"damsonwinch/pkg/check"
	"damsonwinch/pkg/dial"
	"damsonwinch/pkg/plan"
	"damsonwinch/pkg/process"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/suspend"
)

// stopTimeout limits the duration of a planned stop of dw-entry.
const stopTimeout = 2 * time.Minute

// Keeper returns the command line of dw-keeper, which runs a keeper until SIGTERM or an interrupt.
func Keeper() *cobra.Command {
	root := newRootCommand("dw-keeper", "Follow the platform's log and decide moves and waves for this box's hall")
	var file string
	root.RunE = func(cmd *cobra.Command, _ []string) error {
		var config settings.Keeper
		if err := readSettings(check.Keeper, file, &config); err != nil {
			return err
		}
		env := newEnv(cmd)
		keeper, err := process.NewKeeper(config, plan.Options{}, env)
		if err != nil {
			return err
		}
		env.Logger.WithField("node", config.Node).Info("keeper has started")
		<-cmd.Context().Done()
		return keeper.Close()
	}
	addSettingsFlag(root, &file)
	root.AddCommand(checkSettings(check.Keeper, func() any { return &settings.Keeper{} }))
	return root
}

// Entry returns the command line of dw-entry, which runs an entry until SIGTERM or an interrupt.
func Entry() *cobra.Command {
	root := newRootCommand("dw-entry", "Take callers' requests and send them to endpoints")
	root.Long += "\n\nA first SIGTERM or interrupt begins a planned stop, which ends when nothing is in flight."
	var file string
	root.RunE = func(cmd *cobra.Command, _ []string) error {
		var config settings.Entry
		if err := readSettings(check.Entry, file, &config); err != nil {
			return err
		}
		env := newEnv(cmd)
		entry, err := process.NewEntry(config, env)
		if err != nil {
			return err
		}
		env.Logger.WithField("node", config.Node).Info("entry has started")
		<-cmd.Context().Done()
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		return entry.Stop(ctx)
	}
	addSettingsFlag(root, &file)
	root.AddCommand(checkSettings(check.Entry, func() any { return &settings.Entry{} }))
	return root
}

// addSettingsFlag adds the required flag --settings, whose value is stored in file.
func addSettingsFlag(root *cobra.Command, file *string) {
	root.Flags().StringVar(file, "settings", "", "settings file, JSON with comments (required)")
	// MarkFlagRequired fails only if there is no such flag, and the line above has added it.
	_ = root.MarkFlagRequired("settings")
}

// TCP keep-alive, which detects dead peers of idle connections.
const (
	// keepAliveInterval is how long a connection is idle before the first probe, and the time between
	// two probes. keepAliveCount is the number of unanswered probes after which it is closed.
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 2
)

// newDialer returns a dialer with TCP keep-alive.
func newDialer() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount},
	}
}

// newSuspendedTime returns a function that returns for how long the machine has been suspended since now.
// If the machine has no clock that counts suspensions, newSuspendedTime logs a warning and returns nil; the
// process then runs as if there were no suspensions.
func newSuspendedTime(clock damsonwinch.Clock, logger logrus.FieldLogger) damsonwinch.SuspendedTime {
	detector, err := suspend.New(clock, suspend.BootTime)
	if err != nil {
		logger.WithError(err).Warn("suspensions of the machine are not seen")
		return nil
	}
	return detector.SuspendedTime
}

// newEnv returns the environment of a process outside tests: the real clock and network, a logger to
// stderr and a random seed.
func newEnv(cmd *cobra.Command) process.Env {
	logger := newLogger(cmd.ErrOrStderr(), logrus.InfoLevel)
	clock := clockwork.NewRealClock()
	return process.Env{
		Clock:         clock,
		SuspendedTime: newSuspendedTime(clock, logger),
		Dial:          dial.New(newDialer().DialContext),
		Logger:        logger,
		OnViolation:   func(name, detail string) { logger.WithField("invariant", name).Error(detail) },
		Seed:          uint64(clock.Now().UnixNano()),
	}
}
