// Package sequencer decides which batch item gets the next place. The order matters
// when there is a backlog: after an outage, or when many jobs arrive at once, the
// places don't suffice to complete all items before their due times.
package sequencer
