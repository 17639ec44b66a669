// Package fencer guards an engine at the sidecar: it passes on only the orders
// of the newest planner, which also protects engines that do not check fencing
// numbers.
package fencer
