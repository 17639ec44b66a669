package limiter

import (
	"context"
	"time"

	"github.com/juju/errors"

	"limpetrail/kernel"
)

const (
	// drainInterval is how often idle connections are closed while others still serve a request.
	drainInterval = 50 * time.Millisecond
	// firstRequestTime is how long a new connection is kept open for its first request.
	firstRequestTime = 5 * time.Second
)

// Drain closes each connection once it is idle, and returns when none is open. The listener must be
// closed before. Requests that are read meanwhile are served, and one on a connection that was closed
// never runs. Shutdown of http.Server neither answers requests that it reads after it was called, nor
// always keeps one from running whose connection it closes. Drain returns an error if the context ends
// first.
func (limiter *Limiter) Drain(ctx context.Context) error {
	for {
		open := limiter.openConns()
		if len(open) == 0 {
			return nil
		}

		for _, conn := range open {
			conn.closeIfIdle(time.Now())
		}

		if !kernel.Pause(ctx, drainInterval) {
			return errors.Trace(ctx.Err())
		}
	}
}

func (limiter *Limiter) openConns() []*watchedConn {
	limiter.connsMutex.Lock()
	defer limiter.connsMutex.Unlock()

	open := make([]*watchedConn, 0, len(limiter.conns))
	for conn := range limiter.conns {
		open = append(open, conn)
	}

	return open
}

func (limiter *Limiter) addConn(conn *watchedConn) {
	limiter.connsMutex.Lock()
	defer limiter.connsMutex.Unlock()

	limiter.conns[conn] = true
}

func (limiter *Limiter) removeConn(conn *watchedConn) {
	limiter.connsMutex.Lock()
	defer limiter.connsMutex.Unlock()

	delete(limiter.conns, conn)
}
