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

// scripted is a backend server that answers each request with the next text.
type scripted struct {
	listener net.Listener
	accepted atomic.Int64
	// heads holds the requests as they came.
	heads chan string
}

// newScripted serves the texts one after the other on each connection. An
// empty text says nothing, and closing ends the connection after the last.
func newScripted(t *testing.T, closing bool, texts ...string) *scripted {
	t.Helper()

	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)

	server := &scripted{listener: listener, heads: make(chan string, 100)}

	t.Cleanup(func() { listener.Close() })

	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}

			server.accepted.Add(1)

			go server.serve(conn, closing, texts)
		}
	}()

	return server
}

func (server *scripted) serve(conn net.Conn, closing bool, texts []string) {
	reader := bufio.NewReader(conn)

	for _, text := range texts {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}

		body, _ := io.ReadAll(request.Body)
		server.heads <- request.Method + " " + request.RequestURI + " " + request.Host + " " + string(body)

		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}

	if closing {
		conn.Close()
	}
}

func request() exchanger.Request {
	return exchanger.Request{Method: http.MethodPost, Target: "/a//../b?c=%2f", Host: "host.example", Header: http.Header{"X-One": {"1"}}, Body: []byte("body")}
}

func soon() exchanger.Terms {
	return exchanger.Terms{LastBy: time.Now().Add(500 * time.Millisecond), Repeatable: true}
}

// fetch makes an exchange and reads its answer.
func fetch(made *exchanger.Exchanger, server *scripted, terms exchanger.Terms) (string, error) {
	answer, err := made.Exchange(context.Background(), server.listener.Addr().String(), request(), terms)
	if err != nil {
		return "", err
	}
	defer answer.Close()

	answer.SetDeadline(terms.LastBy)

	body, err := io.ReadAll(answer)

	return string(body), err
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

// Each scenario is what a backend server sends, and what comes of it. An answer
// that ends early never looks whole.
func TestAnswersAsTheyCome(t *testing.T) {
	for name, scenario := range map[string]struct {
		text    string
		closing bool
		body    string
		fate    exchanger.Fate
		failed  bool
	}{
		"with a length":             {text: whole, body: "hello"},
		"in chunks":                 {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", body: "hello"},
		"without a length":          {text: "HTTP/1.1 200 OK\r\n\r\nhello", closing: true, body: "hello"},
		"after an announcement":     {text: "HTTP/1.1 102 Processing\r\n\r\n" + whole, body: "hello"},
		"shorter than its length":   {text: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", closing: true, body: "hello", failed: true, fate: exchanger.Cut},
		"without the last chunk":    {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", closing: true, body: "hello", failed: true, fate: exchanger.Cut},
		"bytes that are no answer":  {text: "no answer at all\r\n\r\n", failed: true, fate: exchanger.Cut},
		"nothing, and the end":      {closing: true, failed: true, fate: exchanger.Cut},
		"nothing at all":            {failed: true, fate: exchanger.Unanswered},
		"a head that does not end":  {text: "HTTP/1.1 200 OK\r\nContent-", failed: true, fate: exchanger.Cut},
		"a body that does not come": {text: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", failed: true, fate: exchanger.Unanswered},
	} {
		t.Run(name, func(t *testing.T) {
			server := newScripted(t, scenario.closing, scenario.text)
			body, err := fetch(exchanger.NewExchanger(kernel.Discard("entry")), server, soon())
			require.Equal(t, scenario.body, body)
			require.Equal(t, scenario.failed, err != nil)
			require.Equal(t, "POST /a//../b?c=%2f host.example body", <-server.heads)

			failure := exchanger.FailureError{}
			if scenario.failed {
				require.ErrorAs(t, err, &failure)
				require.Equal(t, scenario.fate, failure.Fate)
			}
		})
	}
}

// A connection is used again only after a whole answer with nothing behind it,
// and while neither its age nor the server forbids it.
func TestConnectionsThatAreUsedAgain(t *testing.T) {
	for name, scenario := range map[string]struct {
		first       string
		pause       time.Duration
		repeatable  bool
		connections int64
	}{
		"whole answer":             {first: whole, repeatable: true, connections: 1},
		"whole answer, unique":     {first: whole, connections: 1},
		"old, unique":              {first: whole, pause: 1100 * time.Millisecond, connections: 2},
		"old, repeatable":          {first: whole, pause: 1100 * time.Millisecond, repeatable: true, connections: 1},
		"the server closes":        {first: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello", repeatable: true, connections: 2},
		"a second answer behind":   {first: whole + whole, repeatable: true, connections: 2},
		"kept for a second only":   {first: "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 5\r\n\r\nhello", repeatable: true, connections: 2},
		"kept for a minute":        {first: "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: 5\r\n\r\nhello", repeatable: true, connections: 1},
		"bytes behind, a bit late": {first: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello extra", pause: 10 * time.Millisecond, repeatable: true, connections: 2},
	} {
		t.Run(name, func(t *testing.T) {
			server := newScripted(t, false, scenario.first, whole)
			made := exchanger.NewExchanger(kernel.Discard("entry"))

			for range 2 {
				terms := exchanger.Terms{LastBy: time.Now().Add(5 * time.Second), Repeatable: scenario.repeatable}
				body, err := fetch(made, server, terms)
				require.NoError(t, err)
				require.Equal(t, "hello", body)
				time.Sleep(scenario.pause)
			}

			require.Equal(t, scenario.connections, server.accepted.Load())
		})
	}
}

// A refused connection proves that nothing was sent.
func TestUnsentRequest(t *testing.T) {
	server := newScripted(t, false)
	require.NoError(t, server.listener.Close())

	_, err := fetch(exchanger.NewExchanger(kernel.Discard("entry")), server, soon())

	failure := exchanger.FailureError{}
	require.ErrorAs(t, err, &failure)
	require.Equal(t, exchanger.Unsent, failure.Fate)
}

// The caller's end closes the connection at once.
func TestExchangeEndsWithItsContext(t *testing.T) {
	server := newScripted(t, false, "")
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)

	_, err := exchanger.NewExchanger(kernel.Discard("entry")).Exchange(ctx, server.listener.Addr().String(), request(), exchanger.Terms{LastBy: time.Now().Add(time.Minute)})

	failure := exchanger.FailureError{}
	require.ErrorAs(t, err, &failure)
	require.Equal(t, exchanger.Left, failure.Fate)
}

// Whether a silent exchange ends at its first bound is the caller's choice.
func TestSilenceIsGivenUpOnlyIfAsked(t *testing.T) {
	for _, giveUp := range []bool{true, false} {
		server := newScripted(t, false, "")
		begun := time.Now()
		terms := exchanger.Terms{FirstBy: begun.Add(20 * time.Millisecond), LastBy: begun.Add(200 * time.Millisecond), GiveUp: func() bool { return giveUp }}
		_, err := fetch(exchanger.NewExchanger(kernel.Discard("entry")), server, terms)

		failure := exchanger.FailureError{}
		require.ErrorAs(t, err, &failure)
		require.Equal(t, exchanger.Unanswered, failure.Fate)
		require.Equal(t, giveUp, time.Since(begun) < 200*time.Millisecond)
	}
}

// A server may answer before it has read a long body. The connection is not
// used again until the body was sent whole.
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
			// The head is read, the body is not.
			_, _ = bufio.NewReaderSize(conn, 16).ReadString('\n')
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		}
	}()

	made := exchanger.NewExchanger(kernel.Discard("entry"))
	long := request()
	long.Body = []byte(strings.Repeat("x", 32<<20))

	for range 2 {
		answer, err := made.Exchange(context.Background(), listener.Addr().String(), long, exchanger.Terms{LastBy: time.Now().Add(5 * time.Second), Repeatable: true})
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, answer.Status)

		_, err = io.ReadAll(answer)
		require.NoError(t, err)
		answer.Close()
	}

	require.Equal(t, int64(2), accepted.Load())
}

func TestHeadersOfOneConnectionEndHere(t *testing.T) {
	kept := exchanger.EndToEnd(http.Header{
		"Connection": {"close, X-Mine"}, "X-Mine": {"1"}, "Keep-Alive": {"timeout=5"}, "Transfer-Encoding": {"chunked"},
		"Content-Length": {"5"}, "X-Other": {"2"}, "Content-Type": {"text/plain"},
	})
	require.Equal(t, http.Header{"X-Other": {"2"}, "Content-Type": {"text/plain"}}, kept)
}

// A stream is cut into whole events however its bytes arrive.
func TestEventsAreWhole(t *testing.T) {
	text := "id: 1\ndata: one\ndata: more\n\n: comment\nid: 2\r\ndata:two\r\n\r\nid: x\ndata: 3\n\nid: 4\nda"

	for size := 1; size <= len(text); size++ {
		events := exchanger.NewEvents(1 << 16)
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
		require.False(t, events.Empty())
	}

	events := exchanger.NewEvents(1 << 16)
	require.True(t, errors.Is(events.Write(make([]byte, 2<<20)), errors.NotValid))
}

// A request whose server left while a connection was made is not sent.
func TestWithdrawnRequestsAreNotSent(t *testing.T) {
	server := newScripted(t, false, whole, whole)
	made := exchanger.NewExchanger(kernel.Discard("entry"))

	// Once on a new connection, once on one that is used again.
	for _, used := range []int{0, 1} {
		for range used {
			_, err := fetch(made, server, soon())
			require.NoError(t, err)
			<-server.heads
		}

		terms := soon()
		terms.Withdrawn = func() bool { return true }

		_, err := fetch(made, server, terms)
		failure := exchanger.FailureError{}
		require.ErrorAs(t, err, &failure)
		require.Equal(t, exchanger.Unsent, failure.Fate)
		require.ErrorIs(t, err, exchanger.ErrWithdrawn)
	}

	require.Empty(t, server.heads)
}

// The end of a body of known length is there at once, also of an empty one: a server
// that is asked to go on after the last event sends nothing more.
func TestEndOfABodyIsNotAwaited(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", whole} {
		server := newScripted(t, false, text)
		answer, err := exchanger.NewExchanger(kernel.Discard("entry")).Exchange(t.Context(), server.listener.Addr().String(), request(), soon())
		require.NoError(t, err)

		buffer := make([]byte, 5)

		for err == nil {
			require.NoError(t, answer.Await(time.Now().Add(300*time.Millisecond)))

			_, err = answer.ReadPart(buffer, time.Now().Add(time.Second))
		}

		require.ErrorIs(t, err, io.EOF)
		answer.Close()
	}
}
