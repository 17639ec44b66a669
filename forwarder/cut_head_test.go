package forwarder_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
	"limpetrail/forwarder"
	"limpetrail/matcher"
	"limpetrail/placer"
)

// cutServer answers each request with the beginning of an answer, and closes the connection.
type cutServer struct {
	listener net.Listener
	// head is sent up to cut; %ID% stands for the request's ID.
	head string
	cut  int
}

func (server *cutServer) serve() {
	for {
		connection, err := server.listener.Accept()
		if err != nil {
			return
		}

		go server.answer(connection)
	}
}

func (server *cutServer) answer(connection net.Conn) {
	defer connection.Close()

	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}

	head := strings.ReplaceAll(server.head, "%ID%", request.Header.Get(emulator.DefaultEventHeaders().RequestID))
	_, _ = connection.Write([]byte(head[:min(server.cut, len(head))]))
}

// A server stops within the head of its answer, or right after it, and closes. Nothing of that is a
// complete answer, whole or a stream, whatever would mark its end.
func TestAnswerCutInItsHeadLooksComplete(t *testing.T) {
	const common = "HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\nStamp: server-1\r\n"

	for name, head := range map[string]string{
		"chunked":             common + "Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n",
		"with a length":       common + "Content-Length: 12\r\nContent-Type: text/event-stream\r\n\r\n",
		"without a length":    common + "Connection: close\r\nContent-Type: text/event-stream\r\n\r\n",
		"with folded lines":   common + "X-Folded: a\r\n b\r\n c\r\nContent-Length: 12\r\n\r\n",
		"with bare newlines":  strings.ReplaceAll(common+"Content-Type: text/event-stream\r\n\r\n", "\r\n", "\n"),
		"of an older version": strings.Replace(common, "1.1", "1.0", 1) + "Content-Type: text/plain\r\n\r\n",
	} {
		for kind, cutRoute := range map[string]*matcher.Route{
			"whole":  route(matcher.Idempotent, false, 2),
			"once":   route(matcher.AtMostOnce, false, 1),
			"stream": route(matcher.Stream, true, 2),
		} {
			t.Run(name+", "+kind, func(t *testing.T) {
				withFleet(t, 1, func(fleet *fleet) {
					server := &cutServer{listener: fleet.network.Listen("cut"), head: head}

					defer server.listener.Close()

					go server.serve()

					// IDs are a few bytes longer than what stands for them.
					for server.cut = range len(head) + 9 {
						// A new start clears what is held against the server.
						fleet.placer.UpdateServers([]placer.Server{{ID: "cut", Incarnation: int64(server.cut) + 1, Address: "cut", Service: serviceName, Places: 8}})

						result, answer, _ := fleet.forwardBody(context.Background(), cutRoute, "", http.StatusText(server.cut))
						require.NotEqual(t, forwarder.Answered, result.Outcome, "after %d bytes of %q", server.cut, head)
						require.Zero(t, answer.heads)
						time.Sleep(time.Second)
					}
				})
			})
		}
	}
}
