package exchanger_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/exchanger"
	"limpetrail/kernel"
)

// serveConns calls answer with each connection, once the head of a request was read from it.
func serveConns(t *testing.T, answer func(conn *net.TCPConn, request *http.Request)) string {
	t.Helper()

	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })

	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}

			go func() {
				defer conn.Close()

				if request, err := http.ReadRequest(bufio.NewReaderSize(conn, 16)); err == nil {
					answer(conn.(*net.TCPConn), request) //nolint:forcetypeassert // The listener is of TCP.
				}
			}()
		}
	}()

	return listener.Addr().String()
}

// reset closes a connection so that its peer receives a reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	conn.Close()
}

// upload sends a request with a body of a size on a new connection and returns the answer's body.
func upload(t *testing.T, address string, size int) (string, error) {
	t.Helper()

	// Connecting may take a busy machine longer than the exchanger's connect timeout.
	httpExchanger := exchanger.NewExchanger(kernel.NewDiscardCommon("entry"), exchanger.WithDial(func(_ context.Context, network, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(t.Context(), network, address)
	}))
	long := request()
	long.Body = bytes.Repeat([]byte("x"), size)

	answer, err := httpExchanger.Exchange(t.Context(), address, long, exchanger.ExchangeOptions{HeadDeadline: time.Now().Add(10 * time.Second)})
	if err != nil {
		return "", err
	}
	defer answer.Close()

	body, err := io.ReadAll(answer)

	return string(body), err
}

// A server that answered a long upload without a length and reset the connection looked as if it had
// ended its answer: the goroutine that wrote the upload received the reset, and the reader a clean end.
// Answers that mark their end, or whose request was written, are complete nevertheless.
func TestAnswersThatEndDuringALongUpload(t *testing.T) {
	const unframed, part = "HTTP/1.1 200 OK\r\n\r\n", "part of an answer"

	all := []int{100_000, 990_000, 16_000_000}

	for name, scenario := range map[string]struct {
		answer   func(conn *net.TCPConn, request *http.Request)
		tries    int
		complete bool
		// sizes are those of the uploads; the system's buffers hold none of 16 MB.
		sizes []int
	}{
		"reset at once": {tries: 100, sizes: all, answer: func(conn *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(conn, unframed+part)
			reset(conn)
		}},
		"reset while the writer waits": {tries: 60, sizes: all, answer: func(conn *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(conn, unframed+part)
			time.Sleep(5 * time.Millisecond)
			reset(conn)
		}},
		"reset after a length": {tries: 20, sizes: all, complete: true, answer: func(conn *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n"+part)
			time.Sleep(50 * time.Millisecond)
			reset(conn)
		}},
		"reset after the last chunk": {tries: 20, sizes: all, complete: true, answer: func(conn *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(conn, chunkedHead+"11\r\n"+part+"\r\n0\r\n\r\n")
			time.Sleep(50 * time.Millisecond)
			reset(conn)
		}},
		"reads on after its end": {tries: 5, sizes: all, complete: true, answer: func(conn *net.TCPConn, request *http.Request) {
			_, _ = io.WriteString(conn, unframed+part)
			_ = conn.CloseWrite()
			time.Sleep(50 * time.Millisecond)
			_, _ = io.Copy(io.Discard, request.Body)
		}},
		"never reads on after its end": {tries: 1, sizes: []int{16_000_000}, answer: func(conn *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(conn, unframed+part)
			_ = conn.CloseWrite()
			time.Sleep(5 * time.Second)
		}},
	} {
		for _, size := range scenario.sizes {
			t.Run(name, func(t *testing.T) {
				address, complete := serveConns(t, scenario.answer), 0

				for range scenario.tries {
					body, err := upload(t, address, size)
					if err == nil {
						require.Equal(t, part, body)

						complete++

						continue
					}

					failure := exchanger.FailureError{}
					require.ErrorAs(t, err, &failure)
					require.Equal(t, exchanger.Interrupted, failure.Kind)
				}

				expected := 0
				if scenario.complete {
					expected = scenario.tries
				}

				require.Equal(t, expected, complete, "complete answers of %d to uploads of %d bytes", scenario.tries, size)
			})
		}
	}
}

// A wait for more of an answer received the reset of its connection and dropped it, so that the next
// read saw a clean end.
func TestResetSeenByAWaitForData(t *testing.T) {
	sent := make(chan struct{})
	address := serveConns(t, func(conn *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhello")
		<-sent
		reset(conn)
	})

	answer, err := exchanger.NewExchanger(kernel.NewDiscardCommon("entry")).Exchange(t.Context(), address, request(), defaultOptions())
	require.NoError(t, err)

	defer answer.Close()

	_, err = io.ReadFull(answer, make([]byte, 5))
	require.NoError(t, err)
	close(sent)
	require.NoError(t, answer.AwaitData(time.Now().Add(5*time.Second)))

	_, err = answer.Read(make([]byte, 1))
	require.ErrorAs(t, err, &exchanger.FailureError{})
}

// Statuses outside 200 to 599 were passed on as answers, or 000 and 099 taken for announcements of one.
func TestInvalidStatusesAreNoAnswers(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		server := newScriptedServer(t, false, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 5\r\n\r\nhello"+completeAnswer)

		_, err := fetch(exchanger.NewExchanger(kernel.NewDiscardCommon("entry")), server, defaultOptions())

		failure := exchanger.FailureError{}
		require.ErrorAs(t, err, &failure, status)
		require.Equal(t, exchanger.Interrupted, failure.Kind, "the request may have run")
	}

	connections := atomic.Int64{}
	address := serveConns(t, func(conn *net.TCPConn, _ *http.Request) {
		connections.Add(1)

		_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Odd\r\n\r\nHTTP/1.1 599 Odd\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(time.Second)
	})

	answer, err := exchanger.NewExchanger(kernel.NewDiscardCommon("entry")).Exchange(t.Context(), address, request(), defaultOptions())
	require.NoError(t, err)
	require.Equal(t, 599, answer.Status)
	answer.Close()
	require.Equal(t, int64(1), connections.Load())
}
