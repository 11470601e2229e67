// Package command implements the command lines of the programs dw-entry, dw-keeper, dw-node, dw-trial and
// dwctl.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"damsonwinch/pkg/check"
)

// Version is the version of all programs.
const Version = "0.1.0"

// Exit codes of all programs.
const (
	ExitOK         = 0
	ExitFailed     = 1
	ExitUsage      = 2 // The command line or a settings file is invalid; nothing was started.
	ExitRefused    = 3 // The fleet refused an edit.
	ExitViolations = 4 // A trial found violations of invariants.
)

// trialLogLevel is the log level of dw-trial. It prints its own progress, so that only errors are logged.
const trialLogLevel = logrus.ErrorLevel

// ExitError is an error that makes the program exit with Code.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the text of Err.
func (e *ExitError) Error() string {
	return e.Err.Error()
}

// Unwrap returns Err.
func (e *ExitError) Unwrap() error {
	return e.Err
}

// usageError returns err with the exit code of a wrong command line or settings file.
func usageError(err error) error {
	return &ExitError{Code: ExitUsage, Err: err}
}

// Execute runs a command line and returns the exit code. Upon an interrupt or SIGTERM it cancels the
// command's context. It prints an error to stderr.
func Execute(root *cobra.Command, args []string, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(stderr, root.Name()+": "+err.Error())
	return exitCode(err)
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var exitErr *ExitError
	var fileErr *check.FileError
	switch {
	case errors.As(err, &exitErr):
		return exitErr.Code
	case errors.As(err, &fileErr):
		return ExitUsage
	}
	return ExitFailed
}

// newRootCommand returns the root command of a program, with the subcommand version. Its long help text
// consists of short and the exit codes.
func newRootCommand(name, short string) *cobra.Command {
	root := &cobra.Command{
		Use:           name,
		Short:         short,
		Long:          short + ".\n\n" + exitCodes,
		Version:       Version,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError(err) })
	root.AddCommand(&cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), name, Version)
			return err
		},
	})
	return root
}

// exitCodes is a part of each program's help.
const exitCodes = `Exit codes: 0 done; 1 failed; 2 the command line or a settings file is wrong and
nothing was started; 3 the fleet refused an edit; 4 a trial found violations of invariants.`

// newLogger returns a logger that writes lines of JSON.
func newLogger(out io.Writer, level logrus.Level) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.JSONFormatter{})
	return logger
}
