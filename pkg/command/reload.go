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

// settingsCheckInterval is the time between two checks whether the settings file has changed, since it may
// change without a signal.
const settingsCheckInterval = 5 * time.Second

// watchSettings starts a goroutine in group that reloads the settings file upon SIGHUP and when the file has
// changed, until ctx ends. If the file is invalid, the current settings stay in force.
func watchSettings(ctx context.Context, group *errgroup.Group, file string, current settings.Node, node *process.Node, env process.Env) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	group.Go(func() error {
		defer signal.Stop(hangups)
		ticker := env.Clock.NewTicker(settingsCheckInterval)
		defer ticker.Stop()
		lastModified := modificationTime(file)
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-hangups:
			case <-ticker.Chan():
				if at := modificationTime(file); at.Equal(lastModified) {
					continue
				}
			}
			lastModified = modificationTime(file)
			current = reload(file, current, node, env)
		}
	})
}

// modificationTime returns when a file was last modified, or the zero time if that can't be read.
func modificationTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings file and applies its settings to node. It returns the settings that are now in
// force, which are the current ones if the file is invalid.
func reload(file string, current settings.Node, node *process.Node, env process.Env) settings.Node {
	var next settings.Node
	if err := readSettings(check.Node, file, &next); err != nil {
		env.Logger.WithError(err).Error("settings not reloaded, the old ones stay in force")
		return current
	}
	if reflect.DeepEqual(next, current) {
		env.Logger.Info("settings reloaded, nothing has changed")
		return current
	}
	node.Reload(next)
	return next
}
