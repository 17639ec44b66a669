package app

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// Paths of the health endpoints.
const (
	// PathHealth answers while the process is running.
	PathHealth = "/healthz"
	// PathReady tells the load balancer whether to send requests.
	PathReady = "/readyz"
)

// GracefulStop stops an HTTP server without cutting off requests. First the
// readiness endpoint fails and every response carries "Connection: close". The
// listener and idle connections stay open for BalancerLag, as the load balancer
// may still be sending requests on them. Then running requests finish.
type GracefulStop struct {
	// BalancerLag is how long the load balancer keeps sending after readiness fails.
	BalancerLag time.Duration

	leaving atomic.Bool
}

// NewGracefulStop returns a stop that has not started.
func NewGracefulStop(balancerLag time.Duration) *GracefulStop {
	return &GracefulStop{BalancerLag: balancerLag}
}

// Wrap adds the health endpoints to the handler. During the stop, its responses ask
// callers to close their connections.
func (stop *GracefulStop) Wrap(handler http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHealth, func(writer http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(writer, stop.stateOr("working"))
	})
	mux.HandleFunc("GET "+PathReady, func(writer http.ResponseWriter, _ *http.Request) {
		if stop.leaving.Load() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}

		fmt.Fprintln(writer, stop.stateOr("ready"))
	})
	mux.Handle("/", handler)

	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if stop.leaving.Load() {
			writer.Header().Set("Connection", "close")
		}

		mux.ServeHTTP(writer, request)
	})
}

// stateOr returns "leaving" during the stop and the given state before.
func (stop *GracefulStop) stateOr(state string) string {
	if stop.leaving.Load() {
		return "leaving"
	}

	return state
}

// Stop performs the stop. It returns when every request has ended and every
// connection is closed, or when the context ends.
func (stop *GracefulStop) Stop(ctx context.Context, server *http.Server) error {
	stop.leaving.Store(true)

	select {
	case <-time.After(stop.BalancerLag):
	case <-ctx.Done():
	}

	return errors.Trace(server.Shutdown(ctx))
}
