package check

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"damsonwinch/pkg/settings"
)

// TestFileFaultsAreReportedWithTheirLines checks the files in testdata/faults. The
// command of each is the name of the definition, and the output lists the faults.
func TestFileFaultsAreReportedWithTheirLines(t *testing.T) {
	checker, err := New()
	assert.NilError(t, err)
	datadriven.RunTest(t, "testdata/faults", func(t *testing.T, d *datadriven.TestData) string {
		name := filepath.Join(t.TempDir(), "file")
		assert.NilError(t, os.WriteFile(name, []byte(d.Input), 0o600))
		into := map[string]any{Keeper: &settings.Keeper{}, Entry: &settings.Entry{}, Table: &settings.Table{}, Fleet: &settings.Fleet{}}
		err := checker.LoadFile(d.Cmd, name, into[d.Cmd])
		if err == nil {
			return "no fault\n"
		}
		var faults *FileError
		assert.Assert(t, errors.As(err, &faults), err)
		return strings.ReplaceAll(err.Error(), name, "FILE") + "\n"
	})
}

// TestExamplesHaveNoFaults checks the settings and table files of the examples.
func TestExamplesHaveNoFaults(t *testing.T) {
	checker, err := New()
	assert.NilError(t, err)
	files, err := filepath.Glob("../../examples/*/*.jsonc")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 20, "%d examples", len(files))
	for _, file := range files {
		definition, into := Keeper, any(&settings.Keeper{})
		switch base := filepath.Base(file); {
		case strings.HasPrefix(base, "entry"):
			definition, into = Entry, &settings.Entry{}
		case strings.HasPrefix(base, "table"):
			definition, into = Table, &settings.Table{}
		case strings.HasPrefix(base, "fleet"):
			definition, into = Fleet, &settings.Fleet{}
		}
		assert.NilError(t, checker.LoadFile(definition, file, into))
	}
}
