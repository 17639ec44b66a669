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
	waitTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

// client sends requests to the entries of a demo, as callers and operators do.
type client struct {
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

// send returns the body of the response, or an error unless its status is 200.
func (client client) send(ctx context.Context, call call) (string, error) {
	request, err := http.NewRequestWithContext(ctx, call.method, "http://"+client.entries[call.entry]+call.path, strings.NewReader(call.body))
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

// sendUntil repeats the request until a response is accepted, or waitTimeout has
// passed.
func (client client) sendUntil(ctx context.Context, call call, accept func(answer string) bool) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()

	for {
		answer, err := client.send(ctx, call)
		if err == nil && accept(answer) {
			return answer, nil
		}

		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return "", errors.Errorf("no expected response in time: last response %q, error %v", answer, err)
		}
	}
}

// decode parses the JSON body of a response.
func decode[T any](answer string) (T, error) {
	var value T

	err := json.Unmarshal([]byte(answer), &value)

	return value, errors.Annotatef(err, "reading %q", answer)
}
