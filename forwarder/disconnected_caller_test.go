package forwarder_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"limpetrail/forwarder"
	"limpetrail/matcher"
)

// closedSink belongs to a caller whose connection takes no data.
type closedSink struct{ recordedAnswer }

func (*closedSink) Write([]byte) error { return errors.New("broken pipe") }

// A caller whose connection no longer took data counted as a server that had broken off: the stream was
// sent again, and servers became suspect.
func TestDisconnectedCallerIsNoFailureOfTheServer(t *testing.T) {
	withFleet(t, 3, func(fleet *fleet) {
		route := route(matcher.Stream, true, 3)
		call := &forwarder.Call{
			ID: "call", Method: http.MethodPost, Target: "/", Host: "host", Header: http.Header{}, Body: []byte("body"),
			Route: route, Service: serviceName, Deadline: time.Now().Add(route.Timeout), LastEventID: -1,
		}

		result := fleet.forwarder.Forward(context.Background(), call, &closedSink{})
		require.Equal(t, forwarder.Cancelled, result.Outcome, result.Reason)
		require.Equal(t, 1, result.Attempts)
		require.Empty(t, fleet.placer.SuspectServers())
	})
}
