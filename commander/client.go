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
)

// maxAnswerBytes bounds an answer that the command line reads.
const maxAnswerBytes = 64 << 20

// client calls an entry for the command line.
type client struct {
	entry   string
	headers map[string]string
}

// get returns the body of an answer. A problem document
// becomes an error whose cause is errRefused.
func (client client) get(ctx context.Context, path string) ([]byte, error) {
	response, err := client.open(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer response.Body.Close()

	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))

	return text, errors.Annotate(err, "reading the answer")
}

// open sends the body, if any, and returns the answer for reading.
func (client client) open(ctx context.Context, method, path string, body io.Reader) (*http.Response, error) {
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

	if response.StatusCode < http.StatusBadRequest {
		return response, nil
	}
	defer response.Body.Close()

	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, errors.Annotate(err, "reading the refusal")
	}

	return nil, errors.WithType(errors.New(describe(response, text)), errRefused)
}

// describe turns a refusal into lines for a terminal.
func describe(response *http.Response, text []byte) string {
	problem := classifier.Problem{}
	if err := json.Unmarshal(text, &problem); err != nil || problem.Title == "" {
		return response.Status + ": " + strings.TrimSpace(string(text))
	}

	lines := []string{fmt.Sprintf("%s: %s (%s)", problem.Title, problem.Detail, problem.Fate)}
	if after := response.Header.Get("Retry-After"); after != "" {
		lines = append(lines, "  come back in "+after+" s")
	}

	for _, fault := range problem.Faults {
		lines = append(lines, fmt.Sprintf("  %s = %q: %s", fault.Field, fault.Value, fault.Remedy))
	}

	return strings.Join(lines, "\n")
}
