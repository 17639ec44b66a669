package editor

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
)

// shape is how a node of a tree is written in JSON.
type shape int

const (
	// shapeEmpty is a list without entries, of either kind.
	shapeEmpty shape = iota
	shapeLeaf
	// shapeObject has a child for each field.
	shapeObject
	// shapeItems is a list of objects, with a child for each Name.
	shapeItems
	// shapeNames is a list of texts, with a child for each.
	shapeNames
)

const nameField = "Name"

// tree is a document with its lists turned into named children, so that
// documents are compared and merged item by item and field by field. A nil
// tree is an absent value.
type tree struct {
	shape    shape
	leaf     json.RawMessage
	children map[string]*tree
}

// newTree returns the tree of a value whose lists have unique names.
func newTree(value any) *tree {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("editor: document cannot be encoded: " + err.Error())
	}

	return decodeTree(encoded)
}

func decodeTree(encoded json.RawMessage) *tree {
	decoder := json.NewDecoder(bytes.NewReader(encoded))
	decoder.UseNumber()

	var value any
	if err := decoder.Decode(&value); err != nil {
		panic("editor: stored value is no JSON: " + err.Error())
	}

	return buildTree(value)
}

func buildTree(value any) *tree {
	switch typed := value.(type) {
	case nil:
		return &tree{shape: shapeEmpty}
	case map[string]any:
		node := &tree{shape: shapeObject, children: map[string]*tree{}}
		for name, child := range typed {
			node.children[name] = buildTree(child)
		}

		return node
	case []any:
		return buildList(typed)
	default:
		return &tree{shape: shapeLeaf, leaf: encodeJSON(value)}
	}
}

func buildList(list []any) *tree {
	node := &tree{shape: shapeEmpty, children: map[string]*tree{}}

	for _, entry := range list {
		switch typed := entry.(type) {
		case map[string]any:
			name, _ := typed[nameField].(string)
			node.shape = shapeItems
			node.children[name] = buildTree(typed)
		case string:
			node.shape = shapeNames
			node.children[typed] = buildTree(typed)
		}
	}

	return node
}

// branches tells whether the node may have children.
func (node *tree) branches() bool {
	return node != nil && node.shape != shapeLeaf
}

func (node *tree) child(name string) *tree {
	if node == nil {
		return nil
	}

	return node.children[name]
}

func (node *tree) equal(other *tree) bool {
	if node == nil || other == nil {
		return node == other
	}

	if node.branches() != other.branches() || !bytes.Equal(node.leaf, other.leaf) {
		return false
	}

	return maps.EqualFunc(node.children, other.children, (*tree).equal)
}

// undo takes back the differences that led to this tree.
func (node *tree) undo(differences []Difference) {
	for _, difference := range differences {
		parent := node
		last := len(difference.Path) - 1

		for depth, name := range difference.Path[:last] {
			parent = parent.descend(name, depth)
		}

		if difference.Before == nil {
			delete(parent.children, difference.Path[last])

			continue
		}

		parent.put(difference.Path[last], decodeTree(difference.Before), last)
	}
}

// descend returns the child, which it adds when an empty list left it out.
func (node *tree) descend(name string, depth int) *tree {
	if node.child(name) == nil {
		node.put(name, &tree{}, depth)
	}

	return node.children[name]
}

func (node *tree) put(name string, child *tree, depth int) {
	if node.children == nil {
		node.children = map[string]*tree{}
	}

	if node.shape == shapeEmpty && depth%2 == 1 {
		node.shape = shapeItems
		if child.shape == shapeLeaf {
			node.shape = shapeNames
		}
	}

	node.children[name] = child
}

// document returns the document that the tree describes, its lists in order
// of their names.
func (node *tree) document() *Document {
	document := &Document{}
	if err := json.Unmarshal(node.encode(), document); err != nil {
		panic("editor: tree is no document: " + err.Error())
	}

	return document
}

func (node *tree) encode() json.RawMessage {
	if node == nil {
		return nil
	}

	return encodeJSON(node.value())
}

func (node *tree) value() any {
	switch node.shape {
	case shapeLeaf:
		return node.leaf
	case shapeObject:
		fields := map[string]any{}
		for name, child := range node.children {
			fields[name] = child.value()
		}

		return fields
	default:
		entries := []any{}
		for _, name := range slices.Sorted(maps.Keys(node.children)) {
			entries = append(entries, node.children[name].value())
		}

		return entries
	}
}

// childNames returns the names of the children of all nodes, in order.
func childNames(nodes ...*tree) []string {
	names := map[string]bool{}

	for _, node := range nodes {
		if node == nil {
			continue
		}

		for name := range node.children {
			names[name] = true
		}
	}

	return slices.Sorted(maps.Keys(names))
}

func encodeJSON(value any) json.RawMessage {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("editor: value cannot be encoded: " + err.Error())
	}

	return encoded
}
