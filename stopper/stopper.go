package stopper

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// exitMargin of the grace is reserved for the last log lines.
	exitMargin = 500 * time.Millisecond
	// answerMargin before the exit is when running requests are ended, so that their answers are
	// still written.
	answerMargin = 300 * time.Millisecond
)

// ErrStopped is the cause of contexts that ended with the time for running requests.
var ErrStopped = errors.New("the process stops")

// Stopper divides the grace of a planned stop: load balancers still send requests during the lag,
// then running requests may go on until they are ended to be answered.
type Stopper struct {
	// Lag is how long load balancers send requests after the stop has begun.
	Lag time.Duration
	// Grace is how long the process may take to exit.
	Grace time.Duration

	mutex sync.Mutex
	// begunAt is zero before the stop.
	begunAt time.Time
	// ended is cancelled when running requests are ended.
	ended  context.Context //nolint:containedctx // It only signals the end to other contexts.
	signal context.CancelFunc
}

// NewStopper returns a stopper whose stop has not begun.
func NewStopper(lag, grace time.Duration) *Stopper {
	ended, signal := context.WithCancel(context.Background()) //nolint:gosec // Begin calls it later.

	return &Stopper{Lag: lag, Grace: grace, ended: ended, signal: signal}
}

// Begin begins the stop, once.
func (stopper *Stopper) Begin() {
	stopper.mutex.Lock()
	defer stopper.mutex.Unlock()

	if !stopper.begunAt.IsZero() {
		return
	}

	stopper.begunAt = time.Now()
	time.AfterFunc(stopper.Grace-exitMargin-answerMargin, stopper.signal)
}

// HasBegun reports whether the process is stopping.
func (stopper *Stopper) HasBegun() bool {
	return !stopper.beginning().IsZero()
}

// ExitAt returns when the last requests must have been answered. It is only valid during the stop.
func (stopper *Stopper) ExitAt() time.Time {
	return stopper.beginning().Add(stopper.Grace - exitMargin)
}

// TimeLeft returns how long a request that arrives now may run, and false before the stop.
func (stopper *Stopper) TimeLeft() (time.Duration, bool) {
	beginning := stopper.beginning()
	if beginning.IsZero() {
		return 0, false
	}

	return time.Until(beginning.Add(stopper.Grace - exitMargin - answerMargin)), true
}

// IsLagOver reports whether load balancers have noticed the stop.
func (stopper *Stopper) IsLagOver() bool {
	beginning := stopper.beginning()

	return !beginning.IsZero() && time.Since(beginning) > stopper.Lag
}

// Context returns a context that also ends with the time for running requests, with the cause
// ErrStopped. The function releases it.
func (stopper *Stopper) Context(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(stopper.ended, func() { cancel(ErrStopped) })

	return ctx, func() {
		stop()
		cancel(nil)
	}
}

func (stopper *Stopper) beginning() time.Time {
	stopper.mutex.Lock()
	defer stopper.mutex.Unlock()

	return stopper.begunAt
}
