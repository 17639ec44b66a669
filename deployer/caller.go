package deployer

import (
	"bytes"
	"cmp"
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
	// RouteHost is the host of all configured routes.
	RouteHost = "host.example"
	// CallerTimeout is the time limit that callers send with each request.
	CallerTimeout = 5 * time.Second
)

// Caller is a client that sends requests to the deployment.
type Caller struct {
	Client  *http.Client
	Address string
	// KeepAlive allows a connection to be reused for further requests.
	KeepAlive bool
	// Key is the key of the caller's workspace; empty if it sends none.
	Key string
	// Parts are the prompt parts that requests share with others, separated by commas. The
	// ID of a request is its own part.
	Parts string
	// Body is what streams are requested with; empty for the same text as all callers.
	Body string
	// Resumes is the ID of the request that brought the first event of a stream, of which LastEvent
	// was received last; empty for a new stream.
	Resumes   string
	LastEvent int
}

// NewCaller returns a caller of one gateway that opens a new connection for each request.
func NewCaller(gateway *Process) Caller {
	return Caller{Client: http.DefaultClient, Address: gateway.CallerAddress}
}

// Send sends a request.
func (caller Caller) Send(ctx context.Context, method, target, id string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+caller.Address, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}

	request.URL.Opaque = target
	request.Host = RouteHost
	request.Close = !caller.KeepAlive
	headers := emulator.PlatformEventHeaders()
	request.Header.Set(headers.RequestID, id)

	if caller.Key != "" {
		request.Header.Set("Api-Key", caller.Key)
	}

	if caller.Parts != "" {
		request.Header.Set(headers.PromptParts, caller.Parts+","+id)
	}

	if caller.Resumes != "" {
		request.Header.Set("Resumes", caller.Resumes)
		request.Header.Set("Last-Event-Id", strconv.Itoa(caller.LastEvent))
	}

	request.Header.Set(headers.Deadline, strconv.FormatInt(CallerTimeout.Milliseconds(), 10))

	response, err := caller.Client.Do(request)

	return response, errors.Trace(err)
}

// Answer is the outcome of a request as its caller saw it.
type Answer struct {
	// Status is 0 if no response arrived.
	Status int
	Body   string
	// Err is why the response is missing or incomplete.
	Err error
}

// RequestStream requests an event stream and reads the whole response.
func (caller Caller) RequestStream(ctx context.Context, target, id string) Answer {
	response, err := caller.Send(ctx, http.MethodPost, target, id, []byte(cmp.Or(caller.Body, "prompt")))
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()

	body, err := io.ReadAll(response.Body)

	return Answer{Status: response.StatusCode, Body: string(body), Err: errors.Trace(err)}
}

// CompleteStream returns the body of a complete event stream by servers without a software version.
func CompleteStream() string {
	return streamOf("")
}

// streamOf returns the body of a complete event stream by servers of a software version.
func streamOf(software string) string {
	body := strings.Builder{}
	for number := range Events {
		fmt.Fprintf(&body, "id: %d\ndata: %s\n\n", number, emulator.SoftwareText(number, software))
	}

	return body.String()
}

// IsCompleteStream reports whether a body is a complete event stream of one software version.
func IsCompleteStream(body string) bool {
	return body == streamOf(softwareOf(body))
}

// BeginsStream reports whether a body is the beginning of an event stream of one software version.
func BeginsStream(body string) bool {
	return strings.HasPrefix(streamOf(softwareOf(body)), body)
}

// IsCompleteOutput reports whether an output is that of a completed item, of one software version.
func IsCompleteOutput(output string) bool {
	software, texts := softwareOf(output), []string{}
	for number := range Events {
		texts = append(texts, emulator.SoftwareText(number, software))
	}

	return output == emulator.PlatformOutput(texts)
}

// softwareOf returns the software version in the first text, or in the first event of a stream.
func softwareOf(text string) string {
	_, software, _ := strings.Cut(text, "@")
	software, _, _ = strings.Cut(software, "\n")

	return software
}

// ItemID returns the ID of an item of a job.
func ItemID(job string, number int) string {
	return fmt.Sprintf("%s-%d", job, number)
}

// SubmitJob submits a job with the given number of items to the route of the prefix.
// It returns the response's status, or 0 if none arrived.
func (caller Caller) SubmitJob(ctx context.Context, prefix, id string, count int) int {
	items := []string{}
	for number := range count {
		items = append(items, ItemID(id, number))
	}

	body, err := emulator.PlatformJob(prefix, items, caller.Parts)
	if err != nil {
		return 0
	}

	response, err := caller.Send(ctx, http.MethodPost, prefix+id, id, body)
	if err != nil {
		return 0
	}

	response.Body.Close()

	return response.StatusCode
}

// Result is the recorded result of an item.
type Result = emulator.PlatformResult

// ReadResults returns the response's status and the results of a job from a
// position on.
func (caller Caller) ReadResults(ctx context.Context, id string, after int) (int, []Result) {
	response, err := caller.Send(ctx, http.MethodGet, emulator.PlatformResultsPath(id, after), "", nil)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()

	if response.StatusCode != http.StatusOK {
		return response.StatusCode, nil
	}

	results, err := emulator.DecodePlatformResults(response.Body)
	if err != nil {
		return 0, nil
	}

	return http.StatusOK, results
}

// CompletedItems returns how many results of a job a gateway returns, or -1 if the request
// fails. It requires each of them to be complete.
func (deployment *Deployment) CompletedItems(gateway *Process, id string) int {
	status, results := NewCaller(gateway).ReadResults(deployment.T.Context(), id, 0)
	if status != http.StatusOK {
		return -1
	}

	for _, result := range results {
		require.Equal(deployment.T, "completed", result.State)
		require.True(deployment.T, IsCompleteOutput(result.Output), result.Output)
	}

	return len(results)
}
