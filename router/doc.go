// Package router chooses the replica for each attempt of a request. It learns
// the replicas' load from the reports attached to their answers and never polls
// them.
package router
