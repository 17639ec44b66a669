// Package recorder keeps a process's part of the time line: a ring buffer of
// typed events with stamps of a hybrid logical clock. The merged events of all
// processes are in an order that puts each cause before its effects.
package recorder
