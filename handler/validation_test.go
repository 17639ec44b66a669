package handler

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against the mux's redirects: few clients repeat a POST after one.
func TestUncleanPathsAreRefused(t *testing.T) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/services/{service}/{path...}", func(http.ResponseWriter, *http.Request) {})

	for target, status := range map[string]int{
		"/v1/services/order/x":        http.StatusOK,
		"/v1/services/order/x/":       http.StatusOK,
		"/v1/services/order/../x":     http.StatusBadRequest,
		"/v1/services/order/./x":      http.StatusBadRequest,
		"/v1/services//order/x":       http.StatusBadRequest,
		"/v1/services/order/%2e%2e/x": http.StatusBadRequest,
	} {
		response := httptest.NewRecorder()
		RefuseUncleanPaths(mux).ServeHTTP(response, httptest.NewRequestWithContext(t.Context(), http.MethodPost, target, nil))
		require.Equal(t, status, response.Code, target)

		if status != http.StatusOK {
			require.Contains(t, response.Body.String(), "path")
		}
	}
}

// Guards against a connection reset while the caller still sends a body far above
// the limit.
func TestOversizedBodyIsAnswered(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		inbound := &inboundRequest{writer: writer, request: request}
		inbound.readBody()
		inbound.refuseIfInvalid()
	}))
	t.Cleanup(server.Close)

	for range 5 {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, server.URL, bytes.NewReader(make([]byte, 20<<20)))
		require.NoError(t, err)

		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		response.Body.Close()
		require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
	}
}

// A refusal names the invalid field of a completion request.
func TestCompletionFieldsAreValidated(t *testing.T) {
	for body, field := range map[string]string{
		`{"model":"m","max_tokens":-1}`:                  "max_tokens",
		`{"model":"m","max_tokens":0}`:                   "max_tokens",
		`{"model":"m","max_tokens":"x"}`:                 "max_tokens",
		`{"model":"m","messages":"x"}`:                   "messages",
		`{"model":"m","prompt":7}`:                       "prompt",
		`{"model":"m","messages":[],"max_tokens":1}`:     "",
		`{"model":"m","prompt":"x","max_tokens":null}`:   "",
		`{"model":"m","prompt":["x"],"messages":null}`:   "",
		`{"model":"m","messages":{"role":"user"}}`:       "messages",
		`{"model":"m","messages":[{}],"stream":true}`:    "",
		`{"model":"m","prompt":"x","max_tokens":100000}`: "",
	} {
		inbound := &inboundRequest{writer: httptest.NewRecorder(), request: httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", nil)}
		inbound.parseCompletion([]byte(body))

		if field == "" {
			require.Empty(t, inbound.faults, body)

			continue
		}

		require.Len(t, inbound.faults, 1, body)
		require.Equal(t, field, inbound.faults[0].Field, body)
	}
}
