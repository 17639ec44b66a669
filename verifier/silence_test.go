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

func TestAnswersAreWholeWhenASidecarStopsInTheMiddle(t *testing.T) {
	const (
		streams = 8
		tokens  = 400
	)

	for name, signal := range map[string]syscall.Signal{"frozen": syscall.SIGSTOP, "killed": syscall.SIGKILL} {
		t.Run(name, func(t *testing.T) {
			fleet := newFleet(t, exampleDocument())
			fleet.sidecar("sidecar-1", "Engine", "briefing")
			fleet.sidecar("sidecar-2", "Engine", "briefing")
			fleet.entry("entry-1")
			fleet.warm("entry-1")

			running := sync.WaitGroup{}
			answers := make([]answer, streams)
			bodies := make([]string, streams)
			begun := sync.WaitGroup{}

			for index := range streams {
				bodies[index] = fmt.Sprintf(`{"model":"briefing","stream":true,"max_tokens":%d,"messages":[{"content":"Question %d"}]}`, tokens, index)

				begun.Add(1)
				running.Go(func() { answers[index] = fleet.stream("entry-1", bodies[index], begun.Done) })
			}

			// With so many streams, some run at either sidecar.
			begun.Wait()
			fleet.signal("sidecar-1", signal)
			running.Wait()

			for index, answer := range answers {
				text, done := answer.tokens(t)
				require.True(t, done, answer.body)
				require.Equal(t, wanted(bodies[index], tokens), text)
			}
		})
	}
}

// stream reads a streamed chat answer and tells when its header has come.
func (fleet *fleet) stream(entry, body string, begun func()) answer {
	request, err := http.NewRequestWithContext(fleet.t.Context(), http.MethodPost, "http://"+fleet.addresses[entry]+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		begun()

		return answer{body: err.Error()}
	}

	request.Header.Set(handler.WorkspaceHeader, "briefings")

	response, err := http.DefaultClient.Do(request)

	begun()

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
