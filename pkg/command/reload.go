package command

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"damsonwinch/pkg/check"
	"damsonwinch/pkg/process"
	"damsonwinch/pkg/settings"
)

// settingsEvery is the time between two looks at the settings file: it may change
// without a signal.
const settingsEvery = 5 * time.Second

// watchSettings reloads the settings file upon SIGHUP and upon a change, until the
// context ends. A broken file leaves the settings in force.
func watchSettings(ctx context.Context, group *errgroup.Group, file string, inForce settings.Node, running *process.Node, env process.Env) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	group.Go(func() error {
		defer signal.Stop(hangups)
		ticker := env.Clock.NewTicker(settingsEvery)
		defer ticker.Stop()
		seen := modified(file)
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-hangups:
			case <-ticker.Chan():
				if at := modified(file); at.Equal(seen) {
					continue
				}
			}
			seen = modified(file)
			inForce = reload(file, inForce, running, env)
		}
	})
}

// modified returns when a file was last changed, or the zero time.
func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings file and returns the settings that are in force then.
func reload(file string, inForce settings.Node, running *process.Node, env process.Env) settings.Node {
	var next settings.Node
	if err := readSettings(check.Node, file, &next); err != nil {
		env.Logger.WithError(err).Error("settings not reloaded, the old ones stay in force")
		return inForce
	}
	if reflect.DeepEqual(next, inForce) {
		env.Logger.Info("settings reloaded, nothing has changed")
		return inForce
	}
	running.Reload(next)
	return next
}
