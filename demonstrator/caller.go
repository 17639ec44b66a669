package demonstrator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
)

const (
	patience = 30 * time.Second
	pollTime = 20 * time.Millisecond
)

// caller speaks to the entries of a demo as clients and operators do.
type caller struct {
	entries []string
}

// call is one HTTP request to an entry.
type call struct {
	entry   int
	method  string
	path    string
	headers map[string]string
	body    string
}

// send returns the body of a good answer.
func (caller caller) send(ctx context.Context, call call) (string, error) {
	request, err := http.NewRequestWithContext(ctx, call.method, "http://"+caller.entries[call.entry]+call.path, strings.NewReader(call.body))
	if err != nil {
		return "", errors.Trace(err)
	}

	request.Header.Set("Content-Type", "application/json")

	for name, value := range call.headers {
		request.Header.Set(name, value)
	}

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", errors.Trace(err)
	}
	defer response.Body.Close()

	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return "", errors.Trace(err)
	}

	if response.StatusCode != http.StatusOK {
		return "", errors.Errorf("%s %s: %s: %s", call.method, call.path, response.Status, answer)
	}

	return string(answer), nil
}

// until sends until the answer is accepted.
func (caller caller) until(ctx context.Context, call call, accept func(answer string) bool) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()

	for {
		answer, err := caller.send(ctx, call)
		if err == nil && accept(answer) {
			return answer, nil
		}

		select {
		case <-time.After(pollTime):
		case <-ctx.Done():
			return "", errors.Errorf("never came: last answer %q, error %v", answer, err)
		}
	}
}

// decode reads an answer's JSON.
func decode[T any](answer string) (T, error) {
	var value T

	err := json.Unmarshal([]byte(answer), &value)

	return value, errors.Annotatef(err, "reading %q", answer)
}
