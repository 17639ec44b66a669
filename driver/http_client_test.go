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

// countingService counts the requests whose body it has read to the end.
type countingService struct {
	received int
	answer   func(writer http.ResponseWriter, received int)
}

func (service *countingService) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	service.received++
	service.answer(writer, service.received)
}

func writeAnswer(writer http.ResponseWriter, _ int) {
	_, _ = io.WriteString(writer, "done")
}

func abortConnection(http.ResponseWriter, int) {
	panic(http.ErrAbortHandler)
}

// serve serves a service on the network and returns a client of it.
func serve(network *emulator.Network, backend http.Handler) (*driver.HTTPService, func()) {
	server := &http.Server{Handler: backend, ReadHeaderTimeout: time.Second}
	listener := network.Listen("backend:1")

	go func() { _ = server.Serve(listener) }()

	service := driver.NewHTTPService("backend:1")
	service.Client.Transport.(*http.Transport).DialContext = network.DialContext

	return service, func() {
		network.Close()
		server.Close()
		time.Sleep(time.Minute)
	}
}

func TestServiceReceivesEachCallOnce(t *testing.T) {
	tests := []struct {
		name string
		// before is the number of successful calls before the tested one.
		before int
		// between runs after those and before the tested call.
		between  func(network *emulator.Network)
		answer   func(writer http.ResponseWriter, received int)
		body     string
		answered bool
		// unreached means that no connection could be opened.
		unreached bool
		received  int
	}{
		{name: "connection closed after reading the call", answer: abortConnection, body: "order", received: 1},
		{name: "connection closed after reading a call without a body", answer: abortConnection, received: 1},
		{
			name: "second call's connection closed after reading the call", before: 1, body: "order", received: 2,
			answer: func(writer http.ResponseWriter, received int) {
				if received > 1 {
					panic(http.ErrAbortHandler)
				}

				writeAnswer(writer, received)
			},
		},
		{
			name: "idle connection breaks", before: 1, answer: writeAnswer, body: "order", answered: true, received: 2,
			between: func(network *emulator.Network) { network.CloseConnections("backend:1") },
		},
		{
			name: "idle connection goes silent", before: 1, answer: writeAnswer, body: "order", answered: true, received: 2,
			between: func(network *emulator.Network) { network.DropTraffic(true, true) },
		},
		{
			name: "redirection that keeps the method", body: "order", answered: true, received: 1,
			answer: func(writer http.ResponseWriter, _ int) {
				writer.Header().Set("Location", "/elsewhere")
				writer.WriteHeader(http.StatusTemporaryRedirect)
			},
		},
		{
			name: "redirection that changes the method", body: "order", answered: true, received: 1,
			answer: func(writer http.ResponseWriter, _ int) {
				writer.Header().Set("Location", "/elsewhere")
				writer.WriteHeader(http.StatusSeeOther)
			},
		},
		{
			name: "answer with status 503", body: "order", answered: true, received: 1,
			answer: func(writer http.ResponseWriter, _ int) {
				writer.Header().Set("Retry-After", "0")
				writer.WriteHeader(http.StatusServiceUnavailable)
			},
		},
		{
			name: "no listener", answer: writeAnswer, body: "order", unreached: true,
			between: func(network *emulator.Network) { network.Listen("backend:1").Close() },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := emulator.NewNetwork()
				backend := &countingService{answer: test.answer}

				service, stop := serve(network, backend)
				defer stop()

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
				require.Equal(t, test.received, backend.received)
			})
		})
	}
}

func TestPathCannotChangeHost(t *testing.T) {
	service := driver.NewHTTPService("127.0.0.1:1")
	_, err := service.Call(t.Context(), driver.ServiceCall{Path: "@127.0.0.1:2/orders", Body: []byte(strings.Repeat("x", 3))})

	require.ErrorIs(t, err, errors.NotProvisioned)
	require.ErrorContains(t, err, "slash")
}

// An answer without a length or chunks ends with its connection. It is complete if the
// service goes on, and not if its process ended.
func TestAnswerWithoutLengthIsCompleteOnlyIfItsServiceGoesOn(t *testing.T) {
	for name, ends := range map[string]bool{"the service goes on": false, "the service ends": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := emulator.NewNetwork()
				backend := &countingService{answer: func(writer http.ResponseWriter, _ int) {
					writer.Header().Set("Transfer-Encoding", "identity")
					writeAnswer(writer, 0)

					_ = http.NewResponseController(writer).Flush()

					if ends {
						network.Crash("backend:1", time.Minute)
					}
				}}
				service, stop := serve(network, backend)
				defer stop()

				answer, err := service.Call(t.Context(), driver.ServiceCall{RequestID: "order-1", Path: "/orders", Body: []byte("order")})
				require.Equal(t, ends, err != nil, "%v", err)
				require.False(t, errors.Is(err, errors.NotProvisioned))

				if !ends {
					require.Equal(t, "done", string(answer.Body))
				}
			})
		})
	}
}

// A service stops within the head of its answer, or right after it, and closes. Nothing of that is
// a complete answer.
func TestServiceAnswerCutInItsHeadIsComplete(t *testing.T) {
	for name, head := range map[string]string{
		"chunked":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/plain\r\n\r\n",
		"with a length":    "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nContent-Type: text/plain\r\n\r\n",
		"without a length": "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/plain\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := emulator.NewNetwork()
				cut := 0

				service, stop := serve(network, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
					_, _ = io.Copy(io.Discard, request.Body)

					connection, _, err := http.NewResponseController(writer).Hijack()
					if err != nil {
						panic(err)
					}

					_, _ = io.WriteString(connection, head[:cut])
					connection.Close()
				}))
				defer stop()

				for cut = range len(head) + 1 {
					_, err := service.Call(context.Background(), driver.ServiceCall{Path: "/", ContentType: "text/plain"})
					require.Error(t, err, "after %q", head[:cut])
				}
			})
		})
	}
}
