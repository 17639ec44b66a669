package exchanger_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"limpetrail/exchanger"
	"limpetrail/kernel"
)

// scriptedServer answers each request of a connection with the next prepared text.
type scriptedServer struct {
	listener net.Listener
	accepted atomic.Int64
	// requests holds the requests as received.
	requests chan string
}

// newScriptedServer returns a server that sends the answers in turn on each connection.
// An empty answer sends nothing. If closes is true the connection is closed after the
// last.
func newScriptedServer(t *testing.T, closes bool, answers ...string) *scriptedServer {
	t.Helper()

	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)

	server := &scriptedServer{listener: listener, requests: make(chan string, 100)}

	t.Cleanup(func() { listener.Close() })

	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}

			server.accepted.Add(1)

			go server.serve(conn, closes, answers)
		}
	}()

	return server
}

func (server *scriptedServer) serve(conn net.Conn, closes bool, answers []string) {
	reader := bufio.NewReader(conn)

	for _, text := range answers {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}

		body, _ := io.ReadAll(request.Body)
		server.requests <- request.Method + " " + request.RequestURI + " " + request.Host + " " + string(body)

		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}

	if closes {
		conn.Close()
	}
}

func request() exchanger.Request {
	return exchanger.Request{Method: http.MethodPost, Target: "/a//../b?c=%2f", Host: "host.example", Header: http.Header{"X-One": {"1"}}, Body: []byte("body")}
}

func defaultOptions() exchanger.ExchangeOptions {
	return exchanger.ExchangeOptions{HeadDeadline: time.Now().Add(500 * time.Millisecond), Repeatable: true}
}

// fetch makes an exchange and reads the body of its answer.
func fetch(httpExchanger *exchanger.Exchanger, server *scriptedServer, options exchanger.ExchangeOptions) (string, error) {
	answer, err := httpExchanger.Exchange(context.Background(), server.listener.Addr().String(), request(), options)
	if err != nil {
		return "", err
	}
	defer answer.Close()

	answer.SetDeadline(options.HeadDeadline)

	body, err := io.ReadAll(answer)

	return string(body), err
}

const completeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

// Answers in each valid framing are read; an answer that ends early or is not valid must
// never look complete.
func TestAnswersInEachFraming(t *testing.T) {
	for name, scenario := range map[string]struct {
		text   string
		closes bool
		body   string
		kind   exchanger.FailureKind
		failed bool
	}{
		"with a length":                 {text: completeAnswer, body: "hello"},
		"in chunks":                     {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", body: "hello"},
		"without a length":              {text: "HTTP/1.1 200 OK\r\n\r\nhello", closes: true, body: "hello"},
		"after an informational answer": {text: "HTTP/1.1 102 Processing\r\n\r\n" + completeAnswer, body: "hello"},
		"shorter than its length":       {text: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", closes: true, body: "hello", failed: true, kind: exchanger.Interrupted},
		"without the last chunk":        {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", closes: true, body: "hello", failed: true, kind: exchanger.Interrupted},
		"not an HTTP answer":            {text: "no answer at all\r\n\r\n", failed: true, kind: exchanger.Interrupted},
		"closed without an answer":      {closes: true, failed: true, kind: exchanger.Interrupted},
		"no answer":                     {failed: true, kind: exchanger.Unanswered},
		"incomplete head":               {text: "HTTP/1.1 200 OK\r\nContent-", failed: true, kind: exchanger.Interrupted},
		"missing body":                  {text: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", failed: true, kind: exchanger.Unanswered},
	} {
		t.Run(name, func(t *testing.T) {
			server := newScriptedServer(t, scenario.closes, scenario.text)
			body, err := fetch(exchanger.NewExchanger(kernel.NewDiscardCommon("entry")), server, defaultOptions())
			require.Equal(t, scenario.body, body)
			require.Equal(t, scenario.failed, err != nil)
			require.Equal(t, "POST /a//../b?c=%2f host.example body", <-server.requests)

			failure := exchanger.FailureError{}
			if scenario.failed {
				require.ErrorAs(t, err, &failure)
				require.Equal(t, scenario.kind, failure.Kind)
			}
		})
	}
}

// A connection is reused only after a complete answer with no bytes behind it, such as a
// late second answer, and within the idle times of the exchanger and of the server.
func TestConnectionReuse(t *testing.T) {
	for name, scenario := range map[string]struct {
		first       string
		pause       time.Duration
		repeatable  bool
		connections int64
	}{
		"complete answer":                      {first: completeAnswer, repeatable: true, connections: 1},
		"complete answer, unrepeatable":        {first: completeAnswer, connections: 1},
		"idle for over a second, unrepeatable": {first: completeAnswer, pause: 1100 * time.Millisecond, connections: 2},
		"idle for over a second, repeatable":   {first: completeAnswer, pause: 1100 * time.Millisecond, repeatable: true, connections: 1},
		"server announces the close":           {first: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello", repeatable: true, connections: 2},
		"second answer follows":                {first: completeAnswer + completeAnswer, repeatable: true, connections: 2},
		"keep-alive of a second":               {first: "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 5\r\n\r\nhello", repeatable: true, connections: 2},
		"keep-alive of a minute":               {first: "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: 5\r\n\r\nhello", repeatable: true, connections: 1},
		"extra bytes follow":                   {first: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello extra", pause: 10 * time.Millisecond, repeatable: true, connections: 2},
	} {
		t.Run(name, func(t *testing.T) {
			server := newScriptedServer(t, false, scenario.first, completeAnswer)
			httpExchanger := exchanger.NewExchanger(kernel.NewDiscardCommon("entry"))

			for range 2 {
				options := exchanger.ExchangeOptions{HeadDeadline: time.Now().Add(5 * time.Second), Repeatable: scenario.repeatable}
				body, err := fetch(httpExchanger, server, options)
				require.NoError(t, err)
				require.Equal(t, "hello", body)
				time.Sleep(scenario.pause)
			}

			require.Equal(t, scenario.connections, server.accepted.Load())
		})
	}
}

// A refused connection proves that nothing was sent.
func TestRefusedConnectionIsUnsent(t *testing.T) {
	server := newScriptedServer(t, false)
	require.NoError(t, server.listener.Close())

	_, err := fetch(exchanger.NewExchanger(kernel.NewDiscardCommon("entry")), server, defaultOptions())

	failure := exchanger.FailureError{}
	require.ErrorAs(t, err, &failure)
	require.Equal(t, exchanger.Unsent, failure.Kind)
}

// The connection is closed as soon as the caller's context ends.
func TestExchangeEndsWithItsContext(t *testing.T) {
	server := newScriptedServer(t, false, "")
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)

	_, err := exchanger.NewExchanger(kernel.NewDiscardCommon("entry")).Exchange(ctx, server.listener.Addr().String(), request(), exchanger.ExchangeOptions{HeadDeadline: time.Now().Add(time.Minute)})

	failure := exchanger.FailureError{}
	require.ErrorAs(t, err, &failure)
	require.Equal(t, exchanger.Cancelled, failure.Kind)
}

// An exchange waits for the first byte until HeadDeadline.
func TestFirstByteIsAwaitedUntilItsDeadline(t *testing.T) {
	server := newScriptedServer(t, false, "")
	startedAt := time.Now()

	_, err := fetch(exchanger.NewExchanger(kernel.NewDiscardCommon("entry")), server, exchanger.ExchangeOptions{HeadDeadline: startedAt.Add(200 * time.Millisecond)})

	failure := exchanger.FailureError{}
	require.ErrorAs(t, err, &failure)
	require.Equal(t, exchanger.Unanswered, failure.Kind)
	require.GreaterOrEqual(t, time.Since(startedAt), 200*time.Millisecond)
}

// A server may answer before it has read a long body. The connection must not be reused
// unless the body was sent completely.
func TestEarlyAnswerToALongBody(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })

	accepted := atomic.Int64{}

	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}

			accepted.Add(1)
			// Read the start of the head, but not the body.
			_, _ = bufio.NewReaderSize(conn, 16).ReadString('\n')
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		}
	}()

	httpExchanger := exchanger.NewExchanger(kernel.NewDiscardCommon("entry"))
	long := request()
	long.Body = []byte(strings.Repeat("x", 32<<20))

	for range 2 {
		answer, err := httpExchanger.Exchange(context.Background(), listener.Addr().String(), long, exchanger.ExchangeOptions{HeadDeadline: time.Now().Add(5 * time.Second), Repeatable: true})
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, answer.Status)

		_, err = io.ReadAll(answer)
		require.NoError(t, err)
		answer.Close()
	}

	require.Equal(t, int64(2), accepted.Load())
}

func TestEndToEndHeadersDropsHopByHopHeaders(t *testing.T) {
	kept := exchanger.EndToEndHeaders(http.Header{
		"Connection": {"close, X-Mine"}, "X-Mine": {"1"}, "Keep-Alive": {"timeout=5"}, "Transfer-Encoding": {"chunked"},
		"Content-Length": {"5"}, "X-Other": {"2"}, "Content-Type": {"text/plain"},
	})
	require.Equal(t, http.Header{"X-Other": {"2"}, "Content-Type": {"text/plain"}}, kept)
}

// A stream yields the same complete events however it is divided into parts.
func TestEventsAreParsedInPartsOfAnySize(t *testing.T) {
	text := "id: 1\ndata: one\ndata: more\n\n: comment\nid: 2\r\ndata:two\r\n\r\nid: x\ndata: 3\n\nid: 4\nda"

	for size := 1; size <= len(text); size++ {
		events := exchanger.NewEventParser(1 << 16)
		seen := []string{}
		ids := []int{}

		for begin := 0; begin < len(text); begin += size {
			require.NoError(t, events.Write([]byte(text[begin:min(begin+size, len(text))])))

			for event, found := events.Next(); found; event, found = events.Next() {
				seen = append(seen, string(event.Data))
				ids = append(ids, event.ID)
			}
		}

		require.Equal(t, []string{"one\nmore", "two", "3"}, seen)
		require.Equal(t, []int{1, 2, -1}, ids)
		require.False(t, events.AtEventBoundary())
	}

	events := exchanger.NewEventParser(1 << 16)
	require.True(t, errors.Is(events.Write(make([]byte, 2<<20)), errors.NotValid))
}

// A request is not sent if its server was withdrawn while a connection was made.
func TestWithdrawnRequestsAreNotSent(t *testing.T) {
	server := newScriptedServer(t, false, completeAnswer, completeAnswer)
	httpExchanger := exchanger.NewExchanger(kernel.NewDiscardCommon("entry"))

	// The first round uses a new connection, the second one a reused connection.
	for _, earlier := range []int{0, 1} {
		for range earlier {
			_, err := fetch(httpExchanger, server, defaultOptions())
			require.NoError(t, err)
			<-server.requests
		}

		options := defaultOptions()
		options.Withdrawn = func() bool { return true }

		_, err := fetch(httpExchanger, server, options)
		failure := exchanger.FailureError{}
		require.ErrorAs(t, err, &failure)
		require.Equal(t, exchanger.Unsent, failure.Kind)
		require.ErrorIs(t, err, exchanger.ErrWithdrawn)
	}

	require.Empty(t, server.requests)
}

// The end of a body of known length, even an empty one, must be read without waiting: a
// server asked to continue after the last event sends nothing more.
func TestEndOfBodyIsReadWithoutWaiting(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", completeAnswer} {
		server := newScriptedServer(t, false, text)
		answer, err := exchanger.NewExchanger(kernel.NewDiscardCommon("entry")).Exchange(t.Context(), server.listener.Addr().String(), request(), defaultOptions())
		require.NoError(t, err)

		buffer := make([]byte, 5)

		for err == nil {
			require.NoError(t, answer.AwaitData(time.Now().Add(300*time.Millisecond)))

			_, err = answer.ReadPart(buffer, time.Now().Add(time.Second))
		}

		require.ErrorIs(t, err, io.EOF)
		answer.Close()
	}
}
