// Package check holds settings files and table cells against the schema and
// reports every fault at once, each with its place.
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

// Names of the checked definitions.
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

// Fault is one thing wrong with a value.
type Fault struct {
	// Path leads from the value's root to the faulty field.
	Path []string
	// Problem says what is wrong and what is allowed.
	Problem string
}

// Field returns the path as operators write it.
func (f Fault) Field() string {
	if len(f.Path) == 0 {
		return "(whole file)"
	}
	return strings.Join(f.Path, ".")
}

// Checker holds the compiled schemas.
type Checker struct {
	schemas  map[string]*jsonschema.Schema
	compiler *jsonschema.Compiler
	printer  *message.Printer
}

// New compiles the schema of every checked definition.
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

func checkAddress(value any) error {
	text, isText := value.(string)
	if !isText {
		return nil
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		return errors.New("want an IP number and a port, such as 10.0.1.7:8443")
	}
	return nil
}

// CheckJSON checks CheckJSON text against a definition and returns every fault.
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
	return c.leaves(invalid, nil)
}

// leaves collects the innermost errors: the outer ones only repeat them.
func (c *Checker) leaves(invalid *jsonschema.ValidationError, found []Fault) []Fault {
	for _, cause := range invalid.Causes {
		found = c.leaves(cause, found)
	}
	if len(invalid.Causes) > 0 {
		return found
	}
	path := invalid.InstanceLocation
	switch what := invalid.ErrorKind.(type) {
	case *kind.Required:
		for _, missing := range what.Missing {
			found = append(found, Fault{Path: with(path, missing), Problem: "missing; this key is required"})
		}
	case *kind.AdditionalProperties:
		for _, unknown := range what.Properties {
			found = append(found, Fault{Path: with(path, unknown), Problem: "unknown key; allowed: " + c.keysOf(invalid.SchemaURL)})
		}
	default:
		found = append(found, Fault{Path: path, Problem: invalid.ErrorKind.LocalizedString(c.printer)})
	}
	return found
}

// keysOf names the keys that the schema at a place allows.
func (c *Checker) keysOf(url string) string {
	found, err := c.compiler.Compile(url)
	if err != nil {
		return "those of the documentation"
	}
	return strings.Join(slices.Sorted(maps.Keys(found.Properties)), ", ")
}

func with(path []string, last string) []string {
	return append(append([]string{}, path...), last)
}

// Decode checks JSON text and decodes what can be decoded of it. The value is
// whole only if there is no fault.
func (c *Checker) Decode(definition string, text []byte, into any) []Fault {
	faults := c.CheckJSON(definition, text)
	if err := json.Unmarshal(text, into); err != nil && len(faults) == 0 {
		return []Fault{{Problem: err.Error()}}
	}
	return faults
}
