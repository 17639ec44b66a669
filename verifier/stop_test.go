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

// load is a set of clients that keep their connections alive and send one
// request after the other, as a balancer does.
type load struct {
	t      *testing.T
	client *http.Client
	// address is where the next request goes; empty ends the load.
	address atomic.Pointer[string]
	clients sync.WaitGroup
	mutex   sync.Mutex
	served  int
	// faults lists every request that was cut off or refused.
	faults []string
	closes atomic.Int64
}

const (
	loadClients = 8
	loadBody    = `{"model":"briefing","stream":true,"max_tokens":60,"prompt":"Pollen in Moshi?"}`
)

func newLoad(fleet *fleet, entry string) *load {
	load := &load{t: fleet.t, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: loadClients}}}
	load.send(fleet.addresses[entry])

	for range loadClients {
		load.clients.Go(func() {
			for address := *load.address.Load(); address != ""; address = *load.address.Load() {
				load.post(address)
			}
		})
	}

	fleet.t.Cleanup(load.stop)

	return load
}

// send points the load to another address.
func (load *load) send(address string) {
	load.address.Store(&address)
}

func (load *load) stop() {
	load.send("")
	load.clients.Wait()
	load.client.CloseIdleConnections()
}

// progress waits until that many more requests were served.
func (load *load) progress(requests int) {
	load.t.Helper()

	begun := load.count()

	require.Eventually(load.t, func() bool { return load.count() >= begun+requests }, patience, 10*time.Millisecond)
}

func (load *load) count() int {
	load.mutex.Lock()
	defer load.mutex.Unlock()

	return load.served
}

func (load *load) post(address string) {
	fault := load.request(address)

	load.mutex.Lock()
	defer load.mutex.Unlock()

	if fault != "" {
		load.faults = append(load.faults, fault)

		return
	}

	load.served++
}

// request returns what was wrong with the answer.
func (load *load) request(address string) string {
	// A body without GetBody keeps the client from hiding a cut connection by
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
		load.closes.Add(1)
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

func (load *load) requireWhole() {
	load.t.Helper()

	load.mutex.Lock()
	defer load.mutex.Unlock()

	require.Empty(load.t, load.faults)
}

// ready asks the readiness page.
func (fleet *fleet) ready(name string) (int, string) {
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

// warm waits until the entries serve completions and know every sidecar: one
// reads the list each second, and one that has seen only the sidecar that the
// test is about to kill has to refuse.
func (fleet *fleet) warm(entries ...string) {
	fleet.t.Helper()

	caller := newCaller(fleet, "briefings")
	for _, entry := range entries {
		caller.eventually(http.StatusOK, entry, "/v1/completions", loadBody)
		require.Eventually(fleet.t, func() bool {
			return len(fleet.known(entry)) == len(fleet.sidecars())
		}, patience, 50*time.Millisecond, "%s knows only %v", entry, fleet.known(entry))
	}
}

// sidecars names the sidecars on the list.
func (fleet *fleet) sidecars() []string {
	names := []string{}

	for _, instance := range fleet.instances {
		if !instance.Entry {
			names = append(names, instance.Name)
		}
	}

	return names
}

// known names the sidecars that the entry knows.
func (fleet *fleet) known(entry string) []string {
	fleet.t.Helper()

	response := newCaller(fleet, "briefings").get(entry, "/v1/status")
	status := parse[observer.Status](fleet.t, response)
	names := []string{}

	for _, replica := range status.Replicas {
		names = append(names, replica.Name)
	}

	return names
}

func TestPlannedStopOfEntryCutsNoRequest(t *testing.T) {
	fleet := newFleet(t, exampleDocument())
	fleet.balancerLag = 5 * time.Second
	fleet.sidecar("sidecar-1", "Engine", "briefing")
	fleet.sidecar("sidecar-2", "Engine", "briefing")
	fleet.entry("entry-1")
	fleet.entry("entry-2")
	fleet.warm("entry-1", "entry-2")

	status, word := fleet.ready("entry-1")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "ready", word)

	load := newLoad(fleet, "entry-1")
	load.progress(2 * loadClients)
	fleet.signal("entry-1", syscall.SIGTERM)

	// The balancer asks the page and goes on sending for a while.
	require.Eventually(t, func() bool {
		status, word = fleet.ready("entry-1")

		return status == http.StatusServiceUnavailable
	}, patience, 5*time.Millisecond)
	require.Equal(t, "leaving", word)
	// As many requests as there are clients were under way already.
	load.progress(2 * loadClients)
	require.Positive(t, load.closes.Load(), "no response asked for its connection to be closed")
	load.send(fleet.addresses["entry-2"])

	<-fleet.processes["entry-1"].ended
	require.Equal(t, 0, fleet.processes["entry-1"].command.ProcessState.ExitCode())
	load.progress(loadClients)
	load.stop()
	load.requireWhole()
}

func TestPlannedStopOfSidecarCutsNoRequest(t *testing.T) {
	fleet := newFleet(t, exampleDocument())
	fleet.sidecar("sidecar-1", "Engine", "briefing")
	fleet.sidecar("sidecar-2", "Engine", "briefing")
	fleet.entry("entry-1")
	fleet.warm("entry-1")

	load := newLoad(fleet, "entry-1")
	load.progress(2 * loadClients)
	// The instance list goes on naming the sidecar: it lags.
	fleet.signal("sidecar-1", syscall.SIGTERM)

	<-fleet.processes["sidecar-1"].ended
	require.Equal(t, 0, fleet.processes["sidecar-1"].command.ProcessState.ExitCode())
	load.progress(loadClients)
	load.stop()
	load.requireWhole()
}

func TestPlannedStopWaitsForARequestLongerThanTheBalancersLag(t *testing.T) {
	const tokens = 1500

	for _, name := range []string{"entry-1", "sidecar-1"} {
		t.Run(name, func(t *testing.T) {
			fleet := newFleet(t, exampleDocument())
			fleet.sidecar("sidecar-1", "Engine", "briefing")
			fleet.entry("entry-1")
			fleet.warm("entry-1")

			body := `{"model":"briefing","stream":true,"max_tokens":1500,"messages":[{"role":"user","content":"Pollen?"}]}`
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+fleet.addresses["entry-1"]+"/v1/chat/completions", strings.NewReader(body))
			require.NoError(t, err)
			request.Header.Set(handler.WorkspaceHeader, "briefings")

			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			defer response.Body.Close()

			fleet.signal(name, syscall.SIGTERM)

			whole, err := io.ReadAll(response.Body)
			require.NoError(t, err)

			text, done := answer{body: string(whole)}.tokens(t)
			require.True(t, done)
			require.Equal(t, wanted(body, tokens), text)

			http.DefaultClient.CloseIdleConnections()
			<-fleet.processes[name].ended
			require.Equal(t, 0, fleet.processes[name].command.ProcessState.ExitCode())
		})
	}
}

func TestPlannedStopOfIdleSidecars(t *testing.T) {
	fleet := newFleet(t, exampleDocument())

	for kind, service := range map[string]string{"Engine": "briefing", "Service": "order"} {
		name := "sidecar-" + kind
		fleet.sidecar(name, kind, service)
		fleet.listening(name)
		fleet.signal(name, syscall.SIGTERM)
		<-fleet.processes[name].ended
		require.Equal(t, 0, fleet.processes[name].command.ProcessState.ExitCode())
	}
}

// listening waits until the process takes connections.
func (fleet *fleet) listening(name string) {
	fleet.t.Helper()

	require.Eventually(fleet.t, func() bool {
		conn, err := (&net.Dialer{}).DialContext(fleet.t.Context(), "tcp", fleet.addresses[name])
		if err != nil {
			return false
		}

		return conn.Close() == nil
	}, patience, 10*time.Millisecond)
}
