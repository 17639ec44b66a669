// Package scheduler keeps batch jobs. Each job is one record in the key-value
// service; one entry owns it at a time, hands its items out to sidecars that
// ask, and commits their results to the record in groups.
//
// The lease of a shard only saves double work. What makes a result single is
// the compare-and-swap of the record: each commit carries the owner's epoch,
// and a former owner's commits are refused.
package scheduler
