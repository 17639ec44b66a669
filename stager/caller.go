package stager

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
)

const (
	// Host is the host of all routes.
	Host = "host.example"
	// Deadline is how long a caller says that it waits.
	Deadline = 5 * time.Second
)

// Caller speaks to the deployment as its callers do.
type Caller struct {
	Client  *http.Client
	Address string
	// Keep lets connections be used for more than one request.
	Keep bool
}

// To returns a caller of a gateway, with a connection for each request.
func To(gateway *Process) Caller {
	return Caller{Client: http.DefaultClient, Address: gateway.Callers}
}

// Ask sends a request.
func (caller Caller) Ask(ctx context.Context, method, target, id string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+caller.Address, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}

	request.URL.Opaque = target
	request.Host = Host
	request.Close = !caller.Keep
	headers := emulator.PlatformEventHeaders()
	request.Header.Set(headers.RequestID, id)
	request.Header.Set(headers.Deadline, strconv.FormatInt(Deadline.Milliseconds(), 10))

	response, err := caller.Client.Do(request)

	return response, errors.Trace(err)
}

// Answer is what a caller got.
type Answer struct {
	// Status is 0 if there was no answer.
	Status int
	Body   string
	// Err tells why the answer is not whole.
	Err error
}

// Stream sends a request for events and reads all of its answer.
func (caller Caller) Stream(ctx context.Context, target, id string) Answer {
	response, err := caller.Ask(ctx, http.MethodPost, target, id, []byte("prompt"))
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()

	text, err := io.ReadAll(response.Body)

	return Answer{Status: response.StatusCode, Body: string(text), Err: errors.Trace(err)}
}

// WholeStream is the answer to a request for events.
func WholeStream() string {
	text := strings.Builder{}
	for number := range Events {
		fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", number, emulator.EventText(number))
	}

	return text.String()
}

// WholeOutput is the output of an item.
func WholeOutput() string {
	texts := []string{}
	for number := range Events {
		texts = append(texts, emulator.EventText(number))
	}

	return emulator.PlatformOutput(texts)
}

// ItemID names an item of a job.
func ItemID(job string, number int) string {
	return fmt.Sprintf("%s-%d", job, number)
}

// Submit hands in a job of so many items under the prefix and returns the
// status, or 0 without an answer.
func (caller Caller) Submit(ctx context.Context, prefix, id string, count int) int {
	items := []string{}
	for number := range count {
		items = append(items, ItemID(id, number))
	}

	body, err := emulator.PlatformJob(prefix, items)
	if err != nil {
		return 0
	}

	response, err := caller.Ask(ctx, http.MethodPost, prefix+id, id, body)
	if err != nil {
		return 0
	}

	response.Body.Close()

	return response.StatusCode
}

// Result is a listed item.
type Result = emulator.PlatformResult

// Read returns the status and the results of a job from a position on.
func (caller Caller) Read(ctx context.Context, id string, after int) (int, []Result) {
	response, err := caller.Ask(ctx, http.MethodGet, emulator.PlatformResultsPath(id, after), "", nil)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()

	if response.StatusCode != http.StatusOK {
		return response.StatusCode, nil
	}

	results, err := emulator.ReadPlatformResults(response.Body)
	if err != nil {
		return 0, nil
	}

	return http.StatusOK, results
}

// Done returns how many items of a job a gateway lists, all of them whole, or -1
// if it does not say.
func (deployment *Deployment) Done(to *Process, id string) int {
	status, results := To(to).Read(deployment.T.Context(), id, 0)
	if status != http.StatusOK {
		return -1
	}

	for _, result := range results {
		require.Equal(deployment.T, "completed", result.State)
		require.Equal(deployment.T, WholeOutput(), result.Output)
	}

	return len(results)
}
