package forwarder_test

import (
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
	"limpetrail/matcher"
)

// An answer of more than maxBufferedBytes that was read whole closed its connection.
func TestLongAnswersCloseTheirConnections(t *testing.T) {
	dials := 0

	withFleet(t, 1, func(fleet *fleet) {
		fleet.setFaults(emulator.EventFaults{Padding: strings.Repeat("x", 10<<10)})

		for range 3 {
			fleet.forward(context.Background(), route(matcher.Idempotent, false, 1))
		}

		dials = fleet.network.DialCount("server-1")
	})

	require.Equal(t, 1, dials)
}
