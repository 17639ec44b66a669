// Package surveyor measures how the cost of each part grows with its size, so
// that docs/CAPACITY.md can work out the cost at the target size.
package surveyor
