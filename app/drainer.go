package app

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"limpetrail/kernel"
)

// drainInterval is how often idle connections are closed while others still serve a request.
const drainInterval = 50 * time.Millisecond

// drainer closes a server without losing requests. Shutdown of http.Server drops requests that it
// reads after it was called, without an answer; those are still served here.
type drainer struct {
	server *http.Server
	// open is the number of open connections.
	open atomic.Int64
}

// newDrainer returns a drainer of a server that does not serve yet.
func newDrainer(server *http.Server) *drainer {
	drainer := &drainer{server: server}
	onStateChange := server.ConnState

	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if onStateChange != nil {
			onStateChange(conn, state)
		}

		switch state {
		case http.StateNew:
			drainer.open.Add(1)
		case http.StateClosed, http.StateHijacked:
			drainer.open.Add(-1)
		case http.StateActive, http.StateIdle:
		}
	}

	return drainer
}

// drain closes the listener, then each connection once it is idle. It returns an error if the context
// ends first.
func (drainer *drainer) drain(ctx context.Context, listener net.Listener) error {
	if err := listener.Close(); err != nil {
		return errors.Trace(err)
	}

	for {
		// This closes idle connections, and those that have not begun a request for some seconds.
		drainer.server.SetKeepAlivesEnabled(false)

		if drainer.open.Load() == 0 {
			return nil
		}

		if !kernel.Pause(ctx, drainInterval) {
			return errors.Trace(ctx.Err())
		}
	}
}
