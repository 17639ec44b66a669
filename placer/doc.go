// Package placer decides which backend server runs a request, how requests queue, which
// are refused and which batch work is preempted. It does no input or output: its callers
// report what runs here, what runs at other entries and how backend servers behave.
package placer
