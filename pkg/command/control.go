package command

import (
	"encoding/json"
	"fmt"
	"net"
	"os/user"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"damsonwinch/pkg/operator"
	"damsonwinch/pkg/process"
)

// control holds the flags that the subcommands of dwctl share.
type control struct {
	// keeper is the IP address and port of the keeper to ask.
	keeper string
	// author is recorded as the author of edits.
	author string
	// output is the form of the output: outputText or outputJSON.
	output string
	// timeout limits the time of all calls of a command together.
	timeout time.Duration
}

// Forms of output: values of the flag --output.
const (
	outputText = "text"
	outputJSON = "json"
)

const defaultTimeout = 10 * time.Second

// Control returns the command line of dwctl, with which operators edit the table and query a keeper.
func Control() *cobra.Command {
	c := &control{}
	root := newRootCommand("dwctl", "Edit the shared table and see what the fleet does")
	flags := root.PersistentFlags()
	flags.StringVar(&c.keeper, "keeper", "127.0.0.1:7101", "address of any keeper, an IP number and a port")
	flags.StringVar(&c.author, "author", loginName(), "name that stands in the audit trail")
	flags.StringVarP(&c.output, "output", "o", outputText, "form of the output: text or json")
	flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "how long to wait for the fleet")
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		if c.output != outputText && c.output != outputJSON {
			return usageError(fmt.Errorf("--output is %q; allowed: text, json", c.output))
		}
		return nil
	}
	root.AddCommand(c.table(), c.status(), c.audit(), c.explain(), c.plan())
	return root
}

// loginName returns the name of the user who runs the program.
func loginName() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}

// newClient returns a client of the keeper that the flags name. It connects upon its first call.
func (c *control) newClient() (*operator.Client, error) {
	initialState, err := process.InitialState()
	if err != nil {
		return nil, err
	}
	return operator.New(c.keeper, (&net.Dialer{}).DialContext, clockwork.NewRealClock(), initialState, c.author), nil
}

// print writes a command's result: value as JSON, or lines as text.
func (c *control) print(cmd *cobra.Command, value any, lines []string) error {
	out := cmd.OutOrStdout()
	if c.output == outputJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return err
		}
	}
	return nil
}

// formatTime formats a time in Unix milliseconds as a date and time in UTC.
func formatTime(unixMs int) string {
	return time.UnixMilli(int64(unixMs)).UTC().Format("2006-01-02 15:04:05.000")
}
