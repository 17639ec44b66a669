package verifier

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
	"limpetrail/handler"
)

// client sends HTTP requests to the entries, with fixed headers.
type client struct {
	t       *testing.T
	fleet   *fleet
	headers map[string]string
}

// answer is a response whose body has been read to its end. It has status 0 and
// the error as its body if there was no response.
type answer struct {
	status int
	header http.Header
	body   string
}

func newClient(fleet *fleet, workspace string) *client {
	return &client{t: fleet.t, fleet: fleet, headers: map[string]string{handler.WorkspaceHeader: workspace}}
}

// post sends the body to the named entry and reads the whole response.
func (client *client) post(entry, path, body string) answer {
	client.t.Helper()

	return client.do(http.MethodPost, entry, path, body)
}

// do sends a request with any method and reads the whole response.
func (client *client) do(method, entry, path, body string) answer {
	client.t.Helper()

	request, err := http.NewRequestWithContext(client.t.Context(), method, "http://"+client.fleet.addresses[entry]+path, strings.NewReader(body))
	require.NoError(client.t, err)
	request.Header.Set("Content-Type", "application/json")

	for name, value := range client.headers {
		request.Header.Set(name, value)
	}

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{body: err.Error()}
	}
	defer response.Body.Close()

	text, err := io.ReadAll(response.Body)
	require.NoError(client.t, err)

	return answer{status: response.StatusCode, header: response.Header, body: string(text)}
}

// postUntil repeats the request until the response has the status, because the
// processes need some time to discover each other.
func (client *client) postUntil(status int, entry, path, body string) answer {
	client.t.Helper()

	start := time.Now()

	for {
		got := client.post(entry, path, body)
		if got.status == status {
			return got
		}

		require.Less(client.t, time.Since(start), waitTimeout, "%s sent no response with status %d; the last one: %d %s", entry, status, got.status, got.body)
		time.Sleep(50 * time.Millisecond)
	}
}

// streamedText returns the text of a streamed completion, and whether the stream
// was complete.
func (answer answer) streamedText(t *testing.T) (string, bool) {
	t.Helper()

	text := strings.Builder{}
	done := false
	scanner := bufio.NewScanner(strings.NewReader(answer.body))

	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}

		if data == "[DONE]" {
			done = true

			continue
		}

		chunk := struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}{}
		require.NoError(t, json.Unmarshal([]byte(data), &chunk))

		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}

	return text.String(), done
}

// expectedText returns the text that the engine stand-in generates for the body.
func expectedText(body string, tokens int) string {
	text := strings.Builder{}
	for index := range tokens {
		text.WriteString(emulator.TokenText(emulator.AnswerSeed([]byte(body)), index))
	}

	return text.String()
}
