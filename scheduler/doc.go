// Package scheduler runs batch jobs. Each job is one record in the key-value
// service. One entry owns a job at a time, hands out its items to sidecars that
// pull them, and commits their results to the record in groups.
//
// The lease on a shard of jobs only avoids duplicate work. The compare-and-swap
// of the record ensures that an item gets one result only: each commit carries
// the owner's epoch, and commits of a former owner are refused.
package scheduler
