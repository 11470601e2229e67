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

// stopTimeout bounds a planned stop.
const stopTimeout = 2 * time.Minute

// Keeper returns the command line of dw-keeper.
func Keeper() *cobra.Command {
	root := newRoot("dw-keeper", "Follow the platform's log and decide moves and waves for this box's hall")
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

// Entry returns the command line of dw-entry.
func Entry() *cobra.Command {
	root := newRoot("dw-entry", "Take callers' requests and send them to endpoints")
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

func addSettingsFlag(root *cobra.Command, file *string) {
	root.Flags().StringVar(file, "settings", "", "settings file, JSON with comments (required)")
	// The flag was added in the line above, so that it can be marked.
	_ = root.MarkFlagRequired("settings")
}

// Times of connections.
const (
	// keepAliveIdle and keepAliveCount find dead peers of idle connections.
	keepAliveIdle  = 2 * time.Second
	keepAliveCount = 2
)

func newDialer() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveCount},
	}
}

// newSlept watches for suspensions of the machine. Without the clock that counts them the
// process goes on as if there were none.
func newSlept(clock damsonwinch.Clock, logger logrus.FieldLogger) damsonwinch.SuspendedTime {
	watch, err := suspend.New(clock, suspend.BootTime)
	if err != nil {
		logger.WithError(err).Warn("suspensions of the machine are not seen")
		return nil
	}
	return watch.Suspended
}

// newEnv returns what a real process finds around it.
func newEnv(cmd *cobra.Command) process.Env {
	logger := newLogger(cmd.ErrOrStderr(), logrus.InfoLevel)
	clock := clockwork.NewRealClock()
	return process.Env{
		Clock:         clock,
		SuspendedTime: newSlept(clock, logger),
		Dial:          dial.WithRetry(newDialer().DialContext),
		Logger:        logger,
		OnViolation:   func(name, detail string) { logger.WithField("invariant", name).Error(detail) },
		Seed:          uint64(clock.Now().UnixNano()),
	}
}
