package command

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/operator"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/wire"
)

func (c *control) explain() *cobra.Command {
	root := &cobra.Command{Use: "explain", Short: "Tell how a box or a service came to its present state", Args: cobra.NoArgs}
	root.AddCommand(&cobra.Command{
		Use:   "box NAME",
		Short: "Tell the records that led to a box's state",
		Args:  exactArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return c.explainBox(cmd, args[0]) },
	}, &cobra.Command{
		Use:   "service NAME",
		Short: "Tell what a service has and the edits and changes that led to it",
		Args:  exactArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return c.explainService(cmd, args[0]) },
	})
	return root
}

// boxExplanation is the output of dwctl explain box.
type boxExplanation struct {
	Box fleetstate.Box `json:"box"`
	// Chain holds the audit lines about the box, in the order of their records.
	Chain []wire.AuditLine `json:"chain"`
}

// explainBox prints the state of a box and the audit lines about it.
func (c *control) explainBox(cmd *cobra.Command, name string) error {
	return c.withClient(cmd, func(ctx context.Context, client *operator.Client) error {
		state, err := client.State(ctx)
		if err != nil {
			return err
		}
		box, found := state.Box(name)
		if !found {
			return fmt.Errorf("box %s is not enrolled; 'dwctl status' shows the pools", name)
		}
		reply, err := client.Status(ctx, wire.StatusArgs{})
		if err != nil {
			return err
		}
		explanation := boxExplanation{Box: box, Chain: auditFilter{box: name}.apply(reply.Audit)}
		return c.print(cmd, explanation, append(formatBox(box), formatAudit(explanation.Chain)...))
	})
}

// formatBox returns lines of text that describe the state of a box and end with the heading of its audit
// lines.
func formatBox(box fleetstate.Box) []string {
	lines := []string{
		fmt.Sprintf("%s is in pool %s, %s and %s, since %s.", box.Info.Name, box.Pool, box.Phase, box.Health, formatTime(box.EpochStartedAt)),
		fmt.Sprintf("It stands in hall %s, %s, with %d slots; it was last maintained at %s.", box.Info.Hall, box.Info.Rack, box.Info.Slots, formatTime(box.MaintainedAt)),
	}
	switch {
	case box.Sender.IsNone():
		lines = append(lines, "No entry sends to it.")
	default:
		lines = append(lines, fmt.Sprintf("Entry %s sends to it.", box.Sender.Node))
	}
	if box.Phase == fleetstate.Draining {
		lines = append(lines, fmt.Sprintf("It goes to pool %s when its last request has ended (maintenance: %v).", box.Target, box.Maintain))
	}
	return append(lines, "Record by record:")
}

// serviceExplanation is the output of dwctl explain service.
type serviceExplanation struct {
	Service string       `json:"service"`
	Row     settings.Row `json:"row"`
	// Pool and Boxes describe the pool that the service runs in.
	Pool  poolStatus       `json:"pool"`
	Boxes []fleetstate.Box `json:"boxes"`
	// Edits holds the audit lines of edits of Row.
	Edits []wire.AuditLine `json:"edits"`
	// Changes holds the audit line of the last change of each box, if the keeper has it.
	Changes []wire.AuditLine `json:"changes"`
	// Headroom is how many slots the pool has above what its services need if its worst rack fails.
	Headroom int `json:"headroom"`
}

// explainService prints what a service has and the audit lines that led to it.
func (c *control) explainService(cmd *cobra.Command, name string) error {
	return c.withClient(cmd, func(ctx context.Context, client *operator.Client) error {
		state, err := client.State(ctx)
		if err != nil {
			return err
		}
		row, found := state.Table().Row(name)
		if !found {
			return fmt.Errorf("service %s is not in the table; it has %v", name, state.Table().Services())
		}
		reply, err := client.Status(ctx, wire.StatusArgs{})
		if err != nil {
			return err
		}
		explanation := newServiceExplanation(name, row, state, reply.Audit)
		return c.print(cmd, explanation, explanation.lines())
	})
}

// newServiceExplanation returns the explanation of the service with the given name and row: the status and
// boxes of its pool in state, and the lines of audit that concern the service or these boxes.
func newServiceExplanation(name string, row settings.Row, state fleetstate.State, audit []wire.AuditLine) serviceExplanation {
	pool := state.Pool(row.Pool)
	explanation := serviceExplanation{
		Service: name, Row: row, Headroom: state.Headroom(row.Pool), Edits: auditFilter{service: name}.apply(audit),
		Pool: poolStatus{Pool: row.Pool, Boxes: pool.Boxes, Down: pool.Down, Slots: pool.Slots, Needed: state.Table().NeededSlots(row.Pool), Headroom: state.Headroom(row.Pool)},
	}
	for _, box := range state.Boxes() {
		if box.Pool != row.Pool {
			continue
		}
		explanation.Boxes = append(explanation.Boxes, box)
		for _, line := range audit {
			if line.Offset == box.ChangedAtOffset && isAbout(line, box.Info.Name) {
				explanation.Changes = append(explanation.Changes, line)
			}
		}
	}
	return explanation
}

// lines returns the explanation as text.
func (s serviceExplanation) lines() []string {
	lines := []string{
		fmt.Sprintf("%s runs in pool %s with weight %d; it keeps %d slots and %d spare, and may use %d.",
			s.Service, s.Row.Pool, s.Row.Weight, s.Row.Floor, s.Row.Spare, s.Row.Most),
		fmt.Sprintf("The pool has %d boxes with %d usable slots; %d boxes are down, %d may be.", s.Pool.Boxes, s.Pool.Slots, s.Pool.Down, s.Row.Down),
		fmt.Sprintf("With its worst rack lost, the pool has %d slots above what its services need.", s.Headroom),
		"Edits of its row:",
	}
	lines = append(lines, formatAudit(s.Edits)...)
	lines = append(lines, "The last change of each box of its pool:")
	return append(lines, formatAudit(s.Changes)...)
}

func (c *control) plan() *cobra.Command {
	return &cobra.Command{
		Use:   "plan",
		Short: "Show what would be done next, and what waits and why (a dry run)",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.withClient(cmd, func(ctx context.Context, client *operator.Client) error {
				reply, err := client.Status(ctx, wire.StatusArgs{AuditFrom: -1, WithPlan: true})
				if err != nil {
					return err
				}
				output := planOutput{Planned: reply.Planned, Waits: reply.Waits}
				return c.print(cmd, output, output.lines())
			})
		},
	}
}

// planOutput is the output of dwctl plan.
type planOutput struct {
	Planned []wire.Proposal `json:"planned"`
	// Waits says what is deferred and why.
	Waits []string `json:"waits"`
}

// lines returns the plan as text.
func (p planOutput) lines() []string {
	var lines []string
	for _, proposal := range p.Planned {
		lines = append(lines, fmt.Sprintf("would %s %s: %s", proposal.Kind, proposal.Change.Box, proposal.Cause))
	}
	for _, wait := range p.Waits {
		lines = append(lines, "waits: "+wait)
	}
	if len(lines) == 0 {
		return []string{"nothing to do: every pool has what its services need and no box is due"}
	}
	return lines
}
