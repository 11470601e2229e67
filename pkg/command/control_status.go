package command

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/operator"
	"damsonwinch/pkg/wire"
)

// ask calls the keeper within the time limit.
func (c *control) ask(cmd *cobra.Command, question func(ctx context.Context, client *operator.Client) error) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	limited, cancel := context.WithTimeout(cmd.Context(), c.timeout)
	defer cancel()
	return question(limited, client)
}

// fleetStatus is the answer of dwctl status.
type fleetStatus struct {
	Keeper  string        `json:"keeper"`
	Offset  int           `json:"offset"`
	Version int           `json:"table_version"`
	Fresh   bool          `json:"log_fresh"`
	Pools   []poolStatus  `json:"pools"`
	Senders []fold.Sender `json:"senders"`
}

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
			return c.ask(cmd, func(ctx context.Context, client *operator.Client) error {
				reply, err := client.Status(ctx, wire.StatusArgs{AuditFrom: -1})
				if err != nil {
					return err
				}
				state, err := client.State(ctx)
				if err != nil {
					return err
				}
				status := statusOf(reply, state)
				return c.print(cmd, status, status.lines())
			})
		},
	}
}

func statusOf(reply wire.StatusReply, state fold.State) fleetStatus {
	status := fleetStatus{
		Keeper: reply.Node, Offset: state.Offset(), Version: state.Table().Version(), Fresh: reply.LogFresh, Senders: state.Senders(),
	}
	for _, name := range append(append([]string{}, state.Table().Deployment().Pools...), fold.FreePool) {
		pool := state.Pool(name)
		status.Pools = append(status.Pools, poolStatus{
			Pool: name, Boxes: pool.Boxes, Down: pool.Down, Slots: pool.Slots, Needed: state.Table().NeededSlots(name), Headroom: state.Headroom(name),
		})
	}
	return status
}

func (s fleetStatus) lines() []string {
	log := "reads the log"
	if !s.Fresh {
		log = "does NOT read the log; what it shows may be old"
	}
	lines := []string{fmt.Sprintf("%s %s; record %d, table version %d", s.Keeper, log, s.Offset, s.Version), "",
		fmt.Sprintf("%-16s %6s %6s %6s %7s %9s", "pool", "boxes", "down", "slots", "needed", "headroom")}
	for _, pool := range s.Pools {
		lines = append(lines, fmt.Sprintf("%-16s %6d %6d %6d %7d %9d", pool.Pool, pool.Boxes, pool.Down, pool.Slots, pool.Needed, pool.Headroom))
	}
	lines = append(lines, "", fmt.Sprintf("%-24s %-12s %6s  %s", "sender", "hall", "boxes", "last renewal"))
	for _, sender := range s.Senders {
		lines = append(lines, fmt.Sprintf("%-24s %-12s %6d  %s", sender.Key.Node, sender.Zone, sender.Boxes, moment(sender.RenewedAt)))
	}
	return lines
}

// auditFilter says which lines of the trail are wanted.
type auditFilter struct {
	box     string
	service string
	author  string
	from    int
}

func (f auditFilter) wants(line wire.AuditLine) bool {
	if f.box != "" && !about(line, f.box) {
		return false
	}
	if f.service != "" && (line.Kind != string(wire.KindEdit) || !about(line, f.service)) {
		return false
	}
	return (f.author == "" || line.Author == f.author) && line.Offset >= f.from
}

func about(line wire.AuditLine, name string) bool {
	return slices.Contains(strings.Fields(line.Subject), name)
}

func (f auditFilter) lines(all []wire.AuditLine) []wire.AuditLine {
	wanted := []wire.AuditLine{}
	for _, line := range all {
		if f.wants(line) {
			wanted = append(wanted, line)
		}
	}
	return wanted
}

func (c *control) audit() *cobra.Command {
	var filter auditFilter
	cmd := &cobra.Command{
		Use:   "audit",
		Short: "Show accepted and refused changes: when, who, what and why",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.ask(cmd, func(ctx context.Context, client *operator.Client) error {
				reply, err := client.Status(ctx, wire.StatusArgs{AuditFrom: filter.from})
				if err != nil {
					return err
				}
				found := filter.lines(reply.Audit)
				return c.print(cmd, found, auditLines(found))
			})
		},
	}
	cmd.Flags().StringVar(&filter.box, "box", "", "only changes of this box")
	cmd.Flags().StringVar(&filter.service, "service", "", "only edits of this service's row")
	cmd.Flags().StringVar(&filter.author, "by", "", "only changes by this operator or node")
	cmd.Flags().IntVar(&filter.from, "from", 0, "first offset")
	return cmd
}

func auditLines(found []wire.AuditLine) []string {
	var lines []string
	for _, line := range found {
		lines = append(lines, sentence(line))
	}
	if len(lines) == 0 {
		return []string{"nothing in this keeper's trail; it holds what was folded since the keeper started"}
	}
	return lines
}

// sentence words one line of the trail.
func sentence(line wire.AuditLine) string {
	did := "proposed " + line.Kind + ", accepted: " + line.Reason
	if !line.Accepted {
		did = "proposed " + line.Kind + ", REFUSED: " + line.Reason
	}
	if line.Cause != "" {
		did += " (because: " + line.Cause + ")"
	}
	return fmt.Sprintf("%6d  %s  %s %s", line.Offset, moment(line.At), line.Author, did)
}
