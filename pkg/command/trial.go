package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"damsonwinch/pkg/trial"
)

const (
	usualSeconds = 30
	leastSeconds = 5
	mostSeconds  = 600
)

// Trial returns the command line of dw-trial.
func Trial() *cobra.Command {
	root := newRoot("dw-trial", "Run damsonwinch with stand-ins on this machine")
	root.AddCommand(trialRun(), trialPlatform(), trialEndpoints(), trialPlanBench(), trialLoad(), trialSlopes())
	return root
}

func trialRun() *cobra.Command {
	options := trial.Options{}
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Play a whole fleet with faults on loopback and count the harm",
		Long: "Starts six entries and keepers over the halls of one user, about fifty endpoints and a\n" +
			"platform in one process, and plays a story of edits, moves, a wave, a cut, replaced entries\n" +
			"and a log that is down. The last line of standard output is a JSON object. The exit code is\n" +
			"0 only if no harm was counted.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if options.Seconds < leastSeconds || options.Seconds > mostSeconds {
				return usage(fmt.Errorf("--seconds is %d; allowed: %d to %d", options.Seconds, leastSeconds, mostSeconds))
			}
			if _, err := trial.NewUser(options.User); err != nil {
				return usage(err)
			}
			options.Progress = cmd.ErrOrStderr()
			options.Logger = newLogger(cmd.ErrOrStderr(), quietLevel)
			report, err := trial.Run(cmd.Context(), options)
			if err != nil {
				return err
			}
			if err := report.Write(cmd.OutOrStdout()); err != nil {
				return err
			}
			if report.TotalViolations() > 0 {
				return &ExitError{Code: ExitViolations, Err: fmt.Errorf("%d counts of harm", report.TotalViolations())}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&options.User, "users", trial.Lisbon, "whose fleet to play: lisbon or podkarpacie")
	cmd.Flags().Uint64Var(&options.Seed, "seed", 1, "seed of the callers' and the stand-ins' choices")
	cmd.Flags().IntVar(&options.Seconds, "seconds", usualSeconds, "length of the story")
	return cmd
}
