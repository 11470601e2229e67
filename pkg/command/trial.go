package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"damsonwinch/pkg/trial"
)

// Values of the flag --seconds of dw-trial run.
const (
	defaultSeconds = 30
	minSeconds     = 5
	maxSeconds     = 600
)

// Trial returns the command line of dw-trial, whose subcommands run trials, benchmarks and stand-ins.
func Trial() *cobra.Command {
	root := newRootCommand("dw-trial", "Run damsonwinch with stand-ins on this machine")
	root.AddCommand(trialRun(), trialPlatform(), trialEndpoints(), trialPlanBench(), trialLoad(), trialSlopes())
	return root
}

func trialRun() *cobra.Command {
	options := trial.Options{}
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Run a whole fleet with faults on loopback and count violations of invariants",
		Long: "Starts six entries and keepers over the halls of one user, about fifty endpoints and a\n" +
			"platform in one process, and runs a script of edits, moves, a maintenance wave, a hall that is\n" +
			"cut off, replaced entries and a log that is down. The last line of standard output is a JSON\n" +
			"object. The exit code is 0 only if no invariant was violated.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if options.Seconds < minSeconds || options.Seconds > maxSeconds {
				return usageError(fmt.Errorf("--seconds is %d; allowed: %d to %d", options.Seconds, minSeconds, maxSeconds))
			}
			if _, err := trial.NewUser(options.User); err != nil {
				return usageError(err)
			}
			options.Progress = cmd.ErrOrStderr()
			options.Logger = newLogger(cmd.ErrOrStderr(), trialLogLevel)
			report, err := trial.Run(cmd.Context(), options)
			if err != nil {
				return err
			}
			if err := report.Write(cmd.OutOrStdout()); err != nil {
				return err
			}
			if report.TotalViolations() > 0 {
				return &ExitError{Code: ExitViolations, Err: fmt.Errorf("%d violations of invariants", report.TotalViolations())}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&options.User, "users", trial.Lisbon, "whose fleet to play: lisbon or podkarpacie")
	cmd.Flags().Uint64Var(&options.Seed, "seed", 1, "seed of the callers' and the stand-ins' choices")
	cmd.Flags().IntVar(&options.Seconds, "seconds", defaultSeconds, "duration of the run")
	return cmd
}
