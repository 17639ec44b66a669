// Package emulator emulates the services of the platform for tests, the demo and
// the standin command. Most emulators implement the Go interface that the system
// uses and an HTTP server as well. Callers can inject faults.
package emulator
