package command

import (
	"context"
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"damsonwinch/pkg/check"
	"damsonwinch/pkg/operator"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/table"
	"damsonwinch/pkg/wire"
)

func (c *control) table() *cobra.Command {
	root := &cobra.Command{Use: "table", Short: "Check, compare, publish or show the shared table", Args: cobra.NoArgs}
	root.AddCommand(c.tableCheck(), c.tableDiff(), c.tablePublish(), c.tableShow())
	return root
}

func (c *control) tableCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a table file without a fleet",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			wanted, err := readTable(args[0])
			if err != nil {
				return err
			}
			return c.print(cmd, wanted, []string{fmt.Sprintf("%s: no fault found in %d services", args[0], len(wanted.Services))})
		},
	}
}

// readTable reads and checks a table file.
func readTable(file string) (settings.Table, error) {
	var wanted settings.Table
	err := readSettings(check.Table, file, &wanted)
	return wanted, err
}

func (c *control) tableDiff() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Show which cells a table file would change",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			edit, err := c.diff(cmd, args[0])
			if err != nil {
				return err
			}
			return c.print(cmd, edit, formatEdit(edit))
		},
	}
}

// diff returns the edit that changes the table in force into the table of a file. The edit is empty if they
// are equal.
func (c *control) diff(cmd *cobra.Command, file string) (wire.Edit, error) {
	wanted, err := readTable(file)
	if err != nil {
		return wire.Edit{}, err
	}
	var edit wire.Edit
	err = c.withClient(cmd, func(ctx context.Context, client *operator.Client) error {
		state, err := client.State(ctx)
		if err != nil {
			return err
		}
		edit, err = state.Table().Diff(wanted)
		return err
	})
	return edit, err
}

// formatEdit returns an edit as text.
func formatEdit(edit wire.Edit) []string {
	lines := []string{fmt.Sprintf("based on version %d:", edit.Base)}
	for _, cell := range edit.Cells {
		row := cell.Row
		if row == "" {
			row = table.DeploymentName
		}
		lines = append(lines, fmt.Sprintf("  %s.%s = %s", row, cell.Column, cell.Value))
	}
	for _, service := range edit.Remove {
		lines = append(lines, fmt.Sprintf("  %s is taken away", service))
	}
	if len(lines) == 1 {
		return []string{"no cell differs"}
	}
	return lines
}

func (c *control) tablePublish() *cobra.Command {
	var cause string
	cmd := &cobra.Command{
		Use:   "publish FILE",
		Short: "Publish the cells by which a table file differs from the table in force",
		Long: "Publishes only the cells that differ, so that edits of other cells by other operators stand.\n" +
			"If another operator has set one of the cells meanwhile, the edit is refused; the error names\nthe cell, who set it and when.",
		Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			edit, err := c.diff(cmd, args[0])
			if err != nil {
				return err
			}
			if len(edit.Cells)+len(edit.Remove) == 0 {
				return c.print(cmd, edit, formatEdit(edit))
			}
			return c.publish(cmd, edit, cause)
		},
	}
	cmd.Flags().StringVar(&cause, "cause", "", "why, for the audit trail")
	return cmd
}

// publish proposes an edit and waits until the fleet accepts or refuses it.
func (c *control) publish(cmd *cobra.Command, edit wire.Edit, cause string) error {
	return c.withClient(cmd, func(ctx context.Context, client *operator.Client) error {
		line, err := client.Edit(ctx, edit, cause)
		var refused *operator.RefusedError
		if errors.As(err, &refused) {
			return &ExitError{Code: ExitRefused, Err: err}
		}
		if err != nil {
			return err
		}
		return c.print(cmd, line, []string{fmt.Sprintf("accepted as record %d: %s", line.Offset, line.Reason)})
	})
}

func (c *control) tableShow() *cobra.Command {
	return &cobra.Command{
		Use:   "show",
		Short: "Show the table in force, as a table file",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.withClient(cmd, func(ctx context.Context, client *operator.Client) error {
				state, err := client.State(ctx)
				if err != nil {
					return err
				}
				text, err := check.IndentedJSON(state.Table().File())
				if err != nil {
					return err
				}
				return c.print(cmd, state.Table().File(), []string{fmt.Sprintf("// version %d", state.Table().Version()), text})
			})
		},
	}
}
