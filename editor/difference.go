package editor

import (
	"encoding/json"
	"strings"
)

// Difference is one field or named item that differs between two documents.
type Difference struct {
	// Path alternates field names and item names, starting at the document.
	Path []string
	// Before and After are the values; nil where the value is absent.
	Before json.RawMessage `json:",omitempty"`
	After  json.RawMessage `json:",omitempty"`
}

// Field returns the path as text, for example Services[alerts].Model.
func (difference Difference) Field() string {
	return formatPath(difference.Path)
}

func formatPath(path []string) string {
	text := &strings.Builder{}

	for index, part := range path {
		switch {
		case index%2 == 1:
			text.WriteString("[" + part + "]")
		case index > 0:
			text.WriteString("." + part)
		default:
			text.WriteString(part)
		}
	}

	return text.String()
}

// Diff returns the differences between two valid documents, in order of path.
func Diff(before, after *Document) []Difference {
	return diff(newTree(*before), newTree(*after), nil)
}

func diff(before, after *tree, path []string) []Difference {
	if before.equal(after) {
		return nil
	}

	if !before.isContainer() || !after.isContainer() {
		return []Difference{{Path: path, Before: before.encode(), After: after.encode()}}
	}

	differences := []Difference{}
	for _, name := range childNames(before, after) {
		differences = append(differences, diff(before.child(name), after.child(name), childPath(path, name))...)
	}

	return differences
}

// childPath appends a name to a copy of the path, so that the paths of siblings
// share no memory.
func childPath(path []string, name string) []string {
	return append(append(make([]string, 0, len(path)+1), path...), name)
}
