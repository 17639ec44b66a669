// Package surveyor measures how the processor time and memory of each component
// grow with its size, such as the number of replicas, workspaces or streams.
// docs/CAPACITY.md works out the cost at the target size from the results.
package surveyor
