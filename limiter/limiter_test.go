package limiter_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
	"limpetrail/kernel"
	"limpetrail/limiter"
	"limpetrail/matcher"
)

// configurationLag is how much longer than its timeout an idle connection stays open.
const configurationLag = 2 * time.Second

const smallRequest = "GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n"

// testServer is a server with limits on an in-memory network, and a connection to
// it.
type testServer struct {
	t             *testing.T
	network       *emulator.Network
	configuration *matcher.CurrentDocument
	revision      int64
	served        atomic.Int64
	conn          net.Conn
	reader        *bufio.Reader
}

// withServer runs the test against a new server in a synctest bubble.
func withServer(t *testing.T, limits matcher.Limits, test func(target *testServer)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		common := kernel.NewDiscardCommon("entry-1")
		target := &testServer{t: t, network: emulator.NewNetwork(), configuration: matcher.NewCurrentDocument(common)}
		target.applyLimits(limits)

		subject := limiter.NewLimiter(common, target.configuration)
		server := subject.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { target.served.Add(1) }))
		serveErrors := make(chan error)

		go func() { serveErrors <- server.Serve(subject.WrapListener(target.network.Listen("entry-1"))) }()

		synctest.Wait()
		target.dial()
		test(target)

		require.NoError(t, server.Close())
		target.network.Close()
		require.ErrorIs(t, <-serveErrors, http.ErrServerClosed)
	})
}

// applyLimits makes a configuration with the limits the current one.
func (server *testServer) applyLimits(limits matcher.Limits) {
	server.revision++
	server.configuration.Apply(matcher.NewDocument(server.revision, nil, nil, limits))
}

// dial opens a connection, which the other methods use from then on.
func (server *testServer) dial() {
	conn, err := server.network.DialContext(context.Background(), "tcp", "entry-1")
	require.NoError(server.t, err)

	server.conn, server.reader = conn, bufio.NewReader(conn)
}

// send writes a part of a request after a pause.
func (server *testServer) send(part string, pause time.Duration) {
	time.Sleep(pause)

	_, err := server.conn.Write([]byte(part))
	require.NoError(server.t, err)
}

// expectStatus reads an answer and checks its status.
func (server *testServer) expectStatus(status int) {
	require.NoError(server.t, server.conn.SetReadDeadline(time.Now().Add(time.Minute)))

	answer, err := http.ReadResponse(server.reader, nil)
	require.NoError(server.t, err)
	require.Equal(server.t, status, answer.StatusCode)

	_, err = io.Copy(io.Discard, answer.Body)
	require.NoError(server.t, err)
	require.NoError(server.t, answer.Body.Close())
}

// waitUntilClosed waits until the server closes the connection and returns how long
// that took.
func (server *testServer) waitUntilClosed() time.Duration {
	started := time.Now()

	// Setting a deadline fails if the connection is closed already.
	if err := server.conn.SetReadDeadline(started.Add(24 * time.Hour)); err != nil {
		require.ErrorIs(server.t, err, io.ErrClosedPipe)
	}

	_, err := server.reader.ReadByte()
	require.Error(server.t, err)
	require.NotErrorIs(server.t, err, os.ErrDeadlineExceeded)

	return time.Since(started)
}

func testLimits() matcher.Limits {
	return matcher.Limits{HeaderBytes: 2000, HeaderTimeout: 2 * time.Second, IdleTimeout: 10 * time.Second}
}

func TestSlowHeads(t *testing.T) {
	for name, test := range map[string]struct {
		pauses []time.Duration
		served bool
	}{
		"one part":                  {[]time.Duration{0}, true},
		"slow and within the limit": {[]time.Duration{0, 900 * time.Millisecond, 900 * time.Millisecond}, true},
		"counted from first byte":   {[]time.Duration{9 * time.Second, 1900 * time.Millisecond}, true},
		"over the limit":            {[]time.Duration{0, 1900 * time.Millisecond, 200 * time.Millisecond}, false},
	} {
		t.Run(name, func(t *testing.T) {
			withServer(t, testLimits(), func(server *testServer) {
				for index, pause := range test.pauses {
					if !test.served && index == len(test.pauses)-1 {
						break
					}

					from, to := index*len(smallRequest)/len(test.pauses), (index+1)*len(smallRequest)/len(test.pauses)
					server.send(smallRequest[from:to], pause)
				}

				if test.served {
					server.expectStatus(http.StatusOK)

					return
				}

				server.expectStatus(http.StatusRequestTimeout)
				server.waitUntilClosed()
				require.Zero(t, server.served.Load())
			})
		})
	}
}

// A request that was answered with 408 must not run, even if the rest of its head
// arrives later.
func TestExpiredHeadIsNeverServed(t *testing.T) {
	withServer(t, testLimits(), func(server *testServer) {
		server.send(smallRequest[:10], 0)
		time.Sleep(2100 * time.Millisecond)

		// The write may fail, since the server has closed the connection.
		_, _ = server.conn.Write([]byte(smallRequest[10:]))

		time.Sleep(time.Minute)
		require.Zero(t, server.served.Load())
	})
}

func TestIdleConnections(t *testing.T) {
	withServer(t, testLimits(), func(server *testServer) {
		for range 3 {
			// Each request arrives after four fifths of the idle timeout.
			server.send(smallRequest, 8*time.Second)
			server.expectStatus(http.StatusOK)
		}

		require.Equal(t, 10*time.Second+configurationLag, server.waitUntilClosed().Round(time.Millisecond))
	})
}

// New limits apply at once, also to connections that were opened before.
func TestLimitsChangeWhileConnectionsAreOpen(t *testing.T) {
	withServer(t, testLimits(), func(server *testServer) {
		server.send(smallRequest, 0)
		server.expectStatus(http.StatusOK)

		longer := testLimits()
		longer.IdleTimeout = 10 * time.Minute
		longer.HeaderBytes = 100_000
		server.applyLimits(longer)

		server.send(smallRequest, 8*time.Second)
		server.expectStatus(http.StatusOK)

		server.send(requestWithHead(90_000), 8*time.Minute)
		server.expectStatus(http.StatusOK)

		server.applyLimits(testLimits())
		server.send(requestWithHead(90_000), time.Second)
		server.expectStatus(http.StatusRequestHeaderFieldsTooLarge)
		server.waitUntilClosed()
	})
}

// An idle connection was closed at the limit of the configuration in which it had become idle.
func TestIdleConnectionsAreClosedAtAnOlderLimit(t *testing.T) {
	for name, test := range map[string]struct {
		before, after, changed, pause time.Duration
	}{
		"raised by less than a third":     {10 * time.Second, 13 * time.Second, 5 * time.Second, 10400 * time.Millisecond},
		"raised to three times the limit": {10 * time.Second, 30 * time.Second, 5 * time.Second, 24 * time.Second},
		"raised, known to callers first":  {10 * time.Second, 30 * time.Second, 11500 * time.Millisecond, 11 * time.Second},
		"lowered":                         {30 * time.Second, 10 * time.Second, 15 * time.Second, 24 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			limits := testLimits()
			limits.IdleTimeout = test.before

			withServer(t, limits, func(server *testServer) {
				server.send(smallRequest, 0)
				server.expectStatus(http.StatusOK)

				go func() {
					time.Sleep(test.changed)

					limits.IdleTimeout = test.after
					server.applyLimits(limits)
				}()

				server.send(smallRequest, test.pause)
				server.expectStatus(http.StatusOK)
				time.Sleep(max(0, test.changed-test.pause))
				synctest.Wait()
				require.Equal(t, test.after+configurationLag, server.waitUntilClosed().Round(time.Millisecond)+max(0, test.changed-test.pause))
			})
		})
	}
}

// requestWithHead returns a request with a head of about the given size.
func requestWithHead(bytes int) string {
	return fmt.Sprintf("GET /x HTTP/1.1\r\nHost: a.example\r\nX-Long: %s\r\n\r\n", strings.Repeat("x", bytes))
}

func TestLongHeads(t *testing.T) {
	for name, test := range map[string]struct {
		bytes, status int
	}{
		"within the limit":              {1900, http.StatusOK},
		"over the limit":                {2100, http.StatusRequestHeaderFieldsTooLarge},
		"over the limit of http.Server": {3 << 20, http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			withServer(t, testLimits(), func(server *testServer) {
				// The server does not read all of a head that is far too long.
				go func() { _, _ = server.conn.Write([]byte(requestWithHead(test.bytes))) }()

				server.expectStatus(test.status)
			})
		})
	}
}

func TestDefaultsWithoutAConfiguration(t *testing.T) {
	withServer(t, matcher.Limits{}, func(server *testServer) {
		server.send(requestWithHead(30_000), time.Minute)
		server.expectStatus(http.StatusOK)
		require.Equal(t, 2*time.Minute+configurationLag, server.waitUntilClosed().Round(time.Millisecond))
	})
}
