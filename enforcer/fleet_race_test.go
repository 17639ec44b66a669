//go:build race

package enforcer_test

// largeFleet is smaller with the race detector, which makes 300 gateways take longer than the time
// limit of a test run. The simulation has one goroutine.
const largeFleet = 40
