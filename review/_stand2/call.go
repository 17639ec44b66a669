package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// call sends a request on a new connection, as clients of jobs do, and returns the status and the body.
func (fleet *fleet) call(ctx context.Context, gateway *process, method, path, id string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+gateway.callers+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}

	request.Host, request.Close = routeHost, true
	if id != "" {
		request.Header.Set("X-Limpetrail-Attempt-Id", id)
	}

	request.Header.Set("X-Limpetrail-Deadline-Ms", "6000")

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()

	content, err := io.ReadAll(response.Body)

	return response.StatusCode, content, err
}
