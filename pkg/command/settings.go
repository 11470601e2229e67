package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"damsonwinch/pkg/check"
)

// readSettings reads a settings file, checks it against the schema's definition of the given name, and
// decodes it into the value that into points to. The error lists every fault of the file.
func readSettings(definition, file string, into any) error {
	checker, err := check.New()
	if err != nil {
		return err
	}
	if err := checker.LoadFile(definition, file, into); err != nil {
		return usageError(err)
	}
	return nil
}

// checkSettings returns the command check-settings, which only checks a file. newSettings returns a pointer
// to settings to decode into.
func checkSettings(definition string, newSettings func() any) *cobra.Command {
	return &cobra.Command{
		Use:   "check-settings FILE",
		Short: "Check a settings file and start nothing",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := readSettings(definition, args[0], newSettings()); err != nil {
				return err
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: no fault found\n", args[0])
			return err
		},
	}
}

// exactArgs is cobra.ExactArgs with an error that has the exit code ExitUsage and mentions --help.
func exactArgs(count int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(count)(cmd, args); err != nil {
			return usageError(fmt.Errorf("%w; see '%s --help'", err, cmd.CommandPath()))
		}
		return nil
	}
}
