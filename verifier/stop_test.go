package verifier

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/app"
	"limpetrail/handler"
	"limpetrail/observer"
)

// loadGenerator is a set of clients that each send one request after the other on
// kept-alive connections, as a load balancer does.
type loadGenerator struct {
	t      *testing.T
	client *http.Client
	// address is the address that requests are sent to; empty stops the clients.
	address atomic.Pointer[string]
	clients sync.WaitGroup
	mutex   sync.Mutex
	served  int
	// failures describes each request that was cut off or refused.
	failures []string
	// closeResponses counts the responses that asked to close the connection.
	closeResponses atomic.Int64
}

const (
	loadClientCount = 8
	loadBody        = `{"model":"briefing","stream":true,"max_tokens":60,"prompt":"Pollen in Moshi?"}`
)

func newLoadGenerator(fleet *fleet, entry string) *loadGenerator {
	load := &loadGenerator{t: fleet.t, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: loadClientCount}}}
	load.setTarget(fleet.addresses[entry])

	for range loadClientCount {
		load.clients.Go(func() {
			for address := *load.address.Load(); address != ""; address = *load.address.Load() {
				load.sendAndCount(address)
			}
		})
	}

	fleet.t.Cleanup(load.stop)

	return load
}

// setTarget changes the address that requests are sent to.
func (load *loadGenerator) setTarget(address string) {
	load.address.Store(&address)
}

func (load *loadGenerator) stop() {
	load.setTarget("")
	load.clients.Wait()
	load.client.CloseIdleConnections()
}

// awaitServed waits until that many more requests have been served.
func (load *loadGenerator) awaitServed(requests int) {
	load.t.Helper()

	before := load.servedCount()

	require.Eventually(load.t, func() bool { return load.servedCount() >= before+requests }, waitTimeout, 10*time.Millisecond)
}

func (load *loadGenerator) servedCount() int {
	load.mutex.Lock()
	defer load.mutex.Unlock()

	return load.served
}

func (load *loadGenerator) sendAndCount(address string) {
	failure := load.sendAndCheck(address)

	load.mutex.Lock()
	defer load.mutex.Unlock()

	if failure != "" {
		load.failures = append(load.failures, failure)

		return
	}

	load.served++
}

// sendAndCheck sends a request and returns what was wrong with the response; empty
// for nothing.
func (load *loadGenerator) sendAndCheck(address string) string {
	// The body has no GetBody, so the HTTP client can't hide a cut connection by
	// sending the request again.
	request, err := http.NewRequestWithContext(load.t.Context(), http.MethodPost, "http://"+address+"/v1/completions", io.NopCloser(strings.NewReader(loadBody)))
	if err != nil {
		return err.Error()
	}

	request.Header.Set(handler.WorkspaceHeader, "briefings")
	request.Header.Set("Content-Type", "application/json")

	response, err := load.client.Do(request)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()

	if response.Close {
		load.closeResponses.Add(1)
	}

	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}

	if response.StatusCode != http.StatusOK || !strings.HasSuffix(string(text), "data: [DONE]\n\n") {
		return fmt.Sprintf("%s: %s", response.Status, text)
	}

	return ""
}

func (load *loadGenerator) requireNoFailures() {
	load.t.Helper()

	load.mutex.Lock()
	defer load.mutex.Unlock()

	require.Empty(load.t, load.failures)
}

// readiness returns the status and body of the readiness page.
func (fleet *fleet) readiness(name string) (int, string) {
	request, err := http.NewRequestWithContext(fleet.t.Context(), http.MethodGet, "http://"+fleet.addresses[name]+app.PathReady, nil)
	require.NoError(fleet.t, err)
	request.Close = true

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()

	text, err := io.ReadAll(response.Body)
	require.NoError(fleet.t, err)

	return response.StatusCode, strings.TrimSpace(string(text))
}

// awaitSidecarsKnown waits until the entries serve completions and know every
// sidecar. An entry reads the list of instances each second; one that knows only the
// sidecar that the test is about to kill would have to refuse requests.
func (fleet *fleet) awaitSidecarsKnown(entries ...string) {
	fleet.t.Helper()

	client := newClient(fleet, "briefings")
	for _, entry := range entries {
		client.postUntil(http.StatusOK, entry, "/v1/completions", loadBody)
		require.Eventually(fleet.t, func() bool {
			return len(fleet.knownSidecars(entry)) == len(fleet.listedSidecars())
		}, waitTimeout, 50*time.Millisecond, "%s knows only %v", entry, fleet.knownSidecars(entry))
	}
}

// listedSidecars returns the names of the sidecars on the list of instances.
func (fleet *fleet) listedSidecars() []string {
	names := []string{}

	for _, instance := range fleet.instances {
		if !instance.Entry {
			names = append(names, instance.Name)
		}
	}

	return names
}

// knownSidecars returns the names of the sidecars that the entry knows.
func (fleet *fleet) knownSidecars(entry string) []string {
	fleet.t.Helper()

	response := newClient(fleet, "briefings").get(entry, "/v1/status")
	status := decode[observer.Status](fleet.t, response)
	names := []string{}

	for _, replica := range status.Replicas {
		names = append(names, replica.Name)
	}

	return names
}

func TestPlannedStopOfEntryCutsNoRequest(t *testing.T) {
	fleet := newFleet(t, exampleDocument())
	fleet.balancerLag = 5 * time.Second
	fleet.startSidecar("sidecar-1", "Engine", "briefing")
	fleet.startSidecar("sidecar-2", "Engine", "briefing")
	fleet.startEntry("entry-1")
	fleet.startEntry("entry-2")
	fleet.awaitSidecarsKnown("entry-1", "entry-2")

	status, text := fleet.readiness("entry-1")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "ready", text)

	load := newLoadGenerator(fleet, "entry-1")
	load.awaitServed(2 * loadClientCount)
	fleet.signal("entry-1", syscall.SIGTERM)

	// A load balancer continues to send requests for some time after the readiness
	// page has changed.
	require.Eventually(t, func() bool {
		status, text = fleet.readiness("entry-1")

		return status == http.StatusServiceUnavailable
	}, waitTimeout, 5*time.Millisecond)
	require.Equal(t, "leaving", text)
	// One request of each client was already running. The others were sent after
	// the page had changed.
	load.awaitServed(2 * loadClientCount)
	require.Positive(t, load.closeResponses.Load(), "no response asked for its connection to be closed")
	load.setTarget(fleet.addresses["entry-2"])

	<-fleet.processes["entry-1"].exited
	require.Equal(t, 0, fleet.processes["entry-1"].command.ProcessState.ExitCode())
	load.awaitServed(loadClientCount)
	load.stop()
	load.requireNoFailures()
}

func TestPlannedStopOfSidecarCutsNoRequest(t *testing.T) {
	fleet := newFleet(t, exampleDocument())
	fleet.startSidecar("sidecar-1", "Engine", "briefing")
	fleet.startSidecar("sidecar-2", "Engine", "briefing")
	fleet.startEntry("entry-1")
	fleet.awaitSidecarsKnown("entry-1")

	load := newLoadGenerator(fleet, "entry-1")
	load.awaitServed(2 * loadClientCount)
	// The list of instances is updated late, so it still has the sidecar.
	fleet.signal("sidecar-1", syscall.SIGTERM)

	<-fleet.processes["sidecar-1"].exited
	require.Equal(t, 0, fleet.processes["sidecar-1"].command.ProcessState.ExitCode())
	load.awaitServed(loadClientCount)
	load.stop()
	load.requireNoFailures()
}

func TestPlannedStopWaitsForARequestLongerThanTheBalancersLag(t *testing.T) {
	const tokens = 1500

	for _, name := range []string{"entry-1", "sidecar-1"} {
		t.Run(name, func(t *testing.T) {
			fleet := newFleet(t, exampleDocument())
			fleet.startSidecar("sidecar-1", "Engine", "briefing")
			fleet.startEntry("entry-1")
			fleet.awaitSidecarsKnown("entry-1")

			body := `{"model":"briefing","stream":true,"max_tokens":1500,"messages":[{"role":"user","content":"Pollen?"}]}`
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+fleet.addresses["entry-1"]+"/v1/chat/completions", strings.NewReader(body))
			require.NoError(t, err)
			request.Header.Set(handler.WorkspaceHeader, "briefings")

			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			defer response.Body.Close()

			fleet.signal(name, syscall.SIGTERM)

			responseBody, err := io.ReadAll(response.Body)
			require.NoError(t, err)

			text, done := answer{body: string(responseBody)}.streamedText(t)
			require.True(t, done)
			require.Equal(t, expectedText(body, tokens), text)

			http.DefaultClient.CloseIdleConnections()
			<-fleet.processes[name].exited
			require.Equal(t, 0, fleet.processes[name].command.ProcessState.ExitCode())
		})
	}
}

func TestIdleSidecarsStopOnSIGTERM(t *testing.T) {
	fleet := newFleet(t, exampleDocument())

	for kind, service := range map[string]string{"Engine": "briefing", "Service": "order"} {
		name := "sidecar-" + kind
		fleet.startSidecar(name, kind, service)
		fleet.awaitListening(name)
		fleet.signal(name, syscall.SIGTERM)
		<-fleet.processes[name].exited
		require.Equal(t, 0, fleet.processes[name].command.ProcessState.ExitCode())
	}
}

// awaitListening waits until the process accepts connections.
func (fleet *fleet) awaitListening(name string) {
	fleet.t.Helper()

	require.Eventually(fleet.t, func() bool {
		conn, err := (&net.Dialer{}).DialContext(fleet.t.Context(), "tcp", fleet.addresses[name])
		if err != nil {
			return false
		}

		return conn.Close() == nil
	}, waitTimeout, 10*time.Millisecond)
}
