package executor

import (
	"context"
	"time"

	"limpetrail/admitter"
	"limpetrail/classifier"
	"limpetrail/driver"
	"limpetrail/kernel"
)

// acquireTurn waits for a place and for the request's turn within the limit that the backend
// server names.
func (executor *Executor) acquireTurn(ctx context.Context, request admitter.PlaceRequest) (admitter.Place, classifier.Outcome) {
	for {
		place, refusal := executor.acquirePlace(ctx, request)
		if place == nil {
			return nil, refusal
		}

		wait := executor.awaitTurn(ctx, request, place)
		leaving := executor.startContext.Err() != nil

		if wait == 0 && !leaving {
			return place, refusal
		}

		place.Release()

		// A leaving sidecar refuses the next place.
		if !wasPreempted(place) && !leaving {
			refusal.Reason, refusal.RetryAfter = "the backend server takes no more requests for now", wait

			return nil, refusal
		}
	}
}

// awaitTurn waits until the limit that the backend server names allows another request, and
// returns 0. If the request would wait for too long it returns for how long: an online request
// can be sent elsewhere, while a batch item waits until it is preempted, its time ends or a
// leaving sidecar may start nothing more.
func (executor *Executor) awaitTurn(ctx context.Context, request admitter.PlaceRequest, place admitter.Place) time.Duration {
	limited := executor.limited()
	if limited == nil {
		return 0
	}

	latest := time.Now().Add(executor.Settings.LimitWait)
	if request.Batch {
		latest = request.Deadline
	}

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	stop := context.AfterFunc(executor.startContext, cancel) //nolint:contextcheck // Either context ends it.
	defer stop()

	if request.Batch {
		go func() {
			select {
			case <-place.Preempted():
				cancel()
			case <-ctx.Done():
			}
		}()
	}

	for {
		wait := limited.Reserve(time.Now())
		if wait == 0 || time.Now().Add(wait).After(latest) || !kernel.Pause(ctx, wait) {
			return wait
		}
	}
}

// limited returns the backend server if it may name a limit, or nil.
func (executor *Executor) limited() driver.Limited {
	if limited, ok := executor.Engine.(driver.Limited); ok {
		return limited
	}

	if limited, ok := executor.Service.(driver.Limited); ok {
		return limited
	}

	return nil
}

func wasPreempted(place admitter.Place) bool {
	select {
	case <-place.Preempted():
		return true
	default:
		return false
	}
}
