package editor

import "encoding/json"

// Conflict is a field that two operators changed differently since the
// revision that one of them read.
type Conflict struct {
	Field string
	// Base, Mine and Theirs are the values at the revision that was read, in
	// the refused edit and in the current document; nil where removed.
	Base   json.RawMessage `json:",omitempty"`
	Mine   json.RawMessage `json:",omitempty"`
	Theirs json.RawMessage `json:",omitempty"`
}

// merge is a three-way merge: it combines the changes from base to mine with
// those from base to theirs and returns a conflict for each field that both
// changed differently.
func merge(base, mine, theirs *tree, path []string) (*tree, []Conflict) {
	switch {
	case mine.equal(base), mine.equal(theirs):
		return theirs, nil
	case theirs.equal(base):
		return mine, nil
	case !mine.isContainer() || !theirs.isContainer():
		return theirs, []Conflict{{Field: formatPath(path), Base: base.encode(), Mine: mine.encode(), Theirs: theirs.encode()}}
	}

	merged := &tree{kind: max(mine.kind, theirs.kind), children: map[string]*tree{}}
	conflicts := []Conflict{}

	for _, name := range childNames(mine, theirs) {
		child, childConflicts := merge(base.child(name), mine.child(name), theirs.child(name), childPath(path, name))
		conflicts = append(conflicts, childConflicts...)

		if child != nil {
			merged.children[name] = child
		}
	}

	return merged, conflicts
}
