// Package emulator holds the stand-ins of the platform that tests, the demo
// and the standin command share. Each works in process behind the interface
// that the system uses, and over HTTP; each takes fault switches.
package emulator
