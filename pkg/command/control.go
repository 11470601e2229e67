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

// control is what the subcommands of dwctl share.
type control struct {
	keeper  string
	author  string
	output  string
	timeout time.Duration
}

// Forms of output.
const (
	outputText = "text"
	outputJSON = "json"
)

const usualTimeout = 10 * time.Second

// Control returns the command line of dwctl.
func Control() *cobra.Command {
	c := &control{}
	root := newRoot("dwctl", "Edit the shared table and see what the fleet does")
	flags := root.PersistentFlags()
	flags.StringVar(&c.keeper, "keeper", "127.0.0.1:7101", "address of any keeper, an IP number and a port")
	flags.StringVar(&c.author, "author", loginName(), "name that stands in the audit trail")
	flags.StringVarP(&c.output, "output", "o", outputText, "form of the answer: text or json")
	flags.DurationVar(&c.timeout, "timeout", usualTimeout, "how long to wait for the fleet")
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		if c.output != outputText && c.output != outputJSON {
			return usage(fmt.Errorf("--output is %q; allowed: text, json", c.output))
		}
		return nil
	}
	root.AddCommand(c.table(), c.status(), c.audit(), c.explain(), c.plan())
	return root
}

func loginName() string {
	known, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return known.Username
}

// client connects to the keeper.
func (c *control) client() (*operator.Client, error) {
	empty, err := process.InitialState()
	if err != nil {
		return nil, err
	}
	return operator.New(c.keeper, (&net.Dialer{}).DialContext, clockwork.NewRealClock(), empty, c.author), nil
}

// print writes an answer in the wanted form.
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

func moment(milliseconds int) string {
	return time.UnixMilli(int64(milliseconds)).UTC().Format("2006-01-02 15:04:05.000")
}
