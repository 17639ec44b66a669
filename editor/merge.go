package editor

import "encoding/json"

// Conflict is a field that two operators changed differently since the
// revision that one of them read.
type Conflict struct {
	Field string
	// Base, Mine and Theirs are the values at the revision that was read, in
	// the refused edit and in the present document; absent where removed.
	Base   json.RawMessage `json:",omitempty"`
	Mine   json.RawMessage `json:",omitempty"`
	Theirs json.RawMessage `json:",omitempty"`
}

// merge joins the changes from base to mine with those from base to theirs.
// Where both changed the same field differently it reports a conflict.
func merge(base, mine, theirs *tree, path []string) (*tree, []Conflict) {
	switch {
	case mine.equal(base), mine.equal(theirs):
		return theirs, nil
	case theirs.equal(base):
		return mine, nil
	case !mine.branches() || !theirs.branches():
		return theirs, []Conflict{{Field: fieldName(path), Base: base.encode(), Mine: mine.encode(), Theirs: theirs.encode()}}
	}

	merged := &tree{shape: max(mine.shape, theirs.shape), children: map[string]*tree{}}
	conflicts := []Conflict{}

	for _, name := range childNames(mine, theirs) {
		child, found := merge(base.child(name), mine.child(name), theirs.child(name), join(path, name))
		conflicts = append(conflicts, found...)

		if child != nil {
			merged.children[name] = child
		}
	}

	return merged, conflicts
}
