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

func keyed(key string) map[string]string { return map[string]string{IdempotencyKeyHeader: key} }

// answerText is the engine's whole answer to the body.
func answerText(body string, tokens int) string {
	text := strings.Builder{}
	for index := range tokens {
		text.WriteString(emulator.TokenText(emulator.Seed([]byte(body)), index))
	}

	return text.String()
}

// events returns the texts of a streamed answer and the number of its events.
func events(t *testing.T, body string) (string, int) {
	t.Helper()

	text := strings.Builder{}
	count := 0

	for block := range strings.SplitSeq(body, "\n\n") {
		id, data, found := strings.Cut(block, "\ndata: ")
		// A connection that was cut leaves half an event at the end.
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
		site := newSite(t)

		order := site.send("entry-1", inquiry{path: servicePath, body: orderBody})
		require.Equal(t, http.StatusOK, order.status, order.body)
		require.Equal(t, firstAnswer, order.body)

		echo := site.send("entry-1", inquiry{path: "/v1/services/stock/a%20b/c?Depot=2", body: orderBody})
		require.Equal(t, http.StatusCreated, echo.status)
		require.Equal(t, "text/plain", echo.header.Get("Content-Type"))
		require.Equal(t, "/a%20b/c?Depot=2 application/json "+orderBody, echo.body)

		for _, answer := range []reply{order, echo} {
			require.Contains(t, answer.header.Get(RequestIDHeader), callPrefix)
		}

		require.Empty(t, site.store.Calls(), "requests without a claim call no key-value service")
	})
}

func TestKeyedOrderRunsOnceThroughTwoEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite(t)

		for _, entry := range []string{"entry-1", "entry-2"} {
			for _, key := range []string{`"monday"`, "monday"} {
				answer := site.send(entry, inquiry{path: servicePath, body: orderBody, headers: keyed(key)})
				require.Equal(t, http.StatusOK, answer.status, answer.body)
				require.Equal(t, firstAnswer, answer.body)
			}
		}

		require.Len(t, site.service.Acts(), 1)

		other := site.send("entry-2", inquiry{path: servicePath, body: `{}`, headers: keyed("monday")})
		require.Equal(t, http.StatusUnprocessableEntity, other.status)
		require.Equal(t, classifier.NotRun, other.problem(t).Fate)
	})
}

func TestKeyedCompletionIsReplayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite(t)
		body := `{"model":"drafter","stream":true,"max_tokens":20,"messages":[]}`
		wanted := inquiry{path: "/v1/chat/completions", body: body, headers: keyed("monday")}

		first, second := site.send("entry-1", wanted), site.send("entry-2", wanted)
		for _, answer := range []reply{first, second} {
			text, count := events(t, answer.body)
			require.Equal(t, answerText(body, 20), text)
			require.Equal(t, 20, count)
			require.Contains(t, answer.body, `"completion_tokens":20`)
		}

		require.Equal(t, first.header.Get(RequestIDHeader), second.header.Get(RequestIDHeader))
		require.Equal(t, 1, site.engine.Starts(first.header.Get(RequestIDHeader)))
	})
}

func TestServiceDownRefusesKeyedRequestsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite(t)
		site.store.Faults.Set(emulator.Switches{Outage: true})

		refused := site.send("entry-1", inquiry{path: servicePath, body: orderBody, headers: keyed("monday")})
		require.Equal(t, http.StatusServiceUnavailable, refused.status)
		require.Equal(t, classifier.NotRun, refused.problem(t).Fate)
		require.NotEmpty(t, refused.header.Get("Retry-After"))
		require.Empty(t, site.service.Acts())

		require.Equal(t, http.StatusOK, site.send("entry-1", inquiry{path: servicePath, body: orderBody}).status)
		require.Equal(t, http.StatusCreated, site.send("entry-1", inquiry{path: "/v1/services/stock/count", headers: keyed("monday")}).status)
	})
}

func TestLostAnswerOfAnOrderIsToldAsMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite(t)
		site.service.Faults.Set(emulator.Switches{DropAnswers: 1})

		for _, headers := range []map[string]string{nil, keyed("monday")} {
			answer := site.send("entry-1", inquiry{path: servicePath, body: orderBody, headers: headers})
			site.service.Faults.Set(emulator.Switches{DropAnswers: 1})
			require.Equal(t, http.StatusBadGateway, answer.status)
			require.Equal(t, classifier.MayHaveRun, answer.problem(t).Fate)
		}

		require.Len(t, site.service.Acts(), 2)
	})
}

func TestFirstEventIsFlushedBeforeTheAnswerEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite(t)
		began := time.Now()
		response := site.open("entry-1", inquiry{path: "/v1/chat/completions", body: streamedBody})

		defer response.Body.Close()

		_, err := bufio.NewReader(response.Body).ReadString('\n')
		require.NoError(t, err)
		require.Less(t, time.Since(began), 2*tokenInterval)

		_, err = io.ReadAll(response.Body)
		require.NoError(t, err)
		require.GreaterOrEqual(t, time.Since(began), 19*tokenInterval)
		require.Empty(t, site.store.Calls(), "an idempotent request calls no key-value service")
	})
}

func TestCompletionWithoutContentTypeIsTakenForJSON(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite(t)
		answer := site.send("entry-1", inquiry{path: "/v1/completions", body: `{"model":"reader"}`, headers: map[string]string{"Content-Type": ""}})
		require.Equal(t, http.StatusOK, answer.status, answer.body)
	})
}

func TestAnswerIsReadOnAfterACutConnection(t *testing.T) {
	for name, after := range map[string]time.Duration{"while it runs": 0, "after its end": time.Minute} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				site := newSite(t)
				time.AfterFunc(10*tokenInterval+tokenInterval/2, site.cut)

				body := strings.Replace(streamedBody, "reader", "drafter", 1)
				first := site.send("entry-1", inquiry{path: "/v1/chat/completions", body: body})
				require.True(t, first.cut)

				text, count := events(t, first.body)
				require.Positive(t, count)
				require.Less(t, count, 20)
				time.Sleep(after)

				id := first.header.Get(RequestIDHeader)
				rest := site.send("entry-2", inquiry{
					method:  http.MethodGet,
					path:    "/v1/requests/" + id + "?offset=" + strconv.Itoa(count),
					headers: map[string]string{"Accept": "text/event-stream"},
				})
				require.Equal(t, http.StatusOK, rest.status, rest.body)

				more, _ := events(t, rest.body)
				require.Equal(t, answerText(body, 20), text+more)
				require.Contains(t, rest.body, `"completion_tokens":20`)
				require.Contains(t, rest.body, "[DONE]")
				require.Equal(t, 1, site.engine.Starts(id))

				whole := site.send("entry-1", inquiry{method: http.MethodGet, path: "/v1/requests/" + id})
				require.Contains(t, whole.body, answerText(body, 20))
			})
		})
	}
}

func TestReadingAnAnswerThatIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite(t)
		site.service.Faults.Set(emulator.Switches{DropAnswers: 1})
		site.send("entry-1", inquiry{path: servicePath, body: orderBody})

		lost := ""
		for id := range site.service.Acts() {
			lost = id
		}

		tests := map[string]struct {
			id     string
			status int
		}{
			"no ID of ours":       {"nothing", http.StatusNotFound},
			"unlisted replica":    {"call-1.nowhere", http.StatusNotFound},
			"unknown form":        {"1.order-1", http.StatusNotFound},
			"too long":            {strings.Repeat("x", maxIDBytes+1), http.StatusNotFound},
			"unknown at its side": {"call-1.order-1", http.StatusNotFound},
			"answer lost":         {lost, http.StatusGone},
		}

		for name, test := range tests {
			answer := site.send("entry-2", inquiry{method: http.MethodGet, path: "/v1/requests/" + test.id})
			require.Equal(t, test.status, answer.status, name)
			require.Equal(t, classifier.MayHaveRun, answer.problem(t).Fate, name)
		}
	})
}

func TestBadInputIsRefused(t *testing.T) {
	const completions = "/v1/completions"

	tests := map[string]struct {
		inquiry inquiry
		status  int
		// fields are those of all faults, in order.
		fields []string
	}{
		"body over the limit": {
			inquiry{path: completions, body: `{"model":"reader","prompt":"` + strings.Repeat("x", maxBodyBytes) + `"}`},
			http.StatusRequestEntityTooLarge,
			[]string{"body"},
		},
		"service body over the limit": {
			inquiry{path: servicePath, body: strings.Repeat("x", maxBodyBytes+1)},
			http.StatusRequestEntityTooLarge,
			[]string{"body"},
		},
		"broken JSON":      {inquiry{path: completions, body: `{"model":`}, http.StatusBadRequest, []string{"body"}},
		"no JSON object":   {inquiry{path: completions, body: `[]`}, http.StatusBadRequest, []string{"body"}},
		"mistyped field":   {inquiry{path: completions, body: `{"model":7}`}, http.StatusBadRequest, []string{"model"}},
		"missing model":    {inquiry{path: completions, body: `{}`}, http.StatusBadRequest, []string{"model"}},
		"unknown model":    {inquiry{path: completions, body: `{"model":"oracle"}`}, http.StatusNotFound, []string{"model"}},
		"plain service":    {inquiry{path: completions, body: `{"model":"order"}`}, http.StatusNotFound, []string{"model"}},
		"other firm":       {inquiry{path: completions, body: `{"model":"briefing"}`}, http.StatusNotFound, []string{"model"}},
		"unknown service":  {inquiry{path: "/v1/services/oracle/ask"}, http.StatusNotFound, []string{"service"}},
		"model as service": {inquiry{path: "/v1/services/reader/ask"}, http.StatusNotFound, []string{"service"}},
		"path that climbs": {inquiry{path: "/v1/services/order/a/%2e%2e%2fb"}, http.StatusBadRequest, []string{"path"}},
		"empty key":        {inquiry{path: servicePath, headers: keyed("")}, http.StatusBadRequest, []string{"Header Idempotency-Key"}},
		"empty quoted key": {inquiry{path: servicePath, headers: keyed(`""`)}, http.StatusBadRequest, []string{"Header Idempotency-Key"}},
		"long key":         {inquiry{path: servicePath, headers: keyed(strings.Repeat("k", 256))}, http.StatusBadRequest, []string{"Header Idempotency-Key"}},
		"unknown workspace": {
			inquiry{path: completions, body: `{"model":"reader"}`, headers: map[string]string{WorkspaceHeader: "nobody"}},
			http.StatusForbidden,
			[]string{"Header " + WorkspaceHeader},
		},
		"wrong content type": {
			inquiry{path: completions, body: `{"model":"reader"}`, headers: map[string]string{"Content-Type": "text/plain"}},
			http.StatusUnsupportedMediaType,
			[]string{"Header Content-Type"},
		},
		"every fault at once": {
			inquiry{path: completions, body: `{`, headers: map[string]string{"Content-Type": "text/plain", IdempotencyKeyHeader: "", WorkspaceHeader: "nobody"}},
			http.StatusUnsupportedMediaType,
			[]string{"Header Content-Type", "Header Idempotency-Key", "body", "Header " + WorkspaceHeader},
		},
		"unknown path":   {inquiry{path: "/v1/embeddings"}, http.StatusNotFound, []string{"path"}},
		"unknown method": {inquiry{method: http.MethodDelete, path: completions}, http.StatusMethodNotAllowed, []string{"method"}},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				site := newSite(t)
				answer := site.send("entry-1", test.inquiry)
				require.Equal(t, test.status, answer.status, answer.body)

				problem := answer.problem(t)
				require.Equal(t, classifier.NotRun, problem.Fate)

				fields := []string{}
				for _, fault := range problem.Faults {
					fields = append(fields, fault.Field)
					require.NotEmpty(t, fault.Remedy)
				}

				require.Equal(t, test.fields, fields)
				require.Empty(t, site.service.Acts())
			})
		})
	}
}

func TestBadOffsetSaysNothingOfTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite(t)

		for _, offset := range []string{"-1", "x", "99999999999"} {
			answer := site.send("entry-1", inquiry{method: http.MethodGet, path: "/v1/requests/chat-1.reader-1?offset=" + offset})
			require.Equal(t, http.StatusBadRequest, answer.status)
			require.Equal(t, classifier.MayHaveRun, answer.problem(t).Fate)
			require.Equal(t, "offset", answer.problem(t).Faults[0].Field)
		}
	})
}
