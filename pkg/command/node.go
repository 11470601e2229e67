package command

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"damsonwinch/pkg/check"
	"damsonwinch/pkg/logging"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/process"
	"damsonwinch/pkg/settings"
	"damsonwinch/platform"
)

// maxStopShare is the part of the time between the request to stop and the kill that a planned stop may take.
const maxStopShare = 0.7

// Node returns the command line of dw-node, which runs a node until SIGTERM or an interrupt.
func Node() *cobra.Command {
	root := newRootCommand("dw-node", "Take clients' jobs, run them on the pools' boxes and plan moves and maintenance")
	root.Long += "\n\nWithout --settings, the file is the one that the platform names in " + platform.SettingsVariable + "."
	var file string
	root.RunE = func(cmd *cobra.Command, _ []string) error {
		if file == "" {
			file = os.Getenv(platform.SettingsVariable)
		}
		var config settings.Node
		if err := readSettings(check.Node, file, &config); err != nil {
			return err
		}
		env := newEnv(cmd)
		env.Metrics = metrics.New()
		log := logging.New(logging.Deps{Output: cmd.OutOrStdout(), Clock: env.Clock, Metrics: env.Metrics, LinesPerSecond: config.LogLines})
		env.Logger = log.WithField("node", config.Node)
		node, err := process.NewNode(config, env)
		if err != nil {
			return errors.Join(err, log.Close())
		}
		env.Logger.WithField("version", Version).Info("node has started")
		var group errgroup.Group
		watchSettings(cmd.Context(), &group, file, config, node, env)
		<-cmd.Context().Done()
		env.Logger.Info("node stops as planned")
		limit := time.Duration(maxStopShare * config.Bounds.GraceS * float64(time.Second))
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		err = errors.Join(node.Stop(ctx), group.Wait())
		env.Logger.Info("node has stopped")
		return errors.Join(err, log.Close())
	}
	root.Flags().StringVar(&file, "settings", "", "settings file, JSON with comments")
	root.AddCommand(checkSettings(check.Node, func() any { return &settings.Node{} }))
	return root
}
