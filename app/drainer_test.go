package app

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A request that arrived whole after the stop had closed the listener was dropped without an answer.
func TestRequestsReadDuringADrainAreDropped(t *testing.T) {
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	drainer := newDrainer(server)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)

	go func() { _ = server.Serve(listener) }()

	dial := func() net.Conn {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
		require.NoError(t, err)
		require.NoError(t, conn.SetDeadline(time.Now().Add(time.Minute)))

		return conn
	}
	conns := []net.Conn{dial(), dial()}

	// The second one has sent a part of its request before.
	_, err = io.WriteString(conns[1], "GET / HTTP/1.1\r\nHo")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return drainer.open.Load() == 2 }, time.Minute, time.Millisecond)

	drained := make(chan error)

	go func() { drained <- drainer.drain(t.Context(), listener) }()

	require.Eventually(t, func() bool {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
		if err == nil {
			conn.Close()
		}

		return err != nil
	}, time.Minute, time.Millisecond)

	for number, text := range []string{"GET / HTTP/1.1\r\nHost: host\r\n\r\n", "st: host\r\n\r\n"} {
		_, err = io.WriteString(conns[number], text)
		require.NoError(t, err)

		answer, err := bufio.NewReader(conns[number]).ReadString('\n')
		require.NoError(t, err, "connection %d", number)
		require.Equal(t, "HTTP/1.1 200 OK\r\n", answer)
	}

	require.NoError(t, <-drained)
}
