// Package recorder keeps each process's part of the time line: a bounded ring
// of typed events stamped with a hybrid logical clock, so that the events of
// all processes merge into one order that respects cause and effect.
package recorder
