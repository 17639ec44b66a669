package kernel

import "time"

// Earliest returns the earlier of two times.
func Earliest(one, other time.Time) time.Time {
	if one.Before(other) {
		return one
	}

	return other
}

// Latest returns the later of two times.
func Latest(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}

	return other
}
