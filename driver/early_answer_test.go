package driver_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/driver"
	"limpetrail/emulator"
)

func serveEarly(t *testing.T, answer string) *driver.HTTPService {
	t.Helper()

	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })

	go emulator.EarlyServer{Answer: answer, Delay: 5 * time.Millisecond}.Serve(listener)

	return driver.NewHTTPService(listener.Addr().String())
}

// A service that answered a long call without a length, and reset the connection while the call was
// written, could look as if it had ended its answer.
func TestAnswerThatEndsWhileACallIsWritten(t *testing.T) {
	service := serveEarly(t, "HTTP/1.1 200 OK\r\n\r\npart of an answer")

	complete := 0

	for number := range 40 {
		_, err := service.Call(t.Context(), driver.ServiceCall{RequestID: fmt.Sprint(number), Path: "/", Body: make([]byte, 16_000_000)})
		if err == nil {
			complete++
		}
	}

	require.Zero(t, complete, "complete answers of 40")
}

// Statuses outside 200 to 599 were passed on to callers.
func TestInvalidStatusesOfServices(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		_, err := serveEarly(t, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 0\r\n\r\n").Call(t.Context(), driver.ServiceCall{Path: "/"})
		require.Error(t, err, status)
	}
}
