package app

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// Paths of the health pages.
const (
	// PathHealth tells whether the process works.
	PathHealth = "/healthz"
	// PathReady tells whether the balancer should send requests.
	PathReady = "/readyz"
)

// Departure is a planned stop that cuts no request off. First the readiness
// page says so and every response asks for its connection to be closed. The
// listener stays open while the balancer still sends, and so do connections
// that are idle, since a request may be on its way on them. Then what runs
// finishes.
type Departure struct {
	// BalancerLag is how long the balancer goes on sending.
	BalancerLag time.Duration

	leaving atomic.Bool
}

// NewDeparture returns a departure that has not begun.
func NewDeparture(balancerLag time.Duration) *Departure {
	return &Departure{BalancerLag: balancerLag}
}

// Wrap adds the health pages to the handler, and the farewell to its responses.
func (departure *Departure) Wrap(handler http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHealth, func(writer http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(writer, departure.word("working"))
	})
	mux.HandleFunc("GET "+PathReady, func(writer http.ResponseWriter, _ *http.Request) {
		if departure.leaving.Load() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}

		fmt.Fprintln(writer, departure.word("ready"))
	})
	mux.Handle("/", handler)

	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if departure.leaving.Load() {
			writer.Header().Set("Connection", "close")
		}

		mux.ServeHTTP(writer, request)
	})
}

func (departure *Departure) word(otherwise string) string {
	if departure.leaving.Load() {
		return "leaving"
	}

	return otherwise
}

// Stop takes the server through the departure. It returns when every request
// has ended and every connection is closed.
func (departure *Departure) Stop(ctx context.Context, server *http.Server) error {
	departure.leaving.Store(true)

	select {
	case <-time.After(departure.BalancerLag):
	case <-ctx.Done():
	}

	return errors.Trace(server.Shutdown(ctx))
}
