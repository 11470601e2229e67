package command

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"damsonwinch/pkg/planbench"
)

// addSizes lets the user name the size of the large fleet: the users' letters
// may change it.
func addSizes(cmd *cobra.Command, sizes *planbench.Sizes) {
	*sizes = planbench.TwoYears()
	cmd.Flags().IntVar(&sizes.Boxes, "boxes", sizes.Boxes, "boxes of the large fleet")
	cmd.Flags().IntVar(&sizes.Pools, "pools", sizes.Pools, "pools of the large fleet")
	cmd.Flags().IntVar(&sizes.Halls, "halls", sizes.Halls, "halls of the large fleet")
	cmd.Flags().IntVar(&sizes.Entries, "entries", sizes.Entries, "entry boxes of the large fleet")
}

func trialPlanBench() *cobra.Command {
	var sizes planbench.Sizes
	cmd := &cobra.Command{
		Use:   "plan-bench",
		Short: "Measure the planner against a baseline and lower bounds",
		Long:  "Plays a month of three fleets at the fold alone. The last line is a JSON array, one object a fleet.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			results, err := planbench.Run(cmd.Context(), clockwork.NewRealClock(), sizes)
			if err != nil {
				return err
			}
			return writePlanBench(cmd, results)
		},
	}
	addSizes(cmd, &sizes)
	return cmd
}

func writePlanBench(cmd *cobra.Command, results []planbench.Result) error {
	const padding = 2
	out := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, padding, ' ', 0)
	_, _ = fmt.Fprintln(out, "fleet\tmoves\tbaseline\tbound\trounds\tbaseline\tbound\tspare\tbaseline\tbound\tplan ms\tafter an edit\tMB")
	for _, r := range results {
		_, _ = fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\n", r.Fleet, r.Moves, r.MovesBaseline, r.MovesBound,
			r.RolloutRounds, r.RolloutBaseline, r.RolloutBound, r.Spare, r.SpareBaseline, r.SpareBound, r.PlanMs, r.IncrementalMs, r.PeakMb)
	}
	if err := out.Flush(); err != nil {
		return err
	}
	line, err := json.Marshal(results)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(cmd.OutOrStdout(), string(line))
	return err
}
