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

// FuzzAnswer plays any bytes as the answer to a request, after which the server
// closes. It ends, keeps to its bounds, and what looks whole has its whole length.
func FuzzAnswer(f *testing.F) {
	for _, text := range []string{
		whole, chunkedHead + "5\r\nhello\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nhello", "HTTP/1.1 102 Processing\r\n\r\n" + whole,
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!", chunkedHead + "ffffffffffffffff\r\n", "HTTP/1.1 421 \r\n\r\n", "\x00",
	} {
		f.Add([]byte(text))
	}

	f.Fuzz(func(t *testing.T, text []byte) {
		limits := exchanger.DefaultLimits()
		limits.BodyBytes = 1 << 16

		dial := func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()

			go func() {
				defer far.Close()

				// The request is read up to the end of its body.
				buffer, seen := make([]byte, 1<<10), 0
				for seen == 0 || !bytes.HasSuffix(buffer[:seen], []byte("body")) {
					count, err := far.Read(buffer[seen:])
					if err != nil {
						return
					}

					seen += count
				}

				_, _ = far.Write(text)
			}()

			return near, nil
		}
		made := exchanger.NewExchanger(kernel.Discard("entry"), exchanger.WithDial(dial), exchanger.WithLimits(limits))

		answer, err := made.Exchange(t.Context(), "server", request(), exchanger.Terms{LastBy: time.Now().Add(time.Second)})
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

// FuzzEvents cuts any bytes into events. However they are cut up on their way,
// the same events come out, and their raw bytes are those that went in.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\n", uint8(3))
	f.Add(": comment\n\n\n\nid: -1\n\n", uint8(1))

	f.Fuzz(func(t *testing.T, text string, size uint8) {
		text = text[:min(len(text), 1<<12)]
		step := int(size) + 1
		raw := strings.Builder{}
		cut := exchanger.NewEvents(len(text) + 1)

		for begin := 0; begin < len(text); begin += step {
			require.NoError(t, cut.Write([]byte(text[begin:min(begin+step, len(text))])))

			for event, found := cut.Next(); found; event, found = cut.Next() {
				raw.Write(event.Raw)
			}
		}

		require.True(t, strings.HasPrefix(text, raw.String()))
		require.Equal(t, cut.Empty(), len(text) == raw.Len())
	})
}
