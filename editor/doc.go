// Package editor holds the operators' document: its types, its validation as
// a whole, and the merging of edits that race.
package editor
