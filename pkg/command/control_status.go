package command

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/operator"
	"damsonwinch/pkg/wire"
)

// withClient runs call with a client of the keeper and a context that ends after the timeout.
func (c *control) withClient(cmd *cobra.Command, call func(ctx context.Context, client *operator.Client) error) error {
	client, err := c.newClient()
	if err != nil {
		return err
	}
	defer client.Close()
	limited, cancel := context.WithTimeout(cmd.Context(), c.timeout)
	defer cancel()
	return call(limited, client)
}

// fleetStatus is the output of dwctl status.
type fleetStatus struct {
	Keeper string `json:"keeper"`
	// Offset is the offset of the next record that the keeper will apply.
	Offset       int `json:"offset"`
	TableVersion int `json:"table_version"`
	// LogFresh says that the keeper has read the log recently, so that its state is current.
	LogFresh bool                `json:"log_fresh"`
	Pools    []poolStatus        `json:"pools"`
	Senders  []fleetstate.Sender `json:"senders"`
}

// poolStatus is the status of a pool. Boxes and Down count boxes, the other numbers slots.
type poolStatus struct {
	Pool     string `json:"pool"`
	Boxes    int    `json:"boxes"`
	Down     int    `json:"down"`
	Slots    int    `json:"slots"`
	Needed   int    `json:"needed"`
	Headroom int    `json:"headroom"`
}

func (c *control) status() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show pools, their budgets and the senders",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.withClient(cmd, func(ctx context.Context, client *operator.Client) error {
				reply, err := client.Status(ctx, wire.StatusArgs{AuditFrom: -1})
				if err != nil {
					return err
				}
				state, err := client.State(ctx)
				if err != nil {
					return err
				}
				status := newFleetStatus(reply, state)
				return c.print(cmd, status, status.lines())
			})
		},
	}
}

// newFleetStatus returns the fleet's status from a keeper's reply to a Status call and the keeper's state.
func newFleetStatus(reply wire.StatusReply, state fleetstate.State) fleetStatus {
	status := fleetStatus{
		Keeper: reply.Node, Offset: state.Offset(), TableVersion: state.Table().Version(), LogFresh: reply.LogFresh, Senders: state.Senders(),
	}
	for _, name := range append(append([]string{}, state.Table().Deployment().Pools...), fleetstate.FreePool) {
		pool := state.Pool(name)
		status.Pools = append(status.Pools, poolStatus{
			Pool: name, Boxes: pool.Boxes, Down: pool.Down, Slots: pool.Slots, Needed: state.Table().NeededSlots(name), Headroom: state.Headroom(name),
		})
	}
	return status
}

// lines returns the status as text.
func (s fleetStatus) lines() []string {
	log := "reads the log"
	if !s.LogFresh {
		log = "does NOT read the log; what it shows may be old"
	}
	lines := []string{fmt.Sprintf("%s %s; record %d, table version %d", s.Keeper, log, s.Offset, s.TableVersion), "",
		fmt.Sprintf("%-16s %6s %6s %6s %7s %9s", "pool", "boxes", "down", "slots", "needed", "headroom")}
	for _, pool := range s.Pools {
		lines = append(lines, fmt.Sprintf("%-16s %6d %6d %6d %7d %9d", pool.Pool, pool.Boxes, pool.Down, pool.Slots, pool.Needed, pool.Headroom))
	}
	lines = append(lines, "", fmt.Sprintf("%-24s %-12s %6s  %s", "sender", "hall", "boxes", "last renewal"))
	for _, sender := range s.Senders {
		lines = append(lines, fmt.Sprintf("%-24s %-12s %6d  %s", sender.Key.Node, sender.Zone, sender.Boxes, formatTime(sender.RenewedAt)))
	}
	return lines
}

// auditFilter selects lines of the audit trail. An empty field selects all.
type auditFilter struct {
	// box selects changes of a box, service edits of a service's row.
	box     string
	service string
	author  string
	// from is the first offset.
	from int
}

// matches reports whether the filter selects a line.
func (f auditFilter) matches(line wire.AuditLine) bool {
	if f.box != "" && !isAbout(line, f.box) {
		return false
	}
	if f.service != "" && (line.Kind != string(wire.KindEdit) || !isAbout(line, f.service)) {
		return false
	}
	return (f.author == "" || line.Author == f.author) && line.Offset >= f.from
}

// isAbout reports whether the subject of a line, a list of names, contains a name.
func isAbout(line wire.AuditLine, name string) bool {
	return slices.Contains(strings.Fields(line.Subject), name)
}

// apply returns the lines that the filter selects. The result isn't nil.
func (f auditFilter) apply(all []wire.AuditLine) []wire.AuditLine {
	selected := []wire.AuditLine{}
	for _, line := range all {
		if f.matches(line) {
			selected = append(selected, line)
		}
	}
	return selected
}

func (c *control) audit() *cobra.Command {
	var filter auditFilter
	cmd := &cobra.Command{
		Use:   "audit",
		Short: "Show accepted and refused changes: when, who, what and why",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.withClient(cmd, func(ctx context.Context, client *operator.Client) error {
				reply, err := client.Status(ctx, wire.StatusArgs{AuditFrom: filter.from})
				if err != nil {
					return err
				}
				lines := filter.apply(reply.Audit)
				return c.print(cmd, lines, formatAudit(lines))
			})
		},
	}
	cmd.Flags().StringVar(&filter.box, "box", "", "only changes of this box")
	cmd.Flags().StringVar(&filter.service, "service", "", "only edits of this service's row")
	cmd.Flags().StringVar(&filter.author, "by", "", "only changes by this operator or node")
	cmd.Flags().IntVar(&filter.from, "from", 0, "first offset")
	return cmd
}

// formatAudit returns audit lines as text.
func formatAudit(audit []wire.AuditLine) []string {
	var lines []string
	for _, line := range audit {
		lines = append(lines, formatAuditLine(line))
	}
	if len(lines) == 0 {
		return []string{"nothing in this keeper's audit trail, which holds only what the keeper has applied since it started"}
	}
	return lines
}

// formatAuditLine returns one line of the audit trail as text.
func formatAuditLine(line wire.AuditLine) string {
	result := "proposed " + line.Kind + ", accepted: " + line.Reason
	if !line.Accepted {
		result = "proposed " + line.Kind + ", REFUSED: " + line.Reason
	}
	if line.Cause != "" {
		result += " (because: " + line.Cause + ")"
	}
	return fmt.Sprintf("%6d  %s  %s %s", line.Offset, formatTime(line.At), line.Author, result)
}
