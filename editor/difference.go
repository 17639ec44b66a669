package editor

import (
	"encoding/json"
	"strings"
)

// Difference is one field or named item that differs between two documents.
type Difference struct {
	// Path alternates field names and item names, from the document down.
	Path []string
	// Before and After are the values; absent where there is none.
	Before json.RawMessage `json:",omitempty"`
	After  json.RawMessage `json:",omitempty"`
}

// Field returns the path as text, for example Services[alerts].Model.
func (difference Difference) Field() string {
	return fieldName(difference.Path)
}

func fieldName(path []string) string {
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

// Diff lists what differs between two valid documents, in order of the path.
func Diff(before, after *Document) []Difference {
	return diff(newTree(*before), newTree(*after), nil)
}

func diff(before, after *tree, path []string) []Difference {
	if before.equal(after) {
		return nil
	}

	if !before.branches() || !after.branches() {
		return []Difference{{Path: path, Before: before.encode(), After: after.encode()}}
	}

	found := []Difference{}
	for _, name := range childNames(before, after) {
		found = append(found, diff(before.child(name), after.child(name), join(path, name))...)
	}

	return found
}

// join returns a longer path that shares no memory with the shorter one.
func join(path []string, name string) []string {
	return append(append(make([]string, 0, len(path)+1), path...), name)
}
