package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"damsonwinch/pkg/check"
)

// readSettings checks a settings file and decodes it. Its error lists every
// fault.
func readSettings(definition, file string, into any) error {
	checker, err := check.New()
	if err != nil {
		return err
	}
	if err := checker.LoadFile(definition, file, into); err != nil {
		return usage(err)
	}
	return nil
}

// checkSettings returns the command that does nothing but check a file.
func checkSettings(definition string, into func() any) *cobra.Command {
	return &cobra.Command{
		Use:   "check-settings FILE",
		Short: "Check a settings file and start nothing",
		Args:  exactly(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := readSettings(definition, args[0], into()); err != nil {
				return err
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: no fault found\n", args[0])
			return err
		},
	}
}

// exactly refuses another number of arguments as a wrong command line.
func exactly(count int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(count)(cmd, args); err != nil {
			return usage(fmt.Errorf("%w; see '%s --help'", err, cmd.CommandPath()))
		}
		return nil
	}
}
