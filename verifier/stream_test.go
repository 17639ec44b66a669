package verifier

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"limpetrail/handler"
)

// Every stream must be complete and correct, although a sidecar is frozen or killed
// while it streams.
func TestStreamsAreCompleteWhenASidecarFails(t *testing.T) {
	const (
		streams = 8
		tokens  = 400
	)

	for name, signal := range map[string]syscall.Signal{"frozen": syscall.SIGSTOP, "killed": syscall.SIGKILL} {
		t.Run(name, func(t *testing.T) {
			fleet := newFleet(t, exampleDocument())
			fleet.startSidecar("sidecar-1", "Engine", "briefing")
			fleet.startSidecar("sidecar-2", "Engine", "briefing")
			fleet.startEntry("entry-1")
			fleet.awaitSidecarsKnown("entry-1")

			running := sync.WaitGroup{}
			answers := make([]answer, streams)
			bodies := make([]string, streams)
			started := sync.WaitGroup{}

			for index := range streams {
				bodies[index] = fmt.Sprintf(`{"model":"briefing","stream":true,"max_tokens":%d,"messages":[{"content":"Question %d"}]}`, tokens, index)

				started.Add(1)
				running.Go(func() { answers[index] = fleet.streamChat("entry-1", bodies[index], started.Done) })
			}

			// There are enough streams that each sidecar runs some of them.
			started.Wait()
			fleet.signal("sidecar-1", signal)
			running.Wait()

			for index, answer := range answers {
				text, done := answer.streamedText(t)
				require.True(t, done, answer.body)
				require.Equal(t, expectedText(bodies[index], tokens), text)
			}
		})
	}
}

// streamChat reads a streamed chat response. It calls started when the response's
// header has arrived, or the request has failed.
func (fleet *fleet) streamChat(entry, body string, started func()) answer {
	request, err := http.NewRequestWithContext(fleet.t.Context(), http.MethodPost, "http://"+fleet.addresses[entry]+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		started()

		return answer{body: err.Error()}
	}

	request.Header.Set(handler.WorkspaceHeader, "briefings")

	response, err := http.DefaultClient.Do(request)

	started()

	if err != nil {
		return answer{body: err.Error()}
	}
	defer response.Body.Close()

	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{body: err.Error()}
	}

	return answer{status: response.StatusCode, body: string(text)}
}
