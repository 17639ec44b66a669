package forwarder_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
	"limpetrail/forwarder"
	"limpetrail/matcher"
	"limpetrail/placer"
)

// Hundreds of answers that nobody reads held 128 KB each beside the budget for requests. An answer that gets
// no memory must still be passed on whole, and a short one must ask for none.
func TestAnswersAreWholeWithoutABuffer(t *testing.T) {
	for _, size := range []int{0, 10_000, 16 << 10, 16<<10 + 1, 100_000, 128 << 10, 300_000} {
		for _, granted := range []int64{0, 16 << 10, 1 << 20} {
			withFleet(t, 1, func(fleet *fleet) {
				listener := fleet.network.Listen("long")
				server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
					headers := emulator.DefaultEventHeaders()
					writer.Header().Set(headers.RequestID, request.Header.Get(headers.RequestID))
					writer.Header().Set("Content-Type", "application/json")
					_, _ = writer.Write([]byte(strings.Repeat("x", size)))
				})}
				fleet.httpServers = append(fleet.httpServers, server)

				go func() { _ = server.Serve(listener) }()

				fleet.placer.UpdateServers([]placer.Server{{ID: "long", Address: "long", Service: serviceName, Places: 1}})

				route, reserved := route(matcher.Stream, false, 1), int64(0)
				answer := &recordedAnswer{}
				result := fleet.forwarder.Forward(context.Background(), &forwarder.Call{
					ID: "call", Method: http.MethodPost, Target: "/", Host: "host", Header: http.Header{}, Body: []byte("body"),
					Route: route, Service: serviceName, Deadline: time.Now().Add(route.Timeout), LastEventID: -1,
					Buffer: func(bytes int64) bool {
						reserved += bytes

						return reserved <= granted
					},
				}, answer)

				require.Equal(t, forwarder.Answered, result.Outcome, result.Reason)
				require.Equal(t, size, answer.body.Len())
				require.Equal(t, size >= 16<<10, reserved > 0, "a short answer needs no reservation")
			})
		}
	}
}
