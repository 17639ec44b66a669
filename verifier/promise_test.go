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

// witness sends requests of callers and records what became of them.
type witness struct {
	fleet   *fleet
	history *checker.History
	// sending counts the requests under way through each entry.
	sending map[string]*sync.WaitGroup

	mutex  sync.Mutex
	number int
	// refused holds the witness's name of each request that was refused, by
	// the ID that its entry gave it.
	refused map[string]string
}

func newWitness(fleet *fleet) *witness {
	return &witness{
		fleet:   fleet,
		history: checker.NewHistory(),
		sending: map[string]*sync.WaitGroup{"entry-1": {}, "entry-2": {}},
		refused: map[string]string{},
	}
}

// order sends a copy of the order with the key and returns its end.
func (witness *witness) order(entry, key string) checker.Event {
	return witness.send(entry, orderPath, orderBody, key, checker.Event{Operation: key})
}

// complete asks for a completion and returns its end.
func (witness *witness) complete(entry string) checker.Event {
	body := fmt.Sprintf(`{"model":"briefing","stream":true,"max_tokens":200,"messages":[{"content":"%s"}]}`, witness.name())

	return witness.send(entry, "/v1/chat/completions", body, "", checker.Event{Idempotent: true, ExpectedAnswer: wanted(body, 200)})
}

// name returns a name for one more request.
func (witness *witness) name() string {
	witness.mutex.Lock()
	defer witness.mutex.Unlock()

	witness.number++

	return fmt.Sprintf("request %d", witness.number)
}

func (witness *witness) send(entry, path, body, key string, sent checker.Event) checker.Event {
	sent.Kind, sent.Request = checker.KindSent, witness.name()
	witness.history.Add(sent)

	end := checker.Event{Kind: checker.KindConnectionLost, Request: sent.Request, Process: entry}

	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+witness.fleet.addresses[entry]+path, io.NopCloser(strings.NewReader(body)))
	if err == nil {
		request.Header.Set(handler.WorkspaceHeader, map[bool]string{true: "briefings", false: "yard"}[key == ""])
		request.Header.Set("Content-Type", "application/json")

		if key != "" {
			request.Header.Set(handler.IdempotencyKeyHeader, key)
		}

		end = witness.read(request, end)
	}

	witness.history.Add(end)

	return end
}

// read sends the request and turns what comes back into its end.
func (witness *witness) read(request *http.Request, end checker.Event) checker.Event {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return end
	}
	defer response.Body.Close()

	text, err := io.ReadAll(response.Body)
	problem := classifier.Problem{}

	switch {
	case err != nil:
	case response.Header.Get("Content-Type") == classifier.ProblemContentType:
		if json.Unmarshal(text, &problem) == nil {
			end.Kind, end.Fate = checker.KindRefused, problem.Fate
			witness.fleet.t.Logf("%s through %s was refused: %s", end.Request, end.Process, text)
		}

		witness.mutex.Lock()
		witness.refused[problem.RequestID] = end.Request
		witness.mutex.Unlock()
	case strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream"):
		tokens, done := answer{body: string(text)}.tokens(witness.fleet.t)
		end.Kind, end.Text = checker.KindAnswered, tokens

		if !done {
			end.Kind, end.Fate = checker.KindRefused, classifier.MayHaveRun
		}
	default:
		end.Kind, end.Text = checker.KindAnswered, string(text)
	}

	return end
}

// spread sends orders, each key through both entries at once, and completions.
func (witness *witness) spread(keys int) {
	for number := range keys {
		key := fmt.Sprintf("key-%d", number)

		for entry, sending := range witness.sending {
			sending.Go(func() { witness.order(entry, key) })
			sending.Go(func() { witness.complete(entry) })
		}
	}
}

// rest checks that nothing is broken once every request has ended.
// An act bears the ID of the copy that ran, which its caller may not know, so
// that the acts of all keys are counted together.
func (witness *witness) rest(keys int, services ...string) {
	witness.fleet.t.Helper()

	total := 0

	for _, name := range services {
		for id, count := range witness.fleet.actsOf(name) {
			total += count
			copied, _, _ := dispatcher.SplitAttemptID(id)

			if end := strings.IndexAny(copied, "~"); end >= 0 {
				copied = copied[:end]
			}

			for range count {
				witness.history.Add(checker.Event{Kind: checker.KindStarted, Request: witness.refused[copied], BackendServer: name})
			}
		}
	}

	require.LessOrEqual(witness.fleet.t, total, keys, "an order ran twice")
	require.Empty(witness.fleet.t, checker.Check(witness.history, checker.DefaultBounds()))
}

// newMixedFleet starts two entries, two model engines and two plain services.
func newMixedFleet(t *testing.T) (*fleet, *witness) {
	t.Helper()

	fleet := newOrderFleet(t, "plain-1", "plain-2")
	fleet.sidecar("model-1", "Engine", "briefing")
	fleet.sidecar("model-2", "Engine", "briefing")
	fleet.warm("entry-1", "entry-2")

	for _, entry := range []string{"entry-1", "entry-2"} {
		newOrderer(fleet, "ready").eventually(http.StatusOK, entry, orderPath, orderBody)
	}

	return fleet, newWitness(fleet)
}

// processFault is what a test does to processes and the key-value service.
type processFault struct {
	// signals are sent to processes.
	signals map[string]syscall.Signal
	// store are the switches of the key-value service.
	store emulator.FaultSwitches
}

// bring brings the fault about.
func (fault processFault) bring(fleet *fleet) {
	fleet.faults("kv", fault.store)

	for name, signal := range fault.signals {
		fleet.signal(name, signal)
	}
}

// end ends the fault where that is possible.
func (fault processFault) end(fleet *fleet) {
	fleet.faults("kv", emulator.FaultSwitches{})

	for name, signal := range fault.signals {
		if signal == syscall.SIGSTOP {
			fleet.signal(name, syscall.SIGCONT)
		}
	}
}

// Processes and the key-value service fail while orders and completions are
// under way; once it is over, a copy of every order goes through the other
// entry.
func TestPromisesHoldWhenProcessesFail(t *testing.T) {
	const keys = 6

	for name, fault := range map[string]processFault{
		"a sidecar of each kind is killed":           {signals: map[string]syscall.Signal{"plain-1": syscall.SIGKILL, "model-1": syscall.SIGKILL}},
		"a sidecar of each kind is frozen and wakes": {signals: map[string]syscall.Signal{"plain-1": syscall.SIGSTOP, "model-1": syscall.SIGSTOP}},
		"an entry is frozen and wakes":               {signals: map[string]syscall.Signal{"entry-1": syscall.SIGSTOP}},
		"an entry and a sidecar are killed":          {signals: map[string]syscall.Signal{"entry-1": syscall.SIGKILL, "plain-1": syscall.SIGKILL}},
		"an entry is frozen and a sidecar killed":    {signals: map[string]syscall.Signal{"entry-1": syscall.SIGSTOP, "plain-1": syscall.SIGKILL}},
		"the key-value service loses answers":        {store: emulator.FaultSwitches{DropAnswers: 4}},
		"the key-value service is frozen and an entry is killed": {
			store: emulator.FaultSwitches{Freeze: true}, signals: map[string]syscall.Signal{"entry-1": syscall.SIGKILL},
		},
		"the key-value service is down and a sidecar is frozen": {
			store: emulator.FaultSwitches{Outage: true}, signals: map[string]syscall.Signal{"plain-1": syscall.SIGSTOP},
		},
	} {
		t.Run(name, func(t *testing.T) {
			fleet, witness := newMixedFleet(t)
			services := []string{"plain-1", "plain-2"}

			// Orders are under way for a while.
			for _, service := range services {
				fleet.faults(service+"-backend", emulator.FaultSwitches{Delay: 200 * time.Millisecond})
			}

			before := fleet.acts(services...)
			witness.spread(keys)
			require.Eventually(t, func() bool { return fleet.acts(services...) > before }, patience, time.Millisecond)
			fault.bring(fleet)
			// Requests through a frozen entry end after it wakes.
			witness.sending["entry-2"].Wait()
			fault.end(fleet)
			witness.sending["entry-1"].Wait()

			for number := range keys {
				witness.settle(fmt.Sprintf("key-%d", number))
			}

			require.Equal(t, checker.KindAnswered, witness.complete("entry-2").Kind)
			witness.rest(keys+before, services...)
		})
	}
}

// settle sends copies of the order through the other entry until one is not
// refused as not run; then its fate is known for good.
func (witness *witness) settle(key string) {
	witness.fleet.t.Helper()

	require.Eventually(witness.fleet.t, func() bool {
		return witness.order("entry-2", key).Fate != classifier.NotRun
	}, patience, 100*time.Millisecond)
}
