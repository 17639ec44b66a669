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

// caller is a client of the entries.
type caller struct {
	t       *testing.T
	fleet   *fleet
	headers map[string]string
}

// answer is a response read to its end.
type answer struct {
	status int
	header http.Header
	body   string
}

func newCaller(fleet *fleet, workspace string) *caller {
	return &caller{t: fleet.t, fleet: fleet, headers: map[string]string{handler.WorkspaceHeader: workspace}}
}

// post sends a body to the entry of that name and reads the whole answer.
func (caller *caller) post(entry, path, body string) answer {
	caller.t.Helper()

	return caller.do(http.MethodPost, entry, path, body)
}

// do sends a request of any method and reads the whole answer.
func (caller *caller) do(method, entry, path, body string) answer {
	caller.t.Helper()

	request, err := http.NewRequestWithContext(caller.t.Context(), method, "http://"+caller.fleet.addresses[entry]+path, strings.NewReader(body))
	require.NoError(caller.t, err)
	request.Header.Set("Content-Type", "application/json")

	for name, value := range caller.headers {
		request.Header.Set(name, value)
	}

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{body: err.Error()}
	}
	defer response.Body.Close()

	text, err := io.ReadAll(response.Body)
	require.NoError(caller.t, err)

	return answer{status: response.StatusCode, header: response.Header, body: string(text)}
}

// eventually posts until the answer has the status; processes take a moment to
// find each other.
func (caller *caller) eventually(status int, entry, path, body string) answer {
	caller.t.Helper()

	begun := time.Now()

	for {
		got := caller.post(entry, path, body)
		if got.status == status {
			return got
		}

		require.Less(caller.t, time.Since(begun), patience, "%s gave no answer with status %d; the last one: %d %s", entry, status, got.status, got.body)
		time.Sleep(50 * time.Millisecond)
	}
}

// tokens returns the texts of a streamed completion, and whether it ended.
func (answer answer) tokens(t *testing.T) (string, bool) {
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

// wanted is the whole answer that an engine gives to the body.
func wanted(body string, tokens int) string {
	text := strings.Builder{}
	for index := range tokens {
		text.WriteString(emulator.TokenText(emulator.Seed([]byte(body)), index))
	}

	return text.String()
}
