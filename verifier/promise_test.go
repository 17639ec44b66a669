package verifier

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/checker"
	"limpetrail/classifier"
	"limpetrail/dispatcher"
	"limpetrail/emulator"
	"limpetrail/handler"
)

// recordingClient sends requests as callers do, and records them and their outcomes
// in a history for the checker.
type recordingClient struct {
	fleet   *fleet
	history *checker.History
	// inFlight counts the unfinished requests of each entry.
	inFlight map[string]*sync.WaitGroup

	mutex  sync.Mutex
	number int
	// refused holds the name that each refused request has in the history, by the
	// ID that the entry gave it.
	refused map[string]string
}

func newRecordingClient(fleet *fleet) *recordingClient {
	return &recordingClient{
		fleet:    fleet,
		history:  checker.NewHistory(),
		inFlight: map[string]*sync.WaitGroup{"entry-1": {}, "entry-2": {}},
		refused:  map[string]string{},
	}
}

// sendOrder sends a copy of the order with the key and returns its outcome.
func (client *recordingClient) sendOrder(entry, key string) checker.Event {
	return client.send(entry, orderPath, orderBody, key, checker.Event{Operation: key})
}

// sendCompletion requests a completion and returns its outcome.
func (client *recordingClient) sendCompletion(entry string) checker.Event {
	body := fmt.Sprintf(`{"model":"briefing","stream":true,"max_tokens":200,"messages":[{"content":"%s"}]}`, client.nextName())

	return client.send(entry, "/v1/chat/completions", body, "", checker.Event{Idempotent: true, ExpectedAnswer: expectedText(body, 200)})
}

// nextName returns a unique name for a request.
func (client *recordingClient) nextName() string {
	client.mutex.Lock()
	defer client.mutex.Unlock()

	client.number++

	return fmt.Sprintf("request %d", client.number)
}

func (client *recordingClient) send(entry, path, body, key string, sent checker.Event) checker.Event {
	sent.Kind, sent.Request = checker.KindSent, client.nextName()
	client.history.Add(sent)

	outcome := checker.Event{Kind: checker.KindConnectionLost, Request: sent.Request, Process: entry}

	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+client.fleet.addresses[entry]+path, io.NopCloser(strings.NewReader(body)))
	if err == nil {
		request.Header.Set(handler.WorkspaceHeader, map[bool]string{true: "briefings", false: "yard"}[key == ""])
		request.Header.Set("Content-Type", "application/json")

		if key != "" {
			request.Header.Set(handler.IdempotencyKeyHeader, key)
		}

		outcome = client.sendAndClassify(request, outcome)
	}

	client.history.Add(outcome)

	return outcome
}

// sendAndClassify sends the request and returns the event that describes its
// outcome.
func (client *recordingClient) sendAndClassify(request *http.Request, outcome checker.Event) checker.Event {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return outcome
	}
	defer response.Body.Close()

	text, err := io.ReadAll(response.Body)
	problem := classifier.Problem{}

	switch {
	case err != nil:
	case response.Header.Get("Content-Type") == classifier.ProblemContentType:
		if json.Unmarshal(text, &problem) == nil {
			outcome.Kind, outcome.Fate = checker.KindRefused, problem.Fate
			client.fleet.t.Logf("%s through %s was refused: %s", outcome.Request, outcome.Process, text)
		}

		client.mutex.Lock()
		client.refused[problem.RequestID] = outcome.Request
		client.mutex.Unlock()
	case strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream"):
		tokens, done := answer{body: string(text)}.streamedText(client.fleet.t)
		outcome.Kind, outcome.Text = checker.KindAnswered, tokens

		if !done {
			outcome.Kind, outcome.Fate = checker.KindRefused, classifier.MayHaveRun
		}
	default:
		outcome.Kind, outcome.Text = checker.KindAnswered, string(text)
	}

	return outcome
}

// sendOrdersAndCompletions sends, concurrently through both entries, an order with
// each key and as many completions.
func (client *recordingClient) sendOrdersAndCompletions(keys int) {
	for number := range keys {
		key := fmt.Sprintf("key-%d", number)

		for entry, sending := range client.inFlight {
			sending.Go(func() { client.sendOrder(entry, key) })
			sending.Go(func() { client.sendCompletion(entry) })
		}
	}
}

// requireConsistentHistory checks the history after every request has ended. A
// service records the ID of the copy that ran, which the client may not know, so the
// runs of all keys are counted together.
func (client *recordingClient) requireConsistentHistory(keys int, services ...string) {
	client.fleet.t.Helper()

	total := 0

	for _, name := range services {
		for id, count := range client.fleet.runsByRequest(name) {
			total += count
			requestID, _, _ := dispatcher.SplitAttemptID(id)

			if separator := strings.IndexAny(requestID, "~"); separator >= 0 {
				requestID = requestID[:separator]
			}

			for range count {
				client.history.Add(checker.Event{Kind: checker.KindStarted, Request: client.refused[requestID], BackendServer: name})
			}
		}
	}

	require.LessOrEqual(client.fleet.t, total, keys, "an order ran twice")
	require.Empty(client.fleet.t, checker.Check(client.history, checker.DefaultBounds()))
}

// newMixedFleet starts two entries, two model engines and two plain services.
func newMixedFleet(t *testing.T) (*fleet, *recordingClient) {
	t.Helper()

	fleet := newOrderFleet(t, "plain-1", "plain-2")
	fleet.startSidecar("model-1", "Engine", "briefing")
	fleet.startSidecar("model-2", "Engine", "briefing")
	fleet.awaitSidecarsKnown("entry-1", "entry-2")

	for _, entry := range []string{"entry-1", "entry-2"} {
		newOrderClient(fleet, "ready").postUntil(http.StatusOK, entry, orderPath, orderBody)
	}

	return fleet, newRecordingClient(fleet)
}

// processFault is a fault that a test injects into processes and the key-value
// service.
type processFault struct {
	// signals are sent to the named processes.
	signals map[string]syscall.Signal
	// store are the fault switches of the key-value service.
	store emulator.FaultSwitches
}

// inject starts the fault.
func (fault processFault) inject(fleet *fleet) {
	fleet.setFaults("kv", fault.store)

	for name, signal := range fault.signals {
		fleet.signal(name, signal)
	}
}

// undo ends the fault. Killed processes are not restarted.
func (fault processFault) undo(fleet *fleet) {
	fleet.setFaults("kv", emulator.FaultSwitches{})

	for name, signal := range fault.signals {
		if signal == syscall.SIGSTOP {
			fleet.signal(name, syscall.SIGCONT)
		}
	}
}

// Processes or the key-value service fail while orders and completions run. After
// the fault, a copy of every order is sent through the other entry. No order may run
// twice, and no outcome may contradict what ran.
func TestOrdersRunOnceWhenProcessesFail(t *testing.T) {
	const keys = 6

	for name, fault := range map[string]processFault{
		"a sidecar of each kind is killed":             {signals: map[string]syscall.Signal{"plain-1": syscall.SIGKILL, "model-1": syscall.SIGKILL}},
		"a sidecar of each kind is frozen and resumes": {signals: map[string]syscall.Signal{"plain-1": syscall.SIGSTOP, "model-1": syscall.SIGSTOP}},
		"an entry is frozen and resumes":               {signals: map[string]syscall.Signal{"entry-1": syscall.SIGSTOP}},
		"an entry and a sidecar are killed":            {signals: map[string]syscall.Signal{"entry-1": syscall.SIGKILL, "plain-1": syscall.SIGKILL}},
		"an entry is frozen and a sidecar is killed":   {signals: map[string]syscall.Signal{"entry-1": syscall.SIGSTOP, "plain-1": syscall.SIGKILL}},
		"the key-value service loses answers":          {store: emulator.FaultSwitches{DropAnswers: 4}},
		"the key-value service is frozen and an entry is killed": {
			store: emulator.FaultSwitches{Freeze: true}, signals: map[string]syscall.Signal{"entry-1": syscall.SIGKILL},
		},
		"the key-value service is down and a sidecar is frozen": {
			store: emulator.FaultSwitches{Outage: true}, signals: map[string]syscall.Signal{"plain-1": syscall.SIGSTOP},
		},
	} {
		t.Run(name, func(t *testing.T) {
			fleet, client := newMixedFleet(t)
			services := []string{"plain-1", "plain-2"}

			// The delay keeps orders running while the fault is injected.
			for _, service := range services {
				fleet.setFaults(service+"-backend", emulator.FaultSwitches{Delay: 200 * time.Millisecond})
			}

			before := fleet.totalRuns(services...)
			client.sendOrdersAndCompletions(keys)
			require.Eventually(t, func() bool { return fleet.totalRuns(services...) > before }, waitTimeout, time.Millisecond)
			fault.inject(fleet)
			// Requests through a frozen entry end only after it resumes.
			client.inFlight["entry-2"].Wait()
			fault.undo(fleet)
			client.inFlight["entry-1"].Wait()

			for number := range keys {
				client.retryUntilFateKnown(fmt.Sprintf("key-%d", number))
			}

			require.Equal(t, checker.KindAnswered, client.sendCompletion("entry-2").Kind)
			client.requireConsistentHistory(keys+before, services...)
		})
	}
}

// retryUntilFateKnown sends copies of the order through the other entry until one
// is no longer refused as not run. The fate of the order is final then.
func (client *recordingClient) retryUntilFateKnown(key string) {
	client.fleet.t.Helper()

	require.Eventually(client.fleet.t, func() bool {
		return client.sendOrder("entry-2", key).Fate != classifier.NotRun
	}, waitTimeout, 100*time.Millisecond)
}
