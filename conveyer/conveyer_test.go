package conveyer_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/batcher"
	"limpetrail/bookkeeper"
	"limpetrail/conveyer"
	"limpetrail/emulator"
	"limpetrail/kernel"
)

const successor = "gateway-2#1"

func newHandover() batcher.Handover {
	return batcher.Handover{
		Job:      bookkeeper.Job{ID: "job", Host: "host", Items: []bookkeeper.Item{{ID: "a", Target: "/x", Body: []byte("body")}, {ID: "b", Target: "/x"}}},
		Head:     bookkeeper.VersionedHead{Head: bookkeeper.Head{Owner: "gateway-1#1", Total: 2}, Revision: 7},
		From:     "gateway-1#1",
		Partials: map[string]bookkeeper.Partial{"a": {Events: 3, After: 2, Output: "x\ny\nz"}},
		Finished: []bookkeeper.Result{{ID: "b", State: bookkeeper.Completed, Output: "whole"}},
	}
}

// startServer starts a server that passes handovers to accept. It returns its address.
func startServer(t *testing.T, accept func(batcher.Handover) bool) string {
	t.Helper()

	mux := http.NewServeMux()
	mux.Handle("POST "+conveyer.Path, conveyer.NewServer(kernel.NewDiscardCommon("gateway-2"), accept))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)

	return server.Listener.Addr().String()
}

// A handover is received unchanged, and HandOver returns whether it was accepted.
func TestHandoverIsReceived(t *testing.T) {
	for name, accepted := range map[string]bool{"accepted": true, "not accepted": false} {
		t.Run(name, func(t *testing.T) {
			var received batcher.Handover

			address := startServer(t, func(handover batcher.Handover) bool {
				received = handover

				return accepted
			})
			sender := conveyer.NewConveyer(kernel.NewDiscardCommon("gateway-1"), http.DefaultClient)
			sender.SetMembers(map[string]string{successor: address})

			require.Equal(t, accepted, sender.HandOver(t.Context(), successor, newHandover()))
			require.Equal(t, newHandover(), received)
		})
	}
}

// A process that answered 200 before it had received a handover, and reset the connection, counted as
// its new owner.
func TestHandoverAnsweredBeforeItWasReceived(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })

	go emulator.EarlyServer{Answer: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Delay: 50 * time.Millisecond}.Serve(listener)

	sender := conveyer.NewConveyer(kernel.NewDiscardCommon("gateway-1"), http.DefaultClient)
	sender.SetMembers(map[string]string{successor: listener.Addr().String()})

	// The system's buffers do not hold the handover.
	long := newHandover()
	long.Job.Items[0].Body = make([]byte, 16_000_000)
	require.False(t, sender.HandOver(t.Context(), successor, long))
}

// HandOver returns false if the process is not registered, refuses connections or does
// not answer in time.
func TestHandoverToUnavailableProcess(t *testing.T) {
	release := make(chan struct{})
	unresponsive := startServer(t, func(batcher.Handover) bool {
		<-release

		return true
	})

	t.Cleanup(func() { close(release) })

	for name, addresses := range map[string]map[string]string{
		"not registered": {}, "refuses connections": {successor: "127.0.0.1:1"}, "does not answer": {successor: unresponsive},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()

			sender := conveyer.NewConveyer(kernel.NewDiscardCommon("gateway-1"), http.DefaultClient)
			sender.SetMembers(addresses)
			require.False(t, sender.HandOver(ctx, successor, newHandover()))
		})
	}
}

// A malformed handover is answered with status 400 and starts no job.
func TestMalformedHandovers(t *testing.T) {
	address := startServer(t, func(batcher.Handover) bool {
		require.Fail(t, "a malformed handover was accepted")

		return true
	})

	for name, body := range map[string]string{
		"empty body":         "",
		"not JSON":           "\x00\xff",
		"job of wrong type":  `{"Job":7}`,
		"no job":             `{}`,
		"item without an ID": `{"Job":{"ID":"job","Items":[{"Target":"/x"}]}}`,
		"duplicate item":     `{"Job":{"ID":"job","Items":[{"ID":"a","Target":"/x"},{"ID":"a","Target":"/x"}]}}`,
		"result of no item":  `{"Job":{"ID":"job","Items":[{"ID":"a","Target":"/x"}]},"Finished":[{"ID":"b"}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+conveyer.Path, strings.NewReader(body))
			require.NoError(t, err)

			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, http.StatusBadRequest, response.StatusCode)
		})
	}
}
