package command

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"damsonwinch/pkg/capacity"
	"damsonwinch/pkg/loadtest"
	"damsonwinch/pkg/planbench"
)

// addSizeFlags sets sizes to the default sizes of the large fleet and adds flags that change them, since
// the users' requirements may change.
func addSizeFlags(cmd *cobra.Command, sizes *planbench.Sizes) {
	*sizes = planbench.SizesInTwoYears()
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
		Long:  "Simulates a month of three fleets on the replicated state alone, without processes or a network. The last line is a JSON array, one object a fleet.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			results, err := planbench.Run(cmd.Context(), clockwork.NewRealClock(), sizes)
			if err != nil {
				return err
			}
			return writePlanBench(cmd, results)
		},
	}
	addSizeFlags(cmd, &sizes)
	return cmd
}

// Defaults of the flags of dw-trial load.
const (
	defaultConnections   = 3000
	defaultPhaseDuration = 5 * time.Second
)

func trialLoad() *cobra.Command {
	options := loadtest.Options{}
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Measure requests under load and faults, in comparison with a plain gateway",
		Long:  "Offers open-loop load to a fleet on loopback. The last line is a JSON object with the goals.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			options.Progress = cmd.ErrOrStderr()
			options.Logger = newLogger(cmd.ErrOrStderr(), trialLogLevel)
			options.Clock = clockwork.NewRealClock()
			report, err := loadtest.Run(cmd.Context(), options)
			if err != nil {
				return err
			}
			line, err := json.Marshal(report)
			if err != nil {
				return err
			}
			for _, goal := range report.GoalResults {
				_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%-60s %8.3f measured %8.3f met %v\n", goal.Goal, goal.Limit, goal.Measured, goal.Met)
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), string(line))
			return err
		},
	}
	cmd.Flags().Uint64Var(&options.Seed, "seed", 1, "seed of the arrivals")
	cmd.Flags().IntVar(&options.Connections, "connections", defaultConnections, "maximum number of connections")
	cmd.Flags().DurationVar(&options.Phase, "phase", defaultPhaseDuration, "length of each of the eight phases")
	return cmd
}

// slopesOutput is the JSON object in the last line that dw-trial slopes prints.
type slopesOutput struct {
	Demand capacity.Demand  `json:"demand"`
	Slopes []capacity.Slope `json:"slopes"`
	Rows   []capacity.Row   `json:"rows"`
}

func trialSlopes() *cobra.Command {
	var sizes planbench.Sizes
	var markdown bool
	demand := capacity.DemandInTwoYears(planbench.SizesInTwoYears())
	cmd := &cobra.Command{
		Use:   "slopes",
		Short: "Measure what each part costs a box, and compute the tables of the capacity page",
		Long:  "Measures at a hundredth, a tenth and the whole of the size. The last line is a JSON object;\nwith --markdown the tables of docs/CAPACITY.md are printed in its place.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			slopes, err := capacity.Slopes(cmd.Context(), clockwork.NewRealClock(), sizes)
			if err != nil {
				return err
			}
			demand.Sizes = sizes
			rows := capacity.Rows(slopes, demand)
			if markdown {
				_, err = fmt.Fprint(cmd.OutOrStdout(), capacity.Markdown(slopes, rows))
				return err
			}
			line, err := json.Marshal(slopesOutput{Demand: demand, Slopes: slopes, Rows: rows})
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), string(line))
			return err
		},
	}
	addSizeFlags(cmd, &sizes)
	flags := cmd.Flags()
	flags.BoolVar(&markdown, "markdown", false, "print the tables of the capacity page")
	flags.Float64Var(&demand.EditsPerDay, "edits-a-day", demand.EditsPerDay, "changes of configuration a day")
	flags.Float64Var(&demand.RestartsPerDay, "restarts-a-day", demand.RestartsPerDay, "boxes restarted or replaced a day")
	flags.Float64Var(&demand.FailuresPerDay, "failures-a-day", demand.FailuresPerDay, "boxes that fail a day")
	flags.Float64Var(&demand.MaintainDays, "maintain-days", demand.MaintainDays, "days in which every box is maintained once")
	flags.Float64Var(&demand.MovesPerDay, "moves-a-day", demand.MovesPerDay, "boxes moved between pools a day")
	flags.Float64Var(&demand.KeysPerSecond, "keys-a-second", demand.KeysPerSecond, "requests with an idempotency key a second")
	flags.Float64Var(&demand.RenewIntervalS, "renew-s", demand.RenewIntervalS, "seconds between a hall's renewals")
	flags.Float64Var(&demand.ListIntervalS, "list-s", demand.ListIntervalS, "seconds between readings of the list")
	return cmd
}

// writePlanBench prints the results of dw-trial plan-bench as a table, followed by a line of JSON.
func writePlanBench(cmd *cobra.Command, results []planbench.Result) error {
	const padding = 2
	out := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, padding, ' ', 0)
	_, _ = fmt.Fprintln(out, "fleet\tmoves\tbaseline\tbound\trounds\tbaseline\tbound\tspare\tbaseline\tbound\tplan ms\tafter an edit\tMB")
	for _, r := range results {
		_, _ = fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\n", r.Fleet, r.Moves, r.MovesBaseline, r.MovesBound,
			r.RolloutRounds, r.RolloutBaseline, r.RolloutBound, r.Spare, r.SpareBaseline, r.SpareBound, r.PlanMs, r.IncrementalMs, r.HeapGrowthMb)
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
