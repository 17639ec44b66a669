// Package soaker disturbs a deployment of separate processes from outside, by a
// seed, and judges what callers and backend servers see.
package soaker
