// Package command holds the command lines of the programs.
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
	ExitUsage      = 2 // A command line or a settings file is wrong; nothing was started.
	ExitRefused    = 3 // The fleet refused an edit.
	ExitViolations = 4 // A trial counted harm.
)

const quietLevel = logrus.ErrorLevel

// ExitError is an error with its exit code.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the cause's text.
func (e *ExitError) Error() string {
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error {
	return e.Err
}

func usage(err error) error {
	return &ExitError{Code: ExitUsage, Err: err}
}

// Execute runs a command line until it ends or the process is told to stop, and
// returns the exit code.
func Execute(root *cobra.Command, args []string, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(stderr, root.Name()+": "+err.Error())
	return codeOf(err)
}

func codeOf(err error) int {
	var exit *ExitError
	var file *check.FileError
	switch {
	case errors.As(err, &exit):
		return exit.Code
	case errors.As(err, &file):
		return ExitUsage
	}
	return ExitFailed
}

func newRoot(name, short string) *cobra.Command {
	root := &cobra.Command{
		Use:           name,
		Short:         short,
		Long:          short + ".\n\n" + exitCodes,
		Version:       Version,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usage(err) })
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

const exitCodes = `Exit codes: 0 done; 1 failed; 2 the command line or a settings file is wrong and
nothing was started; 3 the fleet refused an edit; 4 a trial counted harm.`

func newLogger(out io.Writer, level logrus.Level) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.JSONFormatter{})
	return logger
}
