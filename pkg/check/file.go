package check

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// FileError is the error for a settings file that has faults.
type FileError struct {
	// Lines describes one fault per line, with the file, the line, the field and the
	// problem.
	Lines []string
}

// Error returns all lines, separated by newlines.
func (e *FileError) Error() string {
	return strings.Join(e.Lines, "\n")
}

// LoadFile reads a settings file, which is JSON with comments, checks it against a
// definition and decodes it. The error is a *FileError if the file can be read but
// has faults.
func (c *Checker) LoadFile(definition, name string, into any) error {
	text, err := os.ReadFile(name)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	root, err := hujson.Parse(text)
	if err != nil {
		return &FileError{Lines: []string{fmt.Sprintf("%s: not JSON with comments: %v", name, err)}}
	}
	standard := root.Clone()
	standard.Standardize()
	faults := append(duplicateKeys(root, nil), c.Decode(definition, standard.Pack(), into)...)
	// Even if there are faults, the part that could be decoded is checked further, so
	// that the error lists all faults at once.
	faults = append(faults, crossCheck(into)...)
	if len(faults) == 0 {
		return nil
	}
	return &FileError{Lines: formatFaults(name, text, root, faults)}
}

// locatedFault is a fault with its line in the file.
type locatedFault struct {
	Fault
	line int
}

// formatFaults returns a line for each fault, with the name of the file and the line
// of the field, in the order of the file.
func formatFaults(name string, text []byte, root hujson.Value, faults []Fault) []string {
	found := make([]locatedFault, 0, len(faults))
	for _, fault := range faults {
		found = append(found, locatedFault{Fault: fault, line: findLine(text, root, fault.Path)})
	}
	slices.SortStableFunc(found, func(a, b locatedFault) int {
		return cmp.Or(a.line-b.line, strings.Compare(a.Field(), b.Field()), strings.Compare(a.Problem, b.Problem))
	})
	lines := make([]string, 0, len(found))
	for _, fault := range found {
		lines = append(lines, fmt.Sprintf("%s:%d: %s: %s", name, fault.line, fault.Field(), fault.Problem))
	}
	return lines
}

// findLine returns the number, from 1, of the line with the deepest part of the path
// that exists.
func findLine(text []byte, root hujson.Value, path []string) int {
	for length := len(path); length > 0; length-- {
		if found := root.Find(jsonPointer(path[:length])); found != nil {
			return 1 + bytes.Count(text[:found.StartOffset], []byte("\n"))
		}
	}
	return 1
}

// jsonPointer returns a path as a JSON Pointer (RFC 6901).
func jsonPointer(path []string) string {
	escape := strings.NewReplacer("~", "~0", "/", "~1")
	var text strings.Builder
	for _, part := range path {
		text.WriteString("/" + escape.Replace(part))
	}
	return text.String()
}

// duplicateKeys returns a fault for each key that an object has twice: JSON decoders
// silently keep the last one.
func duplicateKeys(value hujson.Value, path []string) []Fault {
	var found []Fault
	switch node := value.Value.(type) {
	case *hujson.Object:
		seen := map[string]bool{}
		for _, member := range node.Members {
			key := member.Name.Value.(hujson.Literal).String()
			if seen[key] {
				found = append(found, Fault{Path: childPath(path, key), Problem: "key stands twice; keep one"})
			}
			seen[key] = true
			found = append(found, duplicateKeys(member.Value, childPath(path, key))...)
		}
	case *hujson.Array:
		for i, element := range node.Elements {
			found = append(found, duplicateKeys(element, childPath(path, strconv.Itoa(i)))...)
		}
	}
	return found
}

// IndentedJSON returns a value as indented JSON, for the output of the command line.
func IndentedJSON(value any) (string, error) {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return "", fmt.Errorf("write JSON: %w", err)
	}
	return string(text), nil
}
