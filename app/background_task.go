package app

import "context"

// BackgroundTask runs in a goroutine of its own until the context ends.
type BackgroundTask interface {
	Run(ctx context.Context)
}

func startBackgroundTasks(ctx context.Context, tasks []BackgroundTask) {
	for _, task := range tasks {
		go task.Run(ctx)
	}
}
