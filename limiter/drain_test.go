package limiter_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/kernel"
	"limpetrail/limiter"
	"limpetrail/matcher"
)

// startServer serves the handler and returns the limiter and the listener.
func startServer(t *testing.T, handler http.HandlerFunc) (*limiter.Limiter, net.Listener) {
	t.Helper()

	common := kernel.NewDiscardCommon("gateway")
	limits := limiter.NewLimiter(common, matcher.NewCurrentDocument(common))
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)

	go func() { _ = limits.NewServer(handler).Serve(limits.WrapListener(listener)) }()

	return limits, listener
}

func dial(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()

	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
	t.Cleanup(func() { conn.Close() })

	return conn
}

// A request that arrived whole after the stop had closed the listener was dropped without an answer.
func TestRequestsReadDuringADrainAreDropped(t *testing.T) {
	limits, listener := startServer(t, func(http.ResponseWriter, *http.Request) {})
	conns := []net.Conn{dial(t, listener), dial(t, listener), dial(t, listener)}

	// The last one shows by its answer that the others were accepted.
	for number, text := range []string{"", "GET / HTTP/1.1\r\nHo", "GET / HTTP/1.1\r\nHost: host\r\n\r\n"} {
		_, err := io.WriteString(conns[number], text)
		require.NoError(t, err)
	}

	requireAnswer(t, conns[2])
	require.NoError(t, listener.Close())

	drained := make(chan error)

	go func() { drained <- limits.Drain(t.Context()) }()

	// The connection that is idle after a request is closed.
	_, err := conns[2].Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)

	for number, text := range []string{"GET / HTTP/1.1\r\nHost: host\r\n\r\n", "st: host\r\n\r\n"} {
		_, err = io.WriteString(conns[number], text)
		require.NoError(t, err)
		requireAnswer(t, conns[number])
	}

	require.NoError(t, <-drained)
}

func requireAnswer(t *testing.T, conn net.Conn) {
	t.Helper()

	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	response.Body.Close()
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// A stop closed connections on which a request had just been read, and the request ran.
func TestRequestsOnConnectionsThatADrainClosesRun(t *testing.T) {
	const callers = 100

	for range 10 {
		started, lost, leaving := sync.Map{}, sync.Map{}, atomic.Bool{}
		limits, listener := startServer(t, func(writer http.ResponseWriter, request *http.Request) {
			started.Store(request.URL.Path, true)

			if leaving.Load() {
				writer.Header().Set("Connection", "close")
			}
		})
		answered, calling := sync.WaitGroup{}, sync.WaitGroup{}

		for caller := range callers {
			conn := dial(t, listener)

			answered.Add(1)
			calling.Go(func() { requestUntilClosed(conn, caller, answered.Done, &lost) })
		}

		answered.Wait()
		require.NoError(t, listener.Close())
		leaving.Store(true)
		require.NoError(t, limits.Drain(t.Context()))
		calling.Wait()

		lost.Range(func(path, _ any) bool {
			require.NotContains(t, keysOf(&started), path)

			return true
		})
	}
}

// requestUntilClosed sends requests on a connection until it is closed. It stores the path of one that
// was not answered.
func requestUntilClosed(conn net.Conn, caller int, answered func(), lost *sync.Map) {
	reader := bufio.NewReader(conn)

	for number := 0; ; number++ {
		path := fmt.Sprintf("/%d/%d", caller, number)
		_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: host\r\n\r\n", path)

		response, err := http.ReadResponse(reader, nil)
		if number == 0 {
			answered()
		}

		if err != nil {
			lost.Store(path, true)

			return
		}

		response.Body.Close()

		if response.Close {
			return
		}
	}
}

func keysOf(entries *sync.Map) map[any]bool {
	keys := map[any]bool{}

	entries.Range(func(key, _ any) bool {
		keys[key] = true

		return true
	})

	return keys
}
