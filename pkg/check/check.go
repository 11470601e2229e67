// Package check checks settings files and rows of the table against the settings
// schema. It reports all faults at once, each with its place.
package check

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"damsonwinch/schema"
)

// Names of the definitions in the settings schema that a Checker knows.
const (
	Keeper     = "Keeper"
	Entry      = "Entry"
	Table      = "Table"
	Fleet      = "Fleet"
	Row        = "Row"
	Deployment = "Deployment"
	Node       = "Node"
)

const schemaURL = "settings.json"

// Fault is one mistake in a checked value.
type Fault struct {
	// Path holds the keys and array indexes that lead from the root of the value to
	// the faulty field.
	Path []string
	// Problem says what is wrong and, where it helps, what is allowed.
	Problem string
}

// Field returns the path as text, such as "services.0.row.pool".
func (f Fault) Field() string {
	if len(f.Path) == 0 {
		return "(whole file)"
	}
	return strings.Join(f.Path, ".")
}

// Checker checks values against the definitions of the settings schema.
type Checker struct {
	schemas  map[string]*jsonschema.Schema
	compiler *jsonschema.Compiler
	printer  *message.Printer
}

// New returns a Checker with all definitions compiled.
func New() (*Checker, error) {
	document, err := jsonschema.UnmarshalJSON(strings.NewReader(schema.Settings))
	if err != nil {
		return nil, fmt.Errorf("read settings schema: %w", err)
	}
	compiler := jsonschema.NewCompiler()
	compiler.RegisterFormat(&jsonschema.Format{Name: "ip-port", Validate: checkAddress})
	compiler.AssertFormat()
	if err := compiler.AddResource(schemaURL, document); err != nil {
		return nil, fmt.Errorf("add settings schema: %w", err)
	}
	checker := &Checker{schemas: map[string]*jsonschema.Schema{}, compiler: compiler, printer: message.NewPrinter(language.English)}
	for _, name := range []string{Keeper, Entry, Table, Fleet, Row, Deployment, Node} {
		compiled, err := compiler.Compile(schemaURL + "#/$defs/" + name)
		if err != nil {
			return nil, fmt.Errorf("compile schema of %s: %w", name, err)
		}
		checker.schemas[name] = compiled
	}
	return checker, nil
}

// checkAddress returns an error if a string value is not an IP address and a port. It
// accepts values of other types, which the schema checks.
func checkAddress(value any) error {
	text, isString := value.(string)
	if !isString {
		return nil
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		return errors.New("want an IP number and a port, such as 10.0.1.7:8443")
	}
	return nil
}

// CheckJSON checks JSON text against the definition of the given name, one of the
// constants above, and returns all faults.
func (c *Checker) CheckJSON(definition string, text []byte) []Fault {
	value, err := jsonschema.UnmarshalJSON(strings.NewReader(string(text)))
	if err != nil {
		return []Fault{{Problem: fmt.Sprintf("not JSON: %v", err)}}
	}
	err = c.schemas[definition].Validate(value)
	if err == nil {
		return nil
	}
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return []Fault{{Problem: err.Error()}}
	}
	return c.innermostFaults(invalid, nil)
}

// innermostFaults appends to found a fault for each of the innermost causes of a
// validation error. The outer errors only repeat them.
func (c *Checker) innermostFaults(invalid *jsonschema.ValidationError, found []Fault) []Fault {
	for _, cause := range invalid.Causes {
		found = c.innermostFaults(cause, found)
	}
	if len(invalid.Causes) > 0 {
		return found
	}
	path := invalid.InstanceLocation
	switch errorKind := invalid.ErrorKind.(type) {
	case *kind.Required:
		for _, missing := range errorKind.Missing {
			found = append(found, Fault{Path: childPath(path, missing), Problem: "missing; this key is required"})
		}
	case *kind.AdditionalProperties:
		for _, unknown := range errorKind.Properties {
			found = append(found, Fault{Path: childPath(path, unknown), Problem: "unknown key; allowed: " + c.allowedKeys(invalid.SchemaURL)})
		}
	default:
		found = append(found, Fault{Path: path, Problem: invalid.ErrorKind.LocalizedString(c.printer)})
	}
	return found
}

// allowedKeys lists the keys that the schema at a URL allows, separated by commas.
func (c *Checker) allowedKeys(url string) string {
	found, err := c.compiler.Compile(url)
	if err != nil {
		return "those of the documentation"
	}
	return strings.Join(slices.Sorted(maps.Keys(found.Properties)), ", ")
}

// childPath returns the path of a key below another path.
func childPath(path []string, last string) []string {
	return append(append([]string{}, path...), last)
}

// Decode checks JSON text as CheckJSON does, decodes it into the value that into points
// to, and returns all faults. If there are faults, the value may be incomplete.
func (c *Checker) Decode(definition string, text []byte, into any) []Fault {
	faults := c.CheckJSON(definition, text)
	if err := json.Unmarshal(text, into); err != nil && len(faults) == 0 {
		return []Fault{{Problem: err.Error()}}
	}
	return faults
}
