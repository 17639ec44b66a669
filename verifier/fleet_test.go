package verifier

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/deployer"
	"limpetrail/editor"
	"limpetrail/keeper"
	"limpetrail/locator"
	"limpetrail/publisher"
)

// waitTimeout bounds the wait for a condition. Tests don't depend on how long the
// wait takes.
const waitTimeout = 30 * time.Second

// binaries builds the commands once for all tests.
var binaries = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "limpetrail-test-")
	if err != nil {
		return "", err
	}

	build := exec.CommandContext(context.Background(), "go", "build", "-o", folder, "limpetrail/cmd/limpetrail", "limpetrail/cmd/standin")
	build.Stderr = os.Stderr

	return folder, build.Run()
})

func TestMain(m *testing.M) {
	code := m.Run()

	if folder, err := binaries(); err == nil {
		_ = os.RemoveAll(folder)
	}

	os.Exit(code)
}

// fleet is a set of processes that a test started.
type fleet struct {
	t        *testing.T
	folder   string
	binaries string
	// processes holds every started process, by name.
	processes map[string]*process
	// addresses holds the address at which each process accepts requests, by name.
	addresses map[string]string
	instances []locator.Instance
	// balancerLag is the BalancerLag setting of the entries that are started next.
	balancerLag time.Duration
}

type process struct {
	command *exec.Cmd
	// exited is closed when the process has exited.
	exited chan struct{}
	log    *bytes.Buffer
}

// newFleet starts the stand-ins of the platform's services, with the document
// stored in the key-value service.
func newFleet(t *testing.T, document editor.Document) *fleet {
	t.Helper()

	folder, err := binaries()
	require.NoError(t, err)

	fleet := &fleet{
		t:         t,
		folder:    t.TempDir(),
		binaries:  folder,
		processes: map[string]*process{},
		addresses: map[string]string{},

		balancerLag: 500 * time.Millisecond,
	}
	t.Cleanup(fleet.stop)

	fleet.startStandin("kv", "kv")
	fleet.startStandin("instances", "instances")
	fleet.publishDocument(document)

	return fleet
}

// startStandin starts a stand-in and reads the address that it prints.
func (fleet *fleet) startStandin(name, kind string) {
	fleet.t.Helper()

	command := exec.CommandContext(fleet.t.Context(), filepath.Join(fleet.binaries, "standin"), kind)
	out, err := command.StdoutPipe()
	require.NoError(fleet.t, err)
	fleet.startProcess(name, command)

	address, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(fleet.t, err)
	fleet.addresses[name] = strings.TrimSpace(address)
}

// publishDocument stores the document as the operators' tools do.
func (fleet *fleet) publishDocument(document editor.Document) {
	fleet.t.Helper()

	value, err := json.Marshal(document)
	require.NoError(fleet.t, err)

	fleet.post(fleet.addresses["kv"], keeper.PathSwap, keeper.Call{Key: publisher.DocumentKey, Value: value})
}

// startSidecar starts a stand-in of a backend server of the kind, and its sidecar.
func (fleet *fleet) startSidecar(name, kind, service string) {
	fleet.t.Helper()

	standin := map[string]string{"Engine": "engine", "Service": "service"}[kind]
	fleet.startStandin(name+"-backend", standin)

	address := fleet.freeAddress()
	fleet.startRole("sidecar", name, fmt.Sprintf(`
[Instance]
Name = %s
DataCentre = dc1
[Listen]
Peers = %s
Operations = %s
[KeyValue]
Address = %s
[Instances]
Address = %s
[Batch]
Heartbeat = 1s
[BackendServer]
Kind = %s
Address = %s
Service = %s
`, name, address, fleet.freeAddress(), fleet.addresses["kv"], fleet.addresses["instances"], kind, fleet.addresses[name+"-backend"], service))
	fleet.addresses[name] = address
	fleet.instances = append(fleet.instances, locator.Instance{Name: name, Address: address, DataCentre: "dc1", Service: service})
	fleet.publishInstances()
}

// startEntry starts an entry.
func (fleet *fleet) startEntry(name string) {
	fleet.t.Helper()

	address, peers := fleet.freeAddress(), fleet.freeAddress()
	fleet.startRole("entry", name, fmt.Sprintf(`
[Instance]
Name = %s
DataCentre = dc1
[Listen]
Callers = %s
Peers = %s
BalancerLag = %s
[KeyValue]
Address = %s
[Instances]
Address = %s
[Jobs]
Lease = 6s
Renew = 2s
ItemLease = 6s
StartedGrace = 10s
CommitInterval = 1s
CommitMost = 2s
`, name, address, peers, fleet.balancerLag, fleet.addresses["kv"], fleet.addresses["instances"]))
	fleet.addresses[name] = address
	fleet.instances = append(fleet.instances, locator.Instance{Name: name, Address: peers, DataCentre: "dc1", Entry: true})
	fleet.publishInstances()
}

func (fleet *fleet) startRole(role, name, settings string) {
	fleet.t.Helper()

	path := filepath.Join(fleet.folder, name+".ini")
	require.NoError(fleet.t, os.WriteFile(path, []byte(settings), 0o600))
	fleet.startProcess(name, exec.CommandContext(fleet.t.Context(), filepath.Join(fleet.binaries, "limpetrail"), role, "--settings", path))
}

func (fleet *fleet) startProcess(name string, command *exec.Cmd) {
	fleet.t.Helper()

	process := &process{command: command, exited: make(chan struct{}), log: &bytes.Buffer{}}
	command.Stderr = process.log
	require.NoError(fleet.t, command.Start())
	fleet.processes[name] = process

	go func() {
		defer close(process.exited)
		// A process that the test kills returns an error here.
		_ = command.Wait()
	}()
}

// publishInstances updates the platform's list of instances.
func (fleet *fleet) publishInstances() {
	fleet.t.Helper()

	body, err := json.Marshal(fleet.instances)
	require.NoError(fleet.t, err)

	request, err := http.NewRequestWithContext(fleet.t.Context(), http.MethodPut, "http://"+fleet.addresses["instances"]+"/v1/instances", bytes.NewReader(body))
	require.NoError(fleet.t, err)
	fleet.send(request)
}

func (fleet *fleet) post(address, path string, message any) {
	fleet.t.Helper()

	body, err := json.Marshal(message)
	require.NoError(fleet.t, err)

	request, err := http.NewRequestWithContext(fleet.t.Context(), http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	require.NoError(fleet.t, err)
	fleet.send(request)
}

func (fleet *fleet) send(request *http.Request) {
	fleet.t.Helper()

	response, err := http.DefaultClient.Do(request)
	require.NoError(fleet.t, err)
	defer response.Body.Close()

	body, err := io.ReadAll(response.Body)
	require.NoError(fleet.t, err)
	require.Equal(fleet.t, http.StatusOK, response.StatusCode, string(body))
}

// signal sends a signal to a process that this test started.
func (fleet *fleet) signal(name string, signal syscall.Signal) {
	fleet.t.Helper()
	require.NoError(fleet.t, fleet.processes[name].command.Process.Signal(signal))
}

// usedAddresses holds the addresses that freeAddress has returned, so that it
// returns none twice.
var usedAddresses sync.Map

// freeAddress returns a loopback address on which no process listens now.
func (fleet *fleet) freeAddress() string {
	fleet.t.Helper()

	for {
		listener, err := (&net.ListenConfig{}).Listen(fleet.t.Context(), "tcp", net.JoinHostPort(deployer.LoopbackHost(), "0"))
		require.NoError(fleet.t, err)

		address := listener.Addr().String()
		listener.Close()

		if _, used := usedAddresses.LoadOrStore(address, true); !used {
			return address
		}
	}
}

func (fleet *fleet) stop() {
	for _, process := range fleet.processes {
		// A stopped process is resumed before it is killed.
		_ = process.command.Process.Signal(syscall.SIGCONT)
		_ = process.command.Process.Kill()
	}

	for name, process := range fleet.processes {
		<-process.exited

		if fleet.t.Failed() {
			fleet.t.Logf("log of %s:\n%s", name, process.log)
		}
	}
}

// writeFile writes a file into a folder of the test and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()

	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))

	return path
}
