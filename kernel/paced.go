package kernel

import "time"

// FleetPause is how long a process waits between two calls of a kind, so that a whole
// fleet of processes makes at most rate of them a second: the load of a large fleet,
// in which each process has a little to say at any moment. It lies between least and
// longest, whatever the size of the fleet.
func FleetPause(least, longest time.Duration, processes int, rate float64) time.Duration {
	share := time.Duration(float64(processes) / rate * float64(time.Second))

	return min(max(least, share), longest)
}
