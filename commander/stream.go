package commander

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/juju/errors"

	"limpetrail/handler"
)

// maxLineBytes limits the length of one line of a stream.
const maxLineBytes = 1 << 20

// printStream prints the text of a streamed completion as it arrives, then the request ID.
func (commander *Commander) printStream(response *http.Response) error {
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, maxLineBytes)

	failed := false

	for scanner.Scan() {
		failed = failed || scanner.Text() == "event: error"

		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}

		if failed {
			return errors.WithType(errors.New(data), errRefused)
		}

		if data == "[DONE]" {
			fmt.Fprintf(commander.Out, "\n(request %s)\n", response.Header.Get(handler.RequestIDHeader))

			return nil
		}

		commander.printChunk(data)
	}

	if err := scanner.Err(); err != nil {
		return errors.Annotate(err, "reading the stream")
	}

	return errors.Errorf("the stream ended before the completion did; read the rest with GET /v1/requests/%s", response.Header.Get(handler.RequestIDHeader))
}

func (commander *Commander) printChunk(data string) {
	chunk := struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}{}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return
	}

	for _, choice := range chunk.Choices {
		fmt.Fprint(commander.Out, choice.Text)
	}
}
