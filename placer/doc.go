// Package placer decides where work runs, how it waits, what is turned away
// and which batch work yields. It does no input or output: it is told what runs
// here, what runs at other entries and how backend servers behave.
package placer
