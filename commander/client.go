package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/juju/errors"

	"limpetrail/classifier"
	"limpetrail/kernel"
)

// maxAnswerBytes limits the size of an answer.
const maxAnswerBytes = 64 << 20

// client calls an entry for the command line.
type client struct {
	entry   string
	headers map[string]string
}

// get returns the body of the answer to a GET request. For an error response it returns
// an error of type errRefused.
func (client client) get(ctx context.Context, path string) ([]byte, error) {
	response, err := client.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer response.Body.Close()

	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))

	return text, errors.Annotate(err, "reading the answer")
}

// send sends a request, with a body if it is not nil, and returns the open response.
// The caller closes its body.
func (client client) send(ctx context.Context, method, path string, body io.Reader) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+client.entry+path, body)
	if err != nil {
		return nil, errors.NewNotValid(err, "address of the entry")
	}

	request.Header.Set("Content-Type", "application/json")

	for name, value := range client.headers {
		request.Header.Set(name, value)
	}

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Annotatef(err, "calling entry %s", client.entry)
	}

	if !kernel.IsFinalStatus(response.StatusCode) {
		response.Body.Close()

		return nil, errors.NotValidf("entry %s: answer with the status %03d", client.entry, response.StatusCode)
	}

	if response.StatusCode < http.StatusBadRequest {
		return response, nil
	}
	defer response.Body.Close()

	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, errors.Annotate(err, "reading the error response")
	}

	return nil, errors.WithType(errors.New(describeRefusal(response, text)), errRefused)
}

// describeRefusal formats an error response for a terminal.
func describeRefusal(response *http.Response, text []byte) string {
	problem := classifier.Problem{}
	if err := json.Unmarshal(text, &problem); err != nil || problem.Title == "" {
		return response.Status + ": " + strings.TrimSpace(string(text))
	}

	lines := []string{fmt.Sprintf("%s: %s (%s)", problem.Title, problem.Detail, problem.Fate)}
	if after := response.Header.Get("Retry-After"); after != "" {
		lines = append(lines, "  retry after "+after+" s")
	}

	for _, fault := range problem.Faults {
		lines = append(lines, fmt.Sprintf("  %s = %q: %s", fault.Field, fault.Value, fault.Remedy))
	}

	return strings.Join(lines, "\n")
}
