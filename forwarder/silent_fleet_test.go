package forwarder_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
	"limpetrail/forwarder"
	"limpetrail/kernel"
	"limpetrail/matcher"
	"limpetrail/placer"
)

// checkHealth asks suspect servers as gateways do.
func (fleet *fleet) checkHealth(ctx context.Context) {
	for kernel.Pause(ctx, 400*time.Millisecond) {
		fleet.placer.CheckSuspects(ctx, func(ctx context.Context, server placer.Server) bool {
			ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
			defer cancel()

			_, err := fleet.backend.ReportStart(ctx, server)

			return err == nil
		})
	}
}

// startSilent starts servers that can be silent as a whole, and returns their listeners.
func (fleet *fleet) startSilent(count, events int) []emulator.SilentListener {
	listeners, list := []emulator.SilentListener{}, []placer.Server{}

	for index := range count {
		server := emulator.NewEventServer(fmt.Sprint("silent-", index), emulator.DefaultEventHeaders())
		server.EventCount = events
		httpServer := &http.Server{Handler: server, ReadHeaderTimeout: time.Minute}
		listener := emulator.NewSilentListener(fleet.network.Listen(server.ID))

		go func() { _ = httpServer.Serve(listener) }()

		fleet.httpServers = append(fleet.httpServers, httpServer)
		listeners = append(listeners, listener)
		list = append(list, placer.Server{ID: server.ID, Address: server.ID, Service: serviceName, Places: server.Places})
	}

	fleet.placer.UpdateServers(list)

	return listeners
}

// silentMidway plays calls, one each 100 ms a server, beside a silence of all servers. It returns the
// results that are neither an answer nor a refusal with the time of a retry.
func (fleet *fleet) silentMidway(listeners []emulator.SilentListener, kind matcher.Kind, silence time.Duration) []forwarder.Result {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	go fleet.checkHealth(ctx)

	time.AfterFunc(time.Second, func() {
		for _, listener := range listeners {
			listener.Silence(silence)
		}
	})

	calls, mutex, unexpected := sync.WaitGroup{}, sync.Mutex{}, []forwarder.Result{}

	for range 60 * len(listeners) {
		time.Sleep(100 * time.Millisecond / time.Duration(len(listeners)))
		calls.Go(func() {
			result, _, _ := fleet.forward(ctx, route(kind, kind == matcher.Stream, 3))
			if result.Outcome == forwarder.Answered || result.Outcome == forwarder.Refused && result.RetryAfter > 0 {
				return
			}

			mutex.Lock()
			defer mutex.Unlock()

			unexpected = append(unexpected, result)
		})
	}

	calls.Wait()

	return unexpected
}

// All servers of a service are silent at once, and go on. Running answers were cut, or ended with 502.
func TestSilenceOfAllServersEndsAnswers(t *testing.T) {
	for kind, events := range map[matcher.Kind]int{matcher.Stream: 20, matcher.Idempotent: 0, matcher.AtMostOnce: 0} {
		for _, count := range []int{1, 2, 3} {
			for _, silence := range []time.Duration{time.Second, 1500 * time.Millisecond} {
				t.Run(fmt.Sprint(kind, ", ", count, ", ", silence), func(t *testing.T) {
					unexpected := []forwarder.Result{}

					withFleet(t, 0, func(fleet *fleet) {
						unexpected = fleet.silentMidway(fleet.startSilent(count, events), kind, silence)
					})

					require.Empty(t, unexpected)
				})
			}
		}
	}
}

// A sound server is silent after the head of a stream, also when it is asked for its start, and ends
// later. The stream was cut, and could not be taken up, for its version counted as unknown.
func TestSilenceAfterTheHeadKeepsAStreamFromGoingOn(t *testing.T) {
	for _, silence := range []time.Duration{0, 300 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
		t.Run(silence.String(), func(t *testing.T) {
			result := forwarder.Result{}

			withFleet(t, 2, func(fleet *fleet) {
				first, headers := emulator.NewEventServer("first", emulator.DefaultEventHeaders()), emulator.DefaultEventHeaders()
				first.Crash = func() { fleet.network.Crash("first", serverDowntime) }
				first.SetFaults(emulator.EventFaults{BreakAfter: 15, EndProcess: true})

				listener, goesOnAt := fleet.network.Listen("first"), time.Now().Add(silence)
				httpServer := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
					if request.Method == http.MethodPost {
						writer.Header().Set(headers.RequestID, request.Header.Get(headers.RequestID))
						writer.Header().Set(headers.Stamp, "first")
						writer.Header().Set("Content-Type", "text/event-stream")
						_ = http.NewResponseController(writer).Flush()
					}

					time.Sleep(time.Until(goesOnAt))
					first.ServeHTTP(writer, request)
				})}

				go func() { _ = httpServer.Serve(listener) }()

				defer httpServer.Close()

				list := fleet.listed("v1", "v1")
				began := list[0]
				began.ID, began.Address = "first", "first"
				first.SetStart("v1", 0)

				// The other servers are listed once the stream has begun.
				entry := fleet.newEntry(newHolders().newResumer(), []placer.Server{began})
				time.AfterFunc(silence+150*time.Millisecond, func() { entry.placer.UpdateServers(append(list, began)) })

				result = entry.Forward(context.Background(), fleet.newCall(streamRoute(), "", -1), &recordedAnswer{})
			})

			require.Equal(t, forwarder.Answered.String(), result.Outcome.String(), result.Reason)
		})
	}
}
