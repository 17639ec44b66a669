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
	// firstOrderResponse is the response of a service stand-in to its first order.
	firstOrderResponse = `{"Act":1,"Bytes":23}`
)

// newOrderFleet starts two entries, and the named sidecars with a plain service
// each.
func newOrderFleet(t *testing.T, sidecars ...string) *fleet {
	t.Helper()

	document := exampleDocument()
	document.Workspaces = append(document.Workspaces, editor.Workspace{Name: "yard", Firm: document.Firms[0].Name})

	fleet := newFleet(t, document)
	for _, name := range sidecars {
		fleet.startSidecar(name, "Service", "order")
	}

	fleet.startEntry("entry-1")
	fleet.startEntry("entry-2")

	return fleet
}

// newOrderClient returns a client that sends orders with the idempotency key.
func newOrderClient(fleet *fleet, key string) *client {
	client := newClient(fleet, "yard")
	client.headers[handler.IdempotencyKeyHeader] = key

	return client
}

// totalRuns returns how many times the sidecars' services have run any request.
func (fleet *fleet) totalRuns(sidecars ...string) int {
	fleet.t.Helper()

	total := 0

	for _, name := range sidecars {
		for _, count := range fleet.runsByRequest(name) {
			total += count
		}
	}

	return total
}

// runsByRequest returns how many times the sidecar's service has run each request,
// by request ID.
func (fleet *fleet) runsByRequest(name string) map[string]int {
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

// requireMayHaveRun checks that the response is a problem which says that the
// request may have run.
func requireMayHaveRun(t *testing.T, answer answer) {
	t.Helper()

	problem := classifier.Problem{}
	require.NoError(t, json.Unmarshal([]byte(answer.body), &problem), answer.body)
	require.Equal(t, classifier.MayHaveRun, problem.Fate, answer.body)
}

func TestKeyedOrderRunsOnceThroughTwoEntries(t *testing.T) {
	sidecars := []string{"sidecar-1", "sidecar-2"}
	fleet := newOrderFleet(t, sidecars...)
	orderer := newOrderClient(fleet, "monday")

	require.Equal(t, firstOrderResponse, orderer.postUntil(http.StatusOK, "entry-1", orderPath, orderBody).body)
	require.Equal(t, firstOrderResponse, orderer.postUntil(http.StatusOK, "entry-2", orderPath, orderBody).body)

	fleet.signal("entry-1", syscall.SIGKILL)
	fleet.signal("sidecar-1", syscall.SIGKILL)
	fleet.signal("sidecar-2", syscall.SIGKILL)

	// Only the stored record can provide the answer now.
	require.Equal(t, firstOrderResponse, orderer.postUntil(http.StatusOK, "entry-2", orderPath, orderBody).body)
	require.Equal(t, 1, fleet.totalRuns(sidecars...))
}

func TestOrderWhoseAnswerIsLostIsNotSentAgain(t *testing.T) {
	fleet := newOrderFleet(t, "sidecar-1")
	newOrderClient(fleet, "ready").postUntil(http.StatusOK, "entry-1", orderPath, orderBody)

	orderer := newOrderClient(fleet, "monday")
	fleet.post(fleet.addresses["sidecar-1-backend"], "/faults", emulator.FaultSwitches{DropAnswers: 1})

	// The service runs the order and closes the connection without a response. The
	// HTTP transport must not retry the request.
	answer := orderer.postUntil(http.StatusBadGateway, "entry-1", orderPath, orderBody)
	requireMayHaveRun(t, answer)

	answer = orderer.postUntil(http.StatusBadGateway, "entry-2", orderPath, orderBody)
	requireMayHaveRun(t, answer)
	require.Equal(t, 2, fleet.totalRuns("sidecar-1"))
}

// startUnansweredOrder sends an order with a key through the first entry of a new
// fleet. It returns when a service has run the order but has not responded yet.
func startUnansweredOrder(t *testing.T, sidecars ...string) (*fleet, *client, <-chan answer) {
	t.Helper()

	fleet := newOrderFleet(t, sidecars...)
	newOrderClient(fleet, "ready").postUntil(http.StatusOK, "entry-1", orderPath, orderBody)
	newOrderClient(fleet, "ready").postUntil(http.StatusOK, "entry-2", orderPath, orderBody)

	for _, name := range sidecars {
		fleet.post(fleet.addresses[name+"-backend"], "/faults", emulator.FaultSwitches{Freeze: true})
	}

	orderer := newOrderClient(fleet, "monday")
	first := make(chan answer, 1)

	go func() { first <- orderer.post("entry-1", orderPath, orderBody) }()

	require.Eventually(t, func() bool { return fleet.totalRuns(sidecars...) == 2 }, waitTimeout, 10*time.Millisecond)

	return fleet, orderer, first
}

func TestOrderAtAKilledSidecarIsNotRunElsewhere(t *testing.T) {
	sidecars := []string{"sidecar-1", "sidecar-2"}
	fleet, orderer, first := startUnansweredOrder(t, sidecars...)

	// Both are killed, because the test does not know which of them runs the order.
	fleet.signal("sidecar-1", syscall.SIGKILL)
	fleet.signal("sidecar-2", syscall.SIGKILL)

	requireMayHaveRun(t, <-first)
	requireMayHaveRun(t, orderer.post("entry-2", orderPath, orderBody))
	require.Equal(t, 2, fleet.totalRuns(sidecars...))
}

func TestOrderAtAFrozenSidecarIsSettledByALaterCopy(t *testing.T) {
	fleet, orderer, first := startUnansweredOrder(t, "sidecar-1")

	fleet.signal("sidecar-1", syscall.SIGSTOP)
	requireMayHaveRun(t, <-first)

	fleet.post(fleet.addresses["sidecar-1-backend"], "/faults", emulator.FaultSwitches{})
	fleet.signal("sidecar-1", syscall.SIGCONT)

	answer := orderer.postUntil(http.StatusOK, "entry-2", orderPath, orderBody)
	require.Contains(t, answer.body, `"Act":2`)
	require.Equal(t, 2, fleet.totalRuns("sidecar-1"))
}
