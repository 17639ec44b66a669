package limiter_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/kernel"
	"limpetrail/limiter"
	"limpetrail/matcher"
)

const heldRequest = "GET / HTTP/1.1\r\nHost: host\r\nX-Held: 1\r\n\r\n"

// heldListener accepts connections of a process that stands still in a read until its limiter ends
// the connection.
type heldListener struct {
	net.Listener

	// heldRead is the number of the read that waits, if not that which reads the end of heldRequest.
	heldRead int
	// firstBytes is the most that the first read returns.
	firstBytes int
	// sent is closed once heldRequest was sent, ended once the limiter has ended a connection.
	sent, ended chan struct{}
}

// Accept implements net.Listener.
func (listener *heldListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // The server distinguishes errors by their types.
	}

	return &heldConn{TCPConn: conn.(*net.TCPConn), listener: listener}, nil
}

type heldConn struct {
	*net.TCPConn

	listener *heldListener
	reads    int
	once     sync.Once
}

// Read implements net.Conn.
func (conn *heldConn) Read(buffer []byte) (int, error) {
	conn.reads++
	if conn.reads == conn.listener.heldRead {
		conn.wait()
	}

	if conn.reads == 1 {
		buffer = buffer[:min(len(buffer), conn.listener.firstBytes)]
	}

	count, err := conn.TCPConn.Read(buffer)
	if conn.listener.heldRead == 0 && bytes.Contains(buffer[:count], []byte("X-Held")) {
		conn.wait()
	}

	return count, err //nolint:wrapcheck // The server distinguishes errors by their types.
}

// SetReadDeadline implements net.Conn. The deadlines of the server lie far away.
func (conn *heldConn) SetReadDeadline(deadline time.Time) error {
	if since := time.Since(deadline); since >= 0 && since < time.Hour {
		conn.once.Do(func() { close(conn.listener.ended) })
	}

	return conn.TCPConn.SetReadDeadline(deadline) //nolint:wrapcheck // As above.
}

// Close implements net.Conn.
func (conn *heldConn) Close() error {
	conn.once.Do(func() { close(conn.listener.ended) })

	return conn.TCPConn.Close() //nolint:wrapcheck // As above.
}

func (conn *heldConn) wait() {
	<-conn.listener.sent
	<-conn.listener.ended
}

// A request that had arrived whole was dropped, or refused with 408, as its connection was closed.
func TestRequestsThatArrivedWholeAreDropped(t *testing.T) {
	const limit = 20 * time.Millisecond

	for name, test := range map[string]struct {
		heldRead, firstBytes int
		idle, head           time.Duration
		drains               bool
	}{
		"idle, not read":            {heldRead: 1, firstBytes: 4096, idle: limit, head: time.Minute},
		"idle, just read":           {firstBytes: 4096, idle: limit, head: time.Minute},
		"rest of a head, not read":  {heldRead: 2, firstBytes: 10, idle: time.Minute, head: limit},
		"rest of a head, just read": {firstBytes: 10, idle: time.Minute, head: limit},
		"drained, just read":        {firstBytes: 4096, idle: time.Minute, head: time.Minute, drains: true},
	} {
		t.Run(name, func(t *testing.T) {
			common := kernel.NewDiscardCommon("gateway")
			configuration := matcher.NewCurrentDocument(common)
			configuration.Apply(matcher.NewDocument(1, nil, nil, matcher.Limits{IdleTimeout: test.idle, HeaderTimeout: test.head}))

			limits := limiter.NewLimiter(common, configuration)
			listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)

			held := &heldListener{Listener: listener, heldRead: test.heldRead, firstBytes: test.firstBytes, sent: make(chan struct{}), ended: make(chan struct{})}
			server := limits.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))

			go func() { _ = server.Serve(limits.WrapListener(held)) }()

			t.Cleanup(func() { require.NoError(t, server.Close()) })

			conn := dial(t, listener)

			if test.drains {
				_, err = io.WriteString(conn, smallRequest)
				require.NoError(t, err)
				requireAnswer(t, conn)
			}

			_, err = io.WriteString(conn, heldRequest)
			require.NoError(t, err)
			close(held.sent)

			if test.drains {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()

				go func() { _ = limits.Drain(ctx) }()
			}

			requireAnswer(t, conn)
		})
	}
}
