// Package sequencer decides which batch item gets the next place. It answers a
// pile of work: after an outage, or when many jobs come at once, there is more to
// do before the due times than the places allow.
package sequencer
