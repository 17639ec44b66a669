// Package fencer guards an engine at the sidecar: it lets through the orders
// of the newest planner only, also for engines that check no fencing number.
package fencer
