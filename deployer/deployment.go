package deployer

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
)

const (
	// ConditionTimeout is how long to wait for a condition; a busy machine needs many times
	// what an idle one does.
	ConditionTimeout = 20 * time.Second
	// Events is the number of events of a stream or an item.
	Events = 20
	// serverCount is the number of backend servers of a deployment.
	serverCount = 3
)

// Deployment is a set of processes of the system that run against emulators of the
// platform.
type Deployment struct {
	T      *testing.T
	Binary string
	Store  *emulator.PlatformStore
	// StoreAddress is where the store listens; processes reach it through their links.
	StoreAddress string
	// Servers are the backend servers; ServerLinks holds the link of each at the same
	// index.
	Servers     []*emulator.EventServer
	ServerLinks []*Link
	// Gateways and Holders hold the process started last under each name.
	Gateways map[string]*Process
	Holders  map[string]*Process
	// StopGrace is the grace of gateways that are started from now on; 0 for the default.
	StopGrace time.Duration
	// GatewayMemory is the memory limit of gateways in megabytes; 0 for none.
	GatewayMemory int

	// workspaces is set if the configuration has workspaces.
	workspaces atomic.Bool
	// mislabelled counts the requests that reached a backend server with a key, or without the
	// workspace of the callers.
	mislabelled atomic.Int64

	// incarnations counts the starts of each backend server.
	incarnations [serverCount]atomic.Int64

	// startedServers counts the servers that StartServer started.
	startedServers atomic.Int64

	gatewaySeeds []string
}

// buildLock lets one deployment build at a time: the others then take the packages from the build
// cache instead of compiling them as well.
var buildLock sync.Mutex

// buildProgram builds the program into a folder of the test and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()

	buildLock.Lock()
	defer buildLock.Unlock()

	binary := filepath.Join(t.TempDir(), "limpetrail")
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "limpetrail/cmd/limpetrail").CombinedOutput() //nolint:gosec // The arguments are fixed but for a folder of the test.
	require.NoError(t, err, string(output))

	return binary
}

// NewDeployment builds the program and starts the emulators.
func NewDeployment(t *testing.T) *Deployment {
	t.Helper()

	deployment := &Deployment{T: t, Binary: buildProgram(t), Store: emulator.NewPlatformStore(), Gateways: map[string]*Process{}, Holders: map[string]*Process{}}
	deployment.StoreAddress = deployment.startHTTPServer(deployment.Store)

	for index := range serverCount {
		server := emulator.NewEventServer(fmt.Sprintf("i-%d", index), emulator.PlatformEventHeaders())
		server.EventCount = Events
		link := deployment.StartLink(deployment.startHTTPServer(deployment.checkLabels(server)))
		server.Crash = func() { go deployment.restartServer(index) }
		deployment.Servers = append(deployment.Servers, server)
		deployment.ServerLinks = append(deployment.ServerLinks, link)

		server.SetStart("", int64(deployment.bornAt(index, 0)))
		deployment.MarkServerReady(index)
	}

	deployment.WriteConfiguration(3)

	return deployment
}

// StartServer starts a backend server of a service, with so many places, that is ready from then on.
func (deployment *Deployment) StartServer(service string, places int) *emulator.EventServer {
	server := emulator.NewEventServer(fmt.Sprintf("i-%s-%d", service, deployment.startedServers.Add(1)), emulator.PlatformEventHeaders())
	deployment.Store.Catalog.Put(emulator.PlatformServiceEntry(service, server.ID, deployment.startHTTPServer(server), places))

	return server
}

// MarkServerReady writes the entry of a backend server to the store, in the state
// ready.
func (deployment *Deployment) MarkServerReady(index int) {
	deployment.writeServerEntry(index, emulator.PlatformReady)
}

// MarkServerLeaving sets the entry of a backend server to leaving. The server
// continues to serve.
func (deployment *Deployment) MarkServerLeaving(index int) {
	deployment.writeServerEntry(index, emulator.PlatformLeaving)
}

func (deployment *Deployment) writeServerEntry(index int, state string) {
	server := deployment.Servers[index]
	deployment.Store.Catalog.Put(emulator.PlatformServerEntry(server.ID, deployment.ServerLinks[index].Address, state, server.Software(), deployment.bornAt(index, deployment.incarnations[index].Load())))
}

// bornAt identifies a start of a backend server.
func (deployment *Deployment) bornAt(index int, incarnation int64) int {
	return int(incarnation)*serverCount + index + 1
}

// serverDowntime is how long a backend server that crashed is away.
const serverDowntime = time.Second

// restartServer ends the process of a backend server and starts it again.
func (deployment *Deployment) restartServer(index int) {
	deployment.ReplaceServer(index, deployment.Servers[index].Software())
}

// ReplaceServer ends the process of a backend server and starts one with the software version under
// its ID. The store's entry follows a moment later.
func (deployment *Deployment) ReplaceServer(index int, software string) {
	if deployment.ReplaceUnlisted(index, software) {
		deployment.MarkServerReady(index)
	}
}

// ReplaceUnlisted is ReplaceServer for a server whose entry does not follow yet. It returns false if
// the server was away already.
func (deployment *Deployment) ReplaceUnlisted(index int, software string) bool {
	incarnation := deployment.incarnations[index].Load() + 1
	deployment.Servers[index].SetStart(software, int64(deployment.bornAt(index, incarnation)))

	if !deployment.ServerLinks[index].Crash(deployment.T.Context(), serverDowntime) {
		return false
	}

	deployment.incarnations[index].Store(incarnation)

	return true
}

// WriteConfiguration writes a version of the operators' configuration to the store.
func (deployment *Deployment) WriteConfiguration(version int) {
	document := emulator.PlatformDocument(version)
	if deployment.workspaces.Load() {
		document = withWorkspaces(document)
	}

	deployment.Store.Catalog.Put(emulator.PlatformDocumentKey, document)
}

// StartLink starts a link to a target; it stops with the test.
func (deployment *Deployment) StartLink(target string) *Link {
	link, err := NewLink(deployment.T.Context(), target)
	require.NoError(deployment.T, err)

	return link
}

// startHTTPServer serves a handler until the test ends and returns the address.
func (deployment *Deployment) startHTTPServer(handler http.Handler) string {
	server := httptest.NewServer(handler)
	deployment.T.Cleanup(server.CloseClientConnections)

	return strings.TrimPrefix(server.URL, "http://")
}

// ServeEndless lets a server answer the connections of an address until the test ends, and returns
// the address.
func (deployment *Deployment) ServeEndless(address string, server emulator.EndlessServer) string {
	listener, err := (&net.ListenConfig{}).Listen(deployment.T.Context(), "tcp", address)
	require.NoError(deployment.T, err)
	deployment.T.Cleanup(func() { listener.Close() })

	go server.Serve(listener)

	return listener.Addr().String()
}

// StartGateway starts a gateway and waits until it is ready.
func (deployment *Deployment) StartGateway(name string) *Process {
	gateway := deployment.LaunchGateway(name)
	deployment.Eventually(func() bool { return deployment.IsReady(gateway) }, "the gateway is ready")

	return gateway
}

// LaunchGateway starts a gateway without waiting for it. A restarted gateway keeps its
// addresses.
func (deployment *Deployment) LaunchGateway(name string) *Process {
	gateway := &Process{Name: name, CallerAddress: freeAddress(deployment.T.Context()), ReadyAddress: freeAddress(deployment.T.Context()), OperationsAddress: freeAddress(deployment.T.Context())}
	if previous := deployment.Gateways[name]; previous != nil {
		gateway.CallerAddress, gateway.ReadyAddress, gateway.OperationsAddress, gateway.StoreLink = previous.CallerAddress, previous.ReadyAddress, previous.OperationsAddress, previous.StoreLink
	} else {
		gateway.StoreLink = deployment.StartLink(deployment.StoreAddress)
		deployment.gatewaySeeds = append(deployment.gatewaySeeds, gateway.OperationsAddress)
	}

	settings := fmt.Sprintf("[Instance]\nName = %s\nDataCentre = a\n[Listen]\nCallers = %s\nReady = %s\nPeers = %s\nOperations = %s\nSeeds = %s\n[Catalog]\nAddress = %s\n[Stop]\nBalancerLag = 500ms\n",
		name, gateway.CallerAddress, gateway.ReadyAddress, freeAddress(deployment.T.Context()), gateway.OperationsAddress, strings.Join(deployment.gatewaySeeds, ","), gateway.StoreLink.Address)
	if deployment.StopGrace > 0 {
		settings += fmt.Sprintf("Grace = %s\n", deployment.StopGrace)
	}

	if deployment.GatewayMemory > 0 {
		settings += fmt.Sprintf("[Memory]\nMegabytes = %d\n", deployment.GatewayMemory)
	}

	gateway.start(deployment.T, deployment.Binary, "gateway", settings)
	deployment.Gateways[name] = gateway

	return gateway
}

// IsReady reports whether the gateway's readiness check passes, so that a load
// balancer would send callers to it.
func (deployment *Deployment) IsReady(gateway *Process) bool {
	request, err := http.NewRequestWithContext(deployment.T.Context(), http.MethodGet, "http://"+gateway.ReadyAddress+emulator.PlatformReadyPath, nil)
	require.NoError(deployment.T, err)

	client := http.Client{Timeout: time.Second}

	response, err := client.Do(request)
	if err != nil {
		return false
	}

	response.Body.Close()

	return response.StatusCode == http.StatusOK
}

// StartHolder starts a holder and waits until it is listed among the members.
func (deployment *Deployment) StartHolder(name string) *Process {
	membersBefore := len(deployment.MemberKeys())
	holder := deployment.LaunchHolder(name)
	deployment.Eventually(func() bool { return len(deployment.MemberKeys()) > membersBefore }, "the holder is listed")

	return holder
}

// LaunchHolder starts a holder without waiting for it. A restarted holder keeps its
// address and its data folder.
func (deployment *Deployment) LaunchHolder(name string) *Process {
	holder := &Process{Name: name}

	if previous := deployment.Holders[name]; previous != nil {
		holder.OperationsAddress, holder.DataFolder, holder.StoreLink = previous.OperationsAddress, previous.DataFolder, previous.StoreLink
	} else {
		holder.OperationsAddress, holder.DataFolder, holder.StoreLink = freeAddress(deployment.T.Context()), deployment.T.TempDir(), deployment.StartLink(deployment.StoreAddress)
	}

	holder.start(deployment.T, deployment.Binary, "holder", fmt.Sprintf("[Instance]\nName = %s\nDataCentre = a\n[Listen]\nOperations = %s\n[Catalog]\nAddress = %s\n[Data]\nFolder = %s\n",
		name, holder.OperationsAddress, holder.StoreLink.Address, holder.DataFolder))
	deployment.Holders[name] = holder

	return holder
}

// MemberKeys returns the keys of the processes that are listed as members.
func (deployment *Deployment) MemberKeys() []string {
	page, err := deployment.Store.Catalog.NewClient().Range(deployment.T.Context(), "limpetrail/members/", "", false)
	require.NoError(deployment.T, err)

	keys := []string{}
	for _, item := range page.Items {
		keys = append(keys, item.Key)
	}

	return keys
}

// StopProcess sends a signal to a process and waits until it exits.
func (deployment *Deployment) StopProcess(process *Process, signal syscall.Signal) {
	process.Signal(signal)

	select {
	case <-process.Ended:
	case <-time.After(ConditionTimeout):
		require.Fail(deployment.T, "the process does not exit")
	}
}

// Eventually waits until a condition holds.
func (deployment *Deployment) Eventually(condition func() bool, message string) {
	deployment.T.Helper()
	require.Eventually(deployment.T, condition, ConditionTimeout, 20*time.Millisecond, message)
}
