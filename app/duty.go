package app

import "context"

// Duty is one thing that a process does all the time, in a goroutine of its
// own, until the context ends.
type Duty interface {
	Run(ctx context.Context)
}

func startDuties(ctx context.Context, duties []Duty) {
	for _, duty := range duties {
		go duty.Run(ctx)
	}
}
