package editor

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
)

// nodeKind is the JSON form of a node.
type nodeKind int

const (
	// kindEmptyList is a list without entries, or null.
	kindEmptyList nodeKind = iota
	kindLeaf
	// kindObject has a child for each field.
	kindObject
	// kindItemList is a list of objects, with a child for each by its Name.
	kindItemList
	// kindNameList is a list of strings, with a child for each.
	kindNameList
)

const nameField = "Name"

// tree is a node of a document whose lists are keyed by name, so that documents
// are compared and merged item by item and field by field. A nil tree is an
// absent value.
type tree struct {
	kind     nodeKind
	leaf     json.RawMessage
	children map[string]*tree
}

// newTree returns the tree of a value. The names within each list have to be
// unique.
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
		panic("editor: stored value is not valid JSON: " + err.Error())
	}

	return buildTree(value)
}

func buildTree(value any) *tree {
	switch typed := value.(type) {
	case nil:
		return &tree{kind: kindEmptyList}
	case map[string]any:
		node := &tree{kind: kindObject, children: map[string]*tree{}}
		for name, child := range typed {
			node.children[name] = buildTree(child)
		}

		return node
	case []any:
		return buildList(typed)
	default:
		return &tree{kind: kindLeaf, leaf: encodeJSON(value)}
	}
}

func buildList(list []any) *tree {
	node := &tree{kind: kindEmptyList, children: map[string]*tree{}}

	for _, entry := range list {
		switch typed := entry.(type) {
		case map[string]any:
			name, _ := typed[nameField].(string)
			node.kind = kindItemList
			node.children[name] = buildTree(typed)
		case string:
			node.kind = kindNameList
			node.children[typed] = buildTree(typed)
		}
	}

	return node
}

// isContainer reports whether the node can have children.
func (node *tree) isContainer() bool {
	return node != nil && node.kind != kindLeaf
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

	if node.isContainer() != other.isContainer() || !bytes.Equal(node.leaf, other.leaf) {
		return false
	}

	return maps.EqualFunc(node.children, other.children, (*tree).equal)
}

// revert undoes the differences that led to this tree.
func (node *tree) revert(differences []Difference) {
	for _, difference := range differences {
		parent := node
		last := len(difference.Path) - 1

		for depth, name := range difference.Path[:last] {
			parent = parent.ensureChild(name, depth)
		}

		if difference.Before == nil {
			delete(parent.children, difference.Path[last])

			continue
		}

		parent.setChild(difference.Path[last], decodeTree(difference.Before), last)
	}
}

// ensureChild returns the child and adds it when it is missing, as it is in an
// empty list.
func (node *tree) ensureChild(name string, depth int) *tree {
	if node.child(name) == nil {
		node.setChild(name, &tree{}, depth)
	}

	return node.children[name]
}

// setChild sets the child. Nodes at an odd depth are lists; one that was empty
// takes its kind from the child.
func (node *tree) setChild(name string, child *tree, depth int) {
	if node.children == nil {
		node.children = map[string]*tree{}
	}

	if node.kind == kindEmptyList && depth%2 == 1 {
		node.kind = kindItemList
		if child.kind == kindLeaf {
			node.kind = kindNameList
		}
	}

	node.children[name] = child
}

// toDocument returns the document that the tree describes, with each list sorted
// by name.
func (node *tree) toDocument() *Document {
	document := &Document{}
	if err := json.Unmarshal(node.encode(), document); err != nil {
		panic("editor: tree is not a document: " + err.Error())
	}

	return document
}

func (node *tree) encode() json.RawMessage {
	if node == nil {
		return nil
	}

	return encodeJSON(node.jsonValue())
}

func (node *tree) jsonValue() any {
	switch node.kind {
	case kindLeaf:
		return node.leaf
	case kindObject:
		fields := map[string]any{}
		for name, child := range node.children {
			fields[name] = child.jsonValue()
		}

		return fields
	default:
		entries := []any{}
		for _, name := range slices.Sorted(maps.Keys(node.children)) {
			entries = append(entries, node.children[name].jsonValue())
		}

		return entries
	}
}

// childNames returns the sorted names of the children of all nodes.
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
