package kernel

import "time"

// FleetPause returns the interval between two calls of one process at which a fleet of
// that many processes makes at most rate calls a second in total. This bounds the
// load that a large fleet puts on a shared service. The interval is kept between
// shortest and longest, so a very large fleet exceeds the rate.
func FleetPause(shortest, longest time.Duration, processes int, rate float64) time.Duration {
	interval := time.Duration(float64(processes) / rate * float64(time.Second))

	return min(max(shortest, interval), longest)
}
