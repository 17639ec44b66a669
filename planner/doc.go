// Package planner compares the operators' document with what the engines have
// loaded and sends load and unload orders. Only the entry that holds the
// planner lease plans; each order carries the fencing number of that lease.
// Load orders are rate limited to protect the platform's weight store.
package planner
