package handler

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/classifier"
	"limpetrail/emulator"
)

const (
	servicePath  = "/v1/services/order/orders/new"
	orderBody    = `{"Machine":"excavator"}`
	firstAnswer  = `{"Act":1,"Bytes":23}`
	streamedBody = `{"model":"reader","stream":true,"max_tokens":20,"messages":[]}`
)

func keyHeader(key string) map[string]string { return map[string]string{IdempotencyKeyHeader: key} }

// answerText returns the engine's whole answer to the request body.
func answerText(body string, tokens int) string {
	text := strings.Builder{}
	for index := range tokens {
		text.WriteString(emulator.TokenText(emulator.AnswerSeed([]byte(body)), index))
	}

	return text.String()
}

// parseEvents returns the text of a streamed answer and the number of its events.
func parseEvents(t *testing.T, body string) (string, int) {
	t.Helper()

	text := strings.Builder{}
	count := 0

	for block := range strings.SplitSeq(body, "\n\n") {
		id, data, found := strings.Cut(block, "\ndata: ")
		// A closed connection may leave an incomplete event at the end.
		if !found || !json.Valid([]byte(data)) {
			continue
		}

		_, err := strconv.Atoi(strings.TrimPrefix(id, "id: "))
		require.NoError(t, err, block)

		chunk := completion{}
		require.NoError(t, json.Unmarshal([]byte(data), &chunk))
		text.WriteString(chunk.Choices[0].Delta.Content)

		count++
	}

	return text.String(), count
}

func TestPlainServiceAnswerIsPassedBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t)

		order := cluster.send("entry-1", testRequest{path: servicePath, body: orderBody})
		require.Equal(t, http.StatusOK, order.status, order.body)
		require.Equal(t, firstAnswer, order.body)

		echo := cluster.send("entry-1", testRequest{path: "/v1/services/stock/a%20b/c?Depot=2", body: orderBody})
		require.Equal(t, http.StatusCreated, echo.status)
		require.Equal(t, "text/plain", echo.header.Get("Content-Type"))
		require.Equal(t, "/a%20b/c?Depot=2 application/json "+orderBody, echo.body)

		for _, answer := range []testResponse{order, echo} {
			require.Contains(t, answer.header.Get(RequestIDHeader), serviceIDPrefix)
		}

		require.Empty(t, cluster.store.CallCounts(), "requests without a claim must not call the key-value service")
	})
}

func TestKeyedOrderRunsOnceAcrossTwoEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t)

		for _, entry := range []string{"entry-1", "entry-2"} {
			for _, key := range []string{`"monday"`, "monday"} {
				answer := cluster.send(entry, testRequest{path: servicePath, body: orderBody, headers: keyHeader(key)})
				require.Equal(t, http.StatusOK, answer.status, answer.body)
				require.Equal(t, firstAnswer, answer.body)
			}
		}

		require.Len(t, cluster.service.CallCounts(), 1)

		conflicting := cluster.send("entry-2", testRequest{path: servicePath, body: `{}`, headers: keyHeader("monday")})
		require.Equal(t, http.StatusUnprocessableEntity, conflicting.status)
		require.Equal(t, classifier.NotRun, conflicting.problem(t).Fate)
	})
}

func TestKeyedCompletionIsReplayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t)
		body := `{"model":"drafter","stream":true,"max_tokens":20,"messages":[]}`
		request := testRequest{path: "/v1/chat/completions", body: body, headers: keyHeader("monday")}

		first, second := cluster.send("entry-1", request), cluster.send("entry-2", request)
		for _, answer := range []testResponse{first, second} {
			text, count := parseEvents(t, answer.body)
			require.Equal(t, answerText(body, 20), text)
			require.Equal(t, 20, count)
			require.Contains(t, answer.body, `"completion_tokens":20`)
		}

		require.Equal(t, first.header.Get(RequestIDHeader), second.header.Get(RequestIDHeader))
		require.Equal(t, 1, cluster.engine.StartCount(first.header.Get(RequestIDHeader)))
	})
}

func TestKeyValueOutageRefusesKeyedRequestsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t)
		cluster.store.Faults.Set(emulator.FaultSwitches{Outage: true})

		refused := cluster.send("entry-1", testRequest{path: servicePath, body: orderBody, headers: keyHeader("monday")})
		require.Equal(t, http.StatusServiceUnavailable, refused.status)
		require.Equal(t, classifier.NotRun, refused.problem(t).Fate)
		require.NotEmpty(t, refused.header.Get("Retry-After"))
		require.Empty(t, cluster.service.CallCounts())

		require.Equal(t, http.StatusOK, cluster.send("entry-1", testRequest{path: servicePath, body: orderBody}).status)
		require.Equal(t, http.StatusCreated, cluster.send("entry-1", testRequest{path: "/v1/services/stock/count", headers: keyHeader("monday")}).status)
	})
}

func TestLostAnswerIsReportedAsMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t)
		cluster.service.Faults.Set(emulator.FaultSwitches{DropAnswers: 1})

		for _, headers := range []map[string]string{nil, keyHeader("monday")} {
			answer := cluster.send("entry-1", testRequest{path: servicePath, body: orderBody, headers: headers})
			cluster.service.Faults.Set(emulator.FaultSwitches{DropAnswers: 1})
			require.Equal(t, http.StatusBadGateway, answer.status)
			require.Equal(t, classifier.MayHaveRun, answer.problem(t).Fate)
		}

		require.Len(t, cluster.service.CallCounts(), 2)
	})
}

func TestFirstEventIsFlushedBeforeTheAnswerEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t)
		start := time.Now()
		response := cluster.open("entry-1", testRequest{path: "/v1/chat/completions", body: streamedBody})

		defer response.Body.Close()

		_, err := bufio.NewReader(response.Body).ReadString('\n')
		require.NoError(t, err)
		require.Less(t, time.Since(start), 2*tokenInterval)

		_, err = io.ReadAll(response.Body)
		require.NoError(t, err)
		require.GreaterOrEqual(t, time.Since(start), 19*tokenInterval)
		require.Empty(t, cluster.store.CallCounts(), "an idempotent request must not call the key-value service")
	})
}

func TestMissingContentTypeIsTreatedAsJSON(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t)
		answer := cluster.send("entry-1", testRequest{path: "/v1/completions", body: `{"model":"reader"}`, headers: map[string]string{"Content-Type": ""}})
		require.Equal(t, http.StatusOK, answer.status, answer.body)
	})
}

func TestAnswerIsResumedAfterConnectionLoss(t *testing.T) {
	for name, wait := range map[string]time.Duration{"while the request runs": 0, "after the request ended": time.Minute} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster(t)
				time.AfterFunc(10*tokenInterval+tokenInterval/2, cluster.closeConnections)

				body := strings.Replace(streamedBody, "reader", "drafter", 1)
				first := cluster.send("entry-1", testRequest{path: "/v1/chat/completions", body: body})
				require.True(t, first.truncated)

				text, count := parseEvents(t, first.body)
				require.Positive(t, count)
				require.Less(t, count, 20)
				time.Sleep(wait)

				id := first.header.Get(RequestIDHeader)
				rest := cluster.send("entry-2", testRequest{
					method:  http.MethodGet,
					path:    "/v1/requests/" + id + "?offset=" + strconv.Itoa(count),
					headers: map[string]string{"Accept": "text/event-stream"},
				})
				require.Equal(t, http.StatusOK, rest.status, rest.body)

				more, _ := parseEvents(t, rest.body)
				require.Equal(t, answerText(body, 20), text+more)
				require.Contains(t, rest.body, `"completion_tokens":20`)
				require.Contains(t, rest.body, "[DONE]")
				require.Equal(t, 1, cluster.engine.StartCount(id))

				complete := cluster.send("entry-1", testRequest{method: http.MethodGet, path: "/v1/requests/" + id})
				require.Contains(t, complete.body, answerText(body, 20))
			})
		})
	}
}

func TestReadBackOfUnavailableAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t)
		cluster.service.Faults.Set(emulator.FaultSwitches{DropAnswers: 1})
		cluster.send("entry-1", testRequest{path: servicePath, body: orderBody})

		lostID := ""
		for id := range cluster.service.CallCounts() {
			lostID = id
		}

		tests := map[string]struct {
			id     string
			status int
		}{
			"malformed ID":       {"nothing", http.StatusNotFound},
			"unlisted replica":   {"call-1.nowhere", http.StatusNotFound},
			"unknown ID prefix":  {"1.order-1", http.StatusNotFound},
			"ID too long":        {strings.Repeat("x", maxIDBytes+1), http.StatusNotFound},
			"unknown at sidecar": {"call-1.order-1", http.StatusNotFound},
			"answer lost":        {lostID, http.StatusGone},
		}

		for name, test := range tests {
			answer := cluster.send("entry-2", testRequest{method: http.MethodGet, path: "/v1/requests/" + test.id})
			require.Equal(t, test.status, answer.status, name)
			require.Equal(t, classifier.MayHaveRun, answer.problem(t).Fate, name)
		}
	})
}

func TestInvalidRequestIsRefused(t *testing.T) {
	const completions = "/v1/completions"

	tests := map[string]struct {
		request testRequest
		status  int
		// fields are the fields of all reported faults, in order.
		fields []string
	}{
		"body over the limit": {
			testRequest{path: completions, body: `{"model":"reader","prompt":"` + strings.Repeat("x", maxBodyBytes) + `"}`},
			http.StatusRequestEntityTooLarge,
			[]string{"body"},
		},
		"service body over the limit": {
			testRequest{path: servicePath, body: strings.Repeat("x", maxBodyBytes+1)},
			http.StatusRequestEntityTooLarge,
			[]string{"body"},
		},
		"broken JSON":      {testRequest{path: completions, body: `{"model":`}, http.StatusBadRequest, []string{"body"}},
		"no JSON object":   {testRequest{path: completions, body: `[]`}, http.StatusBadRequest, []string{"body"}},
		"mistyped field":   {testRequest{path: completions, body: `{"model":7}`}, http.StatusBadRequest, []string{"model"}},
		"missing model":    {testRequest{path: completions, body: `{}`}, http.StatusBadRequest, []string{"model"}},
		"unknown model":    {testRequest{path: completions, body: `{"model":"oracle"}`}, http.StatusNotFound, []string{"model"}},
		"plain service":    {testRequest{path: completions, body: `{"model":"order"}`}, http.StatusNotFound, []string{"model"}},
		"other firm":       {testRequest{path: completions, body: `{"model":"briefing"}`}, http.StatusNotFound, []string{"model"}},
		"unknown service":  {testRequest{path: "/v1/services/oracle/ask"}, http.StatusNotFound, []string{"service"}},
		"model as service": {testRequest{path: "/v1/services/reader/ask"}, http.StatusNotFound, []string{"service"}},
		"path with ..":     {testRequest{path: "/v1/services/order/a/%2e%2e%2fb"}, http.StatusBadRequest, []string{"path"}},
		"empty key":        {testRequest{path: servicePath, headers: keyHeader("")}, http.StatusBadRequest, []string{"Header Idempotency-Key"}},
		"empty quoted key": {testRequest{path: servicePath, headers: keyHeader(`""`)}, http.StatusBadRequest, []string{"Header Idempotency-Key"}},
		"long key":         {testRequest{path: servicePath, headers: keyHeader(strings.Repeat("k", 256))}, http.StatusBadRequest, []string{"Header Idempotency-Key"}},
		"unknown workspace": {
			testRequest{path: completions, body: `{"model":"reader"}`, headers: map[string]string{WorkspaceHeader: "nobody"}},
			http.StatusForbidden,
			[]string{"Header " + WorkspaceHeader},
		},
		"wrong content type": {
			testRequest{path: completions, body: `{"model":"reader"}`, headers: map[string]string{"Content-Type": "text/plain"}},
			http.StatusUnsupportedMediaType,
			[]string{"Header Content-Type"},
		},
		"all faults reported": {
			testRequest{path: completions, body: `{`, headers: map[string]string{"Content-Type": "text/plain", IdempotencyKeyHeader: "", WorkspaceHeader: "nobody"}},
			http.StatusUnsupportedMediaType,
			[]string{"Header Content-Type", "Header Idempotency-Key", "body", "Header " + WorkspaceHeader},
		},
		"unknown path":   {testRequest{path: "/v1/embeddings"}, http.StatusNotFound, []string{"path"}},
		"unknown method": {testRequest{method: http.MethodDelete, path: completions}, http.StatusMethodNotAllowed, []string{"method"}},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster(t)
				answer := cluster.send("entry-1", test.request)
				require.Equal(t, test.status, answer.status, answer.body)

				problem := answer.problem(t)
				require.Equal(t, classifier.NotRun, problem.Fate)

				fields := []string{}
				for _, fault := range problem.Faults {
					fields = append(fields, fault.Field)
					require.NotEmpty(t, fault.Remedy)
				}

				require.Equal(t, test.fields, fields)
				require.Empty(t, cluster.service.CallCounts())
			})
		})
	}
}

func TestInvalidOffsetLeavesFateUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t)

		for _, offset := range []string{"-1", "x", "99999999999"} {
			answer := cluster.send("entry-1", testRequest{method: http.MethodGet, path: "/v1/requests/chat-1.reader-1?offset=" + offset})
			require.Equal(t, http.StatusBadRequest, answer.status)
			require.Equal(t, classifier.MayHaveRun, answer.problem(t).Fate)
			require.Equal(t, "offset", answer.problem(t).Faults[0].Field)
		}
	})
}
