package exchanger_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/exchanger"
	"limpetrail/kernel"
)

// FuzzAnswer sends arbitrary bytes as the answer to a request and then closes the
// connection. The exchange must end, the body must stay within the limits, and an answer
// that looks complete must have its full length.
func FuzzAnswer(f *testing.F) {
	for _, text := range []string{
		completeAnswer, chunkedHead + "5\r\nhello\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nhello", "HTTP/1.1 102 Processing\r\n\r\n" + completeAnswer,
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!", chunkedHead + "ffffffffffffffff\r\n", "HTTP/1.1 421 \r\n\r\n", "\x00",
	} {
		f.Add([]byte(text))
	}

	f.Fuzz(func(t *testing.T, text []byte) {
		limits := exchanger.DefaultLimits()
		limits.BodyBytes = 1 << 16

		dial := func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()

			go func() {
				defer server.Close()

				// Read the request up to the end of its body.
				buffer, received := make([]byte, 1<<10), 0
				for received == 0 || !bytes.HasSuffix(buffer[:received], []byte("body")) {
					count, err := server.Read(buffer[received:])
					if err != nil {
						return
					}

					received += count
				}

				_, _ = server.Write(text)
			}()

			return client, nil
		}
		httpExchanger := exchanger.NewExchanger(kernel.NewDiscardCommon("entry"), exchanger.WithDial(dial), exchanger.WithLimits(limits))

		answer, err := httpExchanger.Exchange(t.Context(), "server", request(), exchanger.ExchangeOptions{HeadDeadline: time.Now().Add(time.Second)})
		if err != nil {
			require.ErrorAs(t, err, &exchanger.FailureError{})

			return
		}
		defer answer.Close()

		body, err := io.ReadAll(answer)
		require.LessOrEqual(t, len(body), limits.BodyBytes+limits.HeadBytes)

		if err == nil && answer.Length >= 0 {
			require.Len(t, body, int(answer.Length))
		}
	})
}

// FuzzEvents parses arbitrary bytes in parts of any size. The raw bytes of the events must
// be those of the stream.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\n", uint8(3))
	f.Add(": comment\n\n\n\nid: -1\n\n", uint8(1))

	f.Fuzz(func(t *testing.T, text string, size uint8) {
		text = text[:min(len(text), 1<<12)]
		partSize := int(size) + 1
		raw := strings.Builder{}
		parser := exchanger.NewEventParser(len(text) + 1)

		for begin := 0; begin < len(text); begin += partSize {
			require.NoError(t, parser.Write([]byte(text[begin:min(begin+partSize, len(text))])))

			for event, found := parser.Next(); found; event, found = parser.Next() {
				raw.Write(event.Raw)
			}
		}

		require.True(t, strings.HasPrefix(text, raw.String()))
		require.Equal(t, parser.AtEventBoundary(), len(text) == raw.Len())
	})
}
