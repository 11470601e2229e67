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

// FileError lists every fault of one settings file.
type FileError struct {
	// Lines holds one fault a line, each with file, line, field and what is
	// allowed.
	Lines []string
}

// Error returns all faults, one a line.
func (e *FileError) Error() string {
	return strings.Join(e.Lines, "\n")
}

// LoadFile reads a settings file, JSON with comments, checks it against a
// definition and decodes it. The error is a *FileError when the file can be
// read but is wrong.
func (c *Checker) LoadFile(definition, name string, into any) error {
	text, err := os.ReadFile(name)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	root, err := hujson.Parse(text)
	if err != nil {
		return &FileError{Lines: []string{fmt.Sprintf("%s: not JSON with comments: %v", name, err)}}
	}
	plain := root.Clone()
	plain.Standardize()
	faults := append(duplicates(root, nil), c.Decode(definition, plain.Pack(), into)...)
	// What could be decoded is looked at even if some of it is wrong, so that
	// one reading shows every fault.
	faults = append(faults, crossCheck(into)...)
	if len(faults) == 0 {
		return nil
	}
	return &FileError{Lines: place(name, text, root, faults)}
}

// placed is a fault with its line.
type placed struct {
	Fault
	line int
}

// place words the faults with the file's name and the line of each field, in the
// order of the file.
func place(name string, text []byte, root hujson.Value, faults []Fault) []string {
	found := make([]placed, 0, len(faults))
	for _, fault := range faults {
		found = append(found, placed{Fault: fault, line: lineOf(text, root, fault.Path)})
	}
	slices.SortStableFunc(found, func(a, b placed) int {
		return cmp.Or(a.line-b.line, strings.Compare(a.Field(), b.Field()), strings.Compare(a.Problem, b.Problem))
	})
	lines := make([]string, 0, len(found))
	for _, fault := range found {
		lines = append(lines, fmt.Sprintf("%s:%d: %s: %s", name, fault.line, fault.Field(), fault.Problem))
	}
	return lines
}

// lineOf finds the line of the deepest part of the path that exists.
func lineOf(text []byte, root hujson.Value, path []string) int {
	for length := len(path); length > 0; length-- {
		if found := root.Find(pointer(path[:length])); found != nil {
			return 1 + bytes.Count(text[:found.StartOffset], []byte("\n"))
		}
	}
	return 1
}

func pointer(path []string) string {
	escape := strings.NewReplacer("~", "~0", "/", "~1")
	var text strings.Builder
	for _, part := range path {
		text.WriteString("/" + escape.Replace(part))
	}
	return text.String()
}

// duplicates finds keys written twice in one object, of which JSON decoders
// silently keep the last.
func duplicates(value hujson.Value, path []string) []Fault {
	var found []Fault
	switch node := value.Value.(type) {
	case *hujson.Object:
		seen := map[string]bool{}
		for _, member := range node.Members {
			key := member.Name.Value.(hujson.Literal).String()
			if seen[key] {
				found = append(found, Fault{Path: with(path, key), Problem: "key stands twice; keep one"})
			}
			seen[key] = true
			found = append(found, duplicates(member.Value, with(path, key))...)
		}
	case *hujson.Array:
		for i, element := range node.Elements {
			found = append(found, duplicates(element, with(path, strconv.Itoa(i)))...)
		}
	}
	return found
}

// IndentedJSON returns a value as indented JSON, for the command line's answers.
func IndentedJSON(value any) (string, error) {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return "", fmt.Errorf("write JSON: %w", err)
	}
	return string(text), nil
}
