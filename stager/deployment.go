package stager

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
)

const (
	// Patience is how long a condition may take to hold; a busy machine needs
	// many times what an idle one does.
	Patience = 20 * time.Second
	// Events is how many events a stream or an item has.
	Events = 20
	// serversStarted is how many backend servers a deployment has.
	serversStarted = 3
)

// Deployment is separate processes before stand-ins of the platform.
type Deployment struct {
	T      *testing.T
	Binary string
	Store  *emulator.PlatformStore
	// Servers are the backend servers, each behind the link of its index.
	Servers     []*emulator.EventServer
	ServerLinks []*Link
	// Gateways and Holders are those that were started, by name.
	Gateways map[string]*Process
	Holders  map[string]*Process

	storeAddress string
	seeds        []string
}

// NewDeployment builds the program and starts the stand-ins.
func NewDeployment(t *testing.T) *Deployment {
	t.Helper()

	binary := filepath.Join(t.TempDir(), "limpetrail")
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "limpetrail/cmd/limpetrail").CombinedOutput() //nolint:gosec // The arguments are fixed but for a folder of the test.
	require.NoError(t, err, string(output))

	deployment := &Deployment{T: t, Binary: binary, Store: emulator.NewPlatformStore(), Gateways: map[string]*Process{}, Holders: map[string]*Process{}}
	deployment.storeAddress = deployment.serve(deployment.Store)

	for index := range serversStarted {
		server := emulator.NewEventServer(fmt.Sprintf("i-%d", index), emulator.PlatformEventHeaders())
		server.Events = Events
		link := deployment.Link(deployment.serve(server))
		deployment.Servers = append(deployment.Servers, server)
		deployment.ServerLinks = append(deployment.ServerLinks, link)

		deployment.List(index)
	}

	deployment.Configure(3)

	return deployment
}

// List writes the entry of a backend server into the store, as ready.
func (deployment *Deployment) List(index int) {
	deployment.enter(index, emulator.PlatformReady)
}

// Leave says that a backend server is leaving. It goes on serving.
func (deployment *Deployment) Leave(index int) {
	deployment.enter(index, emulator.PlatformLeaving)
}

func (deployment *Deployment) enter(index int, state string) {
	server := deployment.Servers[index]
	deployment.Store.Catalog.Put(emulator.PlatformServer(server.ID, deployment.ServerLinks[index].Address, state, index+1))
}

// Configure writes a version of the operators' configuration.
func (deployment *Deployment) Configure(version int) {
	deployment.Store.Catalog.Put(emulator.PlatformDocumentKey, emulator.PlatformDocument(version))
}

// Link starts a link to a target that ends with the test.
func (deployment *Deployment) Link(target string) *Link {
	link, err := NewLink(deployment.T.Context(), target)
	require.NoError(deployment.T, err)

	return link
}

// serve runs a handler until the test's end and returns its address.
func (deployment *Deployment) serve(handler http.Handler) string {
	web := httptest.NewServer(handler)
	deployment.T.Cleanup(web.CloseClientConnections)

	return strings.TrimPrefix(web.URL, "http://")
}

const (
	// firstPort and lastPort bound the ports of processes. They lie below those
	// that systems give to outgoing connections, which come and go meanwhile.
	firstPort = 15000
	lastPort  = 30000
)

// port returns a loopback address that nobody listens at now.
func (deployment *Deployment) port() string {
	for {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+rand.N(lastPort-firstPort)))

		listener, err := (&net.ListenConfig{}).Listen(deployment.T.Context(), "tcp", address)
		if err != nil {
			continue
		}

		require.NoError(deployment.T, listener.Close())

		return address
	}
}

// Starts runs a gateway and returns when it is ready.
func (deployment *Deployment) Starts(name string) *Process {
	started := deployment.Begins(name)
	deployment.Eventually(func() bool { return deployment.IsReady(started) }, "the gateway is ready")

	return started
}

// Begins runs a gateway. One of the same name has its addresses again.
func (deployment *Deployment) Begins(name string) *Process {
	started := &Process{Name: name, Callers: deployment.port(), Ready: deployment.port(), Operations: deployment.port()}
	if before := deployment.Gateways[name]; before != nil {
		started.Callers, started.Ready, started.Operations, started.StoreLink = before.Callers, before.Ready, before.Operations, before.StoreLink
	} else {
		started.StoreLink = deployment.Link(deployment.storeAddress)
		deployment.seeds = append(deployment.seeds, started.Operations)
	}

	started.start(deployment.T, deployment.Binary, "gateway", fmt.Sprintf("[Instance]\nName = %s\nDataCentre = a\n[Listen]\nCallers = %s\nReady = %s\nPeers = %s\nOperations = %s\nSeeds = %s\n[Catalog]\nAddress = %s\n[Stop]\nBalancerLag = 500ms\n",
		name, started.Callers, started.Ready, deployment.port(), started.Operations, strings.Join(deployment.seeds, ","), started.StoreLink.Address))
	deployment.Gateways[name] = started

	return started
}

// IsReady tells whether the balancer would send callers to a gateway.
func (deployment *Deployment) IsReady(gateway *Process) bool {
	request, err := http.NewRequestWithContext(deployment.T.Context(), http.MethodGet, "http://"+gateway.Ready+emulator.PlatformReadyPath, nil)
	require.NoError(deployment.T, err)

	client := http.Client{Timeout: time.Second}

	response, err := client.Do(request)
	if err != nil {
		return false
	}

	response.Body.Close()

	return response.StatusCode == http.StatusOK
}

// Holds runs a holder and returns when it is listed.
func (deployment *Deployment) Holds(name string) *Process {
	before := len(deployment.members())
	holder := deployment.BeginsHolder(name)
	deployment.Eventually(func() bool { return len(deployment.members()) > before }, "the holder is listed")

	return holder
}

// BeginsHolder runs a holder. One of the same name has its address and its disk
// again.
func (deployment *Deployment) BeginsHolder(name string) *Process {
	holder := &Process{Name: name}

	if before := deployment.Holders[name]; before != nil {
		holder.Operations, holder.Folder, holder.StoreLink = before.Operations, before.Folder, before.StoreLink
	} else {
		holder.Operations, holder.Folder, holder.StoreLink = deployment.port(), deployment.T.TempDir(), deployment.Link(deployment.storeAddress)
	}

	holder.start(deployment.T, deployment.Binary, "holder", fmt.Sprintf("[Instance]\nName = %s\nDataCentre = a\n[Listen]\nOperations = %s\n[Catalog]\nAddress = %s\n[Data]\nFolder = %s\n",
		name, holder.Operations, holder.StoreLink.Address, holder.Folder))
	deployment.Holders[name] = holder

	return holder
}

func (deployment *Deployment) members() []string {
	page, err := deployment.Store.Catalog.View().Range(deployment.T.Context(), "limpetrail/members/", "", false)
	require.NoError(deployment.T, err)

	names := []string{}
	for _, item := range page.Items {
		names = append(names, item.Key)
	}

	return names
}

// Ends sends a signal and waits for the process's end.
func (deployment *Deployment) Ends(process *Process, signal syscall.Signal) {
	process.Signal(signal)

	select {
	case <-process.Ended:
	case <-time.After(Patience):
		require.Fail(deployment.T, "the process does not end")
	}
}

// Eventually waits until a condition holds.
func (deployment *Deployment) Eventually(condition func() bool, message string) {
	deployment.T.Helper()
	require.Eventually(deployment.T, condition, Patience, 20*time.Millisecond, message)
}
