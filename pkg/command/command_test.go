package command

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"
)

// TestExitCodes runs command lines that start no service, and checks the exit code and the output.
func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.jsonc")
	assert.NilError(t, os.WriteFile(bad, []byte(`{"node": "a"}`), 0o600))
	const examples = "../../examples/lisbon/"
	for _, row := range []struct {
		name   string
		root   func() *cobra.Command
		args   []string
		code   int
		output string
	}{
		{"a good settings file", Keeper, []string{"check-settings", examples + "keeper-alfama-entry-1.jsonc"}, ExitOK, "no fault found"},
		{"a bad settings file", Keeper, []string{"check-settings", bad}, ExitUsage, "platform: missing"},
		{"a bad file starts nothing", Entry, []string{"--settings", bad}, ExitUsage, "keepers: missing"},
		{"a file that is not there", Entry, []string{"--settings", bad + "x"}, ExitUsage, "no such file"},
		{"a table", Control, []string{"table", "check", examples + "table.jsonc"}, ExitOK, "5 services"},
		{"a table as JSON", Control, []string{"table", "check", examples + "table.jsonc", "-o", "json"}, ExitOK, `"services"`},
		{"an unknown form of output", Control, []string{"status", "-o", "xml"}, ExitUsage, "allowed: text, json"},
		{"an unknown flag", Control, []string{"status", "--nope"}, ExitUsage, "unknown flag"},
		{"too few arguments", Control, []string{"explain", "box"}, ExitUsage, "--help"},
		{"a keeper that is not there", Control, []string{"status", "--keeper", "127.0.0.1:1"}, ExitFailed, "Keeper.Status at 127.0.0.1:1"},
		{"a trial that is too short", Trial, []string{"run", "--seconds", "1"}, ExitUsage, "allowed: 5 to 600"},
		{"a user that is not known", Trial, []string{"run", "--users", "porto"}, ExitUsage, "lisbon podkarpacie"},
		{"the version", Trial, []string{"version"}, ExitOK, Version},
	} {
		t.Run(row.name, func(t *testing.T) {
			var out bytes.Buffer
			root := row.root()
			root.SetOut(&out)
			root.SetErr(&out)
			code := Execute(root, row.args, &out)
			assert.Equal(t, code, row.code, out.String())
			assert.Assert(t, strings.Contains(out.String(), row.output), out.String())
		})
	}
}
