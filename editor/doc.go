// Package editor holds the operators' document: its types, its validation and
// the merging of concurrent edits.
package editor
