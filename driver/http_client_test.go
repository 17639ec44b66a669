package driver_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"limpetrail/driver"
	"limpetrail/emulator"
)

// countingService counts the requests it read to their end.
type countingService struct {
	seen   int
	answer func(writer http.ResponseWriter, seen int)
}

func (service *countingService) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	service.seen++
	service.answer(writer, service.seen)
}

func whole(writer http.ResponseWriter, _ int) {
	_, _ = io.WriteString(writer, "done")
}

func abort(http.ResponseWriter, int) {
	panic(http.ErrAbortHandler)
}

func TestServiceSeesEachCallOnce(t *testing.T) {
	tests := []struct {
		name string
		// before is the number of calls that are answered well first.
		before int
		// between acts after those.
		between  func(network *emulator.Network)
		answer   func(writer http.ResponseWriter, seen int)
		body     string
		answered bool
		// unreached means that no connection could be made.
		unreached bool
		seen      int
	}{
		{name: "connection closed after the call was read", answer: abort, body: "order", seen: 1},
		{name: "the same with an empty body", answer: abort, seen: 1},
		{
			name: "used connection closed after the call was read", before: 1, body: "order", seen: 2,
			answer: func(writer http.ResponseWriter, seen int) {
				if seen > 1 {
					panic(http.ErrAbortHandler)
				}

				whole(writer, seen)
			},
		},
		{
			name: "idle connection dies", before: 1, answer: whole, body: "order", answered: true, seen: 2,
			between: func(network *emulator.Network) { network.Break("backend:1") },
		},
		{
			name: "idle connection goes silent", before: 1, answer: whole, body: "order", answered: true, seen: 2,
			between: func(network *emulator.Network) { network.Silence(true, true) },
		},
		{
			name: "redirection that keeps the method", body: "order", answered: true, seen: 1,
			answer: func(writer http.ResponseWriter, _ int) {
				writer.Header().Set("Location", "/elsewhere")
				writer.WriteHeader(http.StatusTemporaryRedirect)
			},
		},
		{
			name: "redirection that changes the method", body: "order", answered: true, seen: 1,
			answer: func(writer http.ResponseWriter, _ int) {
				writer.Header().Set("Location", "/elsewhere")
				writer.WriteHeader(http.StatusSeeOther)
			},
		},
		{
			name: "answer of unavailable", body: "order", answered: true, seen: 1,
			answer: func(writer http.ResponseWriter, _ int) {
				writer.Header().Set("Retry-After", "0")
				writer.WriteHeader(http.StatusServiceUnavailable)
			},
		},
		{
			name: "nobody listens", answer: whole, body: "order", unreached: true,
			between: func(network *emulator.Network) { network.Listen("backend:1").Close() },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := emulator.NewNetwork()
				backend := &countingService{answer: test.answer}
				server := &http.Server{Handler: backend, ReadHeaderTimeout: time.Second}

				listener := network.Listen("backend:1")

				go func() { _ = server.Serve(listener) }()

				defer time.Sleep(time.Minute)
				defer server.Close()
				defer network.Close()

				service := driver.NewHTTPService("backend:1")
				service.Client.Transport.(*http.Transport).DialContext = network.DialContext

				call := driver.ServiceCall{RequestID: "order-1", Path: "/orders", ContentType: "text/plain", Body: []byte(test.body)}
				for range test.before {
					_, err := service.Call(t.Context(), call)
					require.NoError(t, err)
				}

				synctest.Wait()

				if test.between != nil {
					test.between(network)
				}

				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()

				_, err := service.Call(ctx, call)
				require.Equal(t, test.answered, err == nil, "%v", err)
				require.Equal(t, test.unreached, errors.Is(err, errors.NotProvisioned))
				time.Sleep(time.Minute)
				require.Equal(t, test.seen, backend.seen)
			})
		})
	}
}

func TestPathCannotNameAnotherHost(t *testing.T) {
	service := driver.NewHTTPService("127.0.0.1:1")
	_, err := service.Call(t.Context(), driver.ServiceCall{Path: "@127.0.0.1:2/orders", Body: []byte(strings.Repeat("x", 3))})

	require.ErrorIs(t, err, errors.NotProvisioned)
	require.ErrorContains(t, err, "slash")
}
