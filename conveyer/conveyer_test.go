package conveyer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/batcher"
	"limpetrail/bookkeeper"
	"limpetrail/conveyer"
	"limpetrail/kernel"
)

const process = "gateway-2#1"

func handover() batcher.Handover {
	return batcher.Handover{
		Job:      bookkeeper.Job{ID: "job", Host: "host", Items: []bookkeeper.Item{{ID: "a", Target: "/x", Body: []byte("body")}, {ID: "b", Target: "/x"}}},
		Head:     bookkeeper.Version{Head: bookkeeper.Head{Owner: "gateway-1#1", Total: 2}, Revision: 7},
		From:     "gateway-1#1",
		Partials: map[string]bookkeeper.Partial{"a": {Events: 3, After: 2, Output: "x\ny\nz"}},
		Finished: []bookkeeper.Result{{ID: "b", State: bookkeeper.Completed, Output: "whole"}},
	}
}

// serve lets a process take jobs as adopt says.
func serve(t *testing.T, adopt func(batcher.Handover) bool) string {
	t.Helper()

	mux := http.NewServeMux()
	mux.Handle("POST "+conveyer.Path, conveyer.NewServer(kernel.Discard("gateway-2"), adopt))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)

	return server.Listener.Addr().String()
}

// A job arrives as it was sent, and the answer says whether it was taken.
func TestJobIsConveyed(t *testing.T) {
	for name, taken := range map[string]bool{"taken": true, "not taken": false} {
		t.Run(name, func(t *testing.T) {
			var arrived batcher.Handover

			address := serve(t, func(handover batcher.Handover) bool {
				arrived = handover

				return taken
			})
			made := conveyer.NewConveyer(kernel.Discard("gateway-1"), http.DefaultClient)
			made.SetMembers(map[string]string{process: address})

			require.Equal(t, taken, made.HandOver(t.Context(), process, handover()))
			require.Equal(t, handover(), arrived)
		})
	}
}

// A process that is not known, is gone or is silent takes nothing.
func TestProcessesThatTakeNothing(t *testing.T) {
	hang := make(chan struct{})
	silent := serve(t, func(batcher.Handover) bool {
		<-hang

		return true
	})

	t.Cleanup(func() { close(hang) })

	for name, addresses := range map[string]map[string]string{
		"unknown": {}, "gone": {process: "127.0.0.1:1"}, "silent": {process: silent},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()

			made := conveyer.NewConveyer(kernel.Discard("gateway-1"), http.DefaultClient)
			made.SetMembers(addresses)
			require.False(t, made.HandOver(ctx, process, handover()))
		})
	}
}

// Bodies that are no handover are answered, and nothing is taken for them.
func TestMalformedHandovers(t *testing.T) {
	address := serve(t, func(batcher.Handover) bool {
		require.Fail(t, "it was taken")

		return true
	})

	for name, body := range map[string]string{
		"nothing":            "",
		"no text":            "\x00\xff",
		"another type":       `{"Job":7}`,
		"no job":             `{}`,
		"item without an ID": `{"Job":{"ID":"job","Items":[{"Target":"/x"}]}}`,
		"two of one item":    `{"Job":{"ID":"job","Items":[{"ID":"a","Target":"/x"},{"ID":"a","Target":"/x"}]}}`,
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
