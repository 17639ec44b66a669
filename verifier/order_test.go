package verifier

import (
	"encoding/json"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/classifier"
	"limpetrail/editor"
	"limpetrail/emulator"
	"limpetrail/handler"
)

const (
	orderPath = "/v1/services/order/orders"
	orderBody = `{"Machine":"excavator"}`
	// firstAct is the answer of a service that acts for the first time.
	firstAct = `{"Act":1,"Bytes":23}`
)

// newOrderFleet starts two entries and a sidecar beside each named service.
func newOrderFleet(t *testing.T, sidecars ...string) *fleet {
	t.Helper()

	document := exampleDocument()
	document.Workspaces = append(document.Workspaces, editor.Workspace{Name: "yard", Firm: document.Firms[0].Name})

	fleet := newFleet(t, document)
	for _, name := range sidecars {
		fleet.sidecar(name, "Service", "order")
	}

	fleet.entry("entry-1")
	fleet.entry("entry-2")

	return fleet
}

func newOrderer(fleet *fleet, key string) *caller {
	caller := newCaller(fleet, "yard")
	caller.headers[handler.IdempotencyKeyHeader] = key

	return caller
}

// acts is how often the services acted on any request.
func (fleet *fleet) acts(sidecars ...string) int {
	fleet.t.Helper()

	total := 0

	for _, name := range sidecars {
		for _, count := range fleet.actsOf(name) {
			total += count
		}
	}

	return total
}

// actsOf is how often the service beside the sidecar acted, by request ID.
func (fleet *fleet) actsOf(name string) map[string]int {
	fleet.t.Helper()

	request, err := http.NewRequestWithContext(fleet.t.Context(), http.MethodGet, "http://"+fleet.addresses[name+"-backend"]+"/acts", nil)
	require.NoError(fleet.t, err)

	response, err := http.DefaultClient.Do(request)
	require.NoError(fleet.t, err)
	defer response.Body.Close()

	body, err := io.ReadAll(response.Body)
	require.NoError(fleet.t, err)

	counts := map[string]int{}
	require.NoError(fleet.t, json.Unmarshal(body, &counts))

	return counts
}

// requireMayHaveRun checks that the answer is a refusal that says so.
func requireMayHaveRun(t *testing.T, answer answer) {
	t.Helper()

	problem := classifier.Problem{}
	require.NoError(t, json.Unmarshal([]byte(answer.body), &problem), answer.body)
	require.Equal(t, classifier.MayHaveRun, problem.Fate, answer.body)
}

func TestKeyedOrderRunsOnceThroughTwoEntries(t *testing.T) {
	sidecars := []string{"sidecar-1", "sidecar-2"}
	fleet := newOrderFleet(t, sidecars...)
	orderer := newOrderer(fleet, "monday")

	require.Equal(t, firstAct, orderer.eventually(http.StatusOK, "entry-1", orderPath, orderBody).body)
	require.Equal(t, firstAct, orderer.eventually(http.StatusOK, "entry-2", orderPath, orderBody).body)

	fleet.signal("entry-1", syscall.SIGKILL)
	fleet.signal("sidecar-1", syscall.SIGKILL)
	fleet.signal("sidecar-2", syscall.SIGKILL)

	// The record alone answers now.
	require.Equal(t, firstAct, orderer.eventually(http.StatusOK, "entry-2", orderPath, orderBody).body)
	require.Equal(t, 1, fleet.acts(sidecars...))
}

func TestOrderWhoseAnswerIsLostIsNotSentAgain(t *testing.T) {
	fleet := newOrderFleet(t, "sidecar-1")
	newOrderer(fleet, "ready").eventually(http.StatusOK, "entry-1", orderPath, orderBody)

	orderer := newOrderer(fleet, "monday")
	fleet.post(fleet.addresses["sidecar-1-backend"], "/faults", emulator.FaultSwitches{DropAnswers: 1})

	// The service acts and closes the connection without an answer; the HTTP
	// transport must not take the call for one that it may repeat.
	answer := orderer.eventually(http.StatusBadGateway, "entry-1", orderPath, orderBody)
	requireMayHaveRun(t, answer)

	answer = orderer.eventually(http.StatusBadGateway, "entry-2", orderPath, orderBody)
	requireMayHaveRun(t, answer)
	require.Equal(t, 2, fleet.acts("sidecar-1"))
}

// runningOrder sends a keyed order through the first entry of a new fleet and
// returns once a service has acted on it, but does not answer it.
func runningOrder(t *testing.T, sidecars ...string) (*fleet, *caller, <-chan answer) {
	t.Helper()

	fleet := newOrderFleet(t, sidecars...)
	newOrderer(fleet, "ready").eventually(http.StatusOK, "entry-1", orderPath, orderBody)
	newOrderer(fleet, "ready").eventually(http.StatusOK, "entry-2", orderPath, orderBody)

	for _, name := range sidecars {
		fleet.post(fleet.addresses[name+"-backend"], "/faults", emulator.FaultSwitches{Freeze: true})
	}

	orderer := newOrderer(fleet, "monday")
	first := make(chan answer, 1)

	go func() { first <- orderer.post("entry-1", orderPath, orderBody) }()

	require.Eventually(t, func() bool { return fleet.acts(sidecars...) == 2 }, patience, 10*time.Millisecond)

	return fleet, orderer, first
}

func TestOrderAtAKilledSidecarIsNotRunElsewhere(t *testing.T) {
	sidecars := []string{"sidecar-1", "sidecar-2"}
	fleet, orderer, first := runningOrder(t, sidecars...)

	// Both are killed, since the test does not know which of them runs it.
	fleet.signal("sidecar-1", syscall.SIGKILL)
	fleet.signal("sidecar-2", syscall.SIGKILL)

	requireMayHaveRun(t, <-first)
	requireMayHaveRun(t, orderer.post("entry-2", orderPath, orderBody))
	require.Equal(t, 2, fleet.acts(sidecars...))
}

func TestOrderAtAFrozenSidecarIsSettledByALaterCopy(t *testing.T) {
	fleet, orderer, first := runningOrder(t, "sidecar-1")

	fleet.signal("sidecar-1", syscall.SIGSTOP)
	requireMayHaveRun(t, <-first)

	fleet.post(fleet.addresses["sidecar-1-backend"], "/faults", emulator.FaultSwitches{})
	fleet.signal("sidecar-1", syscall.SIGCONT)

	answer := orderer.eventually(http.StatusOK, "entry-2", orderPath, orderBody)
	require.Contains(t, answer.body, `"Act":2`)
	require.Equal(t, 2, fleet.acts("sidecar-1"))
}
