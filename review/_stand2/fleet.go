// Command _stand2 plays the scripts of the second review: it starts the programs of the deploy file as
// separate processes on loopback addresses, with stand-ins of the platform, of backend servers and of clients.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"limpetrail/emulator"
)

// routeHost is the host of all routes.
const routeHost = "host.example"

// fleet is a small deployment.
type fleet struct {
	folder string
	store  *emulator.PlatformStore
	// storeAddress is where the store listens.
	storeAddress string
	record       *record
	gateways     []*process
	holders      []*process
	seeds        []string
	// lostDisks is how many disks may be lost at once.
	lostDisks int
	// accepted holds the IDs of the jobs that got 202.
	accepted sync.Map
}

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	startAt time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)

	return &record{file: file, startAt: time.Now()}, err
}

func (record *record) log(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()

	fmt.Fprintf(record.file, "%8.3f  %s\n", time.Since(record.startAt).Seconds(), fmt.Sprintf(format, arguments...))
}

// process is one process of the system.
type process struct {
	name, role        string
	callers, ready    string
	peers, operations string
	metrics, data     string
	settings, logPath string

	// mutex guards the rest.
	mutex   sync.Mutex
	command *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

func newFleet(ctx context.Context, record *record, configuration string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}

	created := &fleet{folder: folder, store: emulator.NewPlatformStore(), record: record}
	if created.storeAddress, err = serve(ctx, pagedStore{created.store}); err != nil {
		return nil, err
	}

	created.store.Catalog.Put(emulator.PlatformDocumentKey, []byte(configuration))

	return created, nil
}

// serve serves a handler at a free loopback address.
func serve(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopback()+":0")
	if err != nil {
		return "", err
	}

	server := &http.Server{Handler: handler}

	go func() { _ = server.Serve(listener) }()

	context.AfterFunc(ctx, func() { server.Close() })

	return listener.Addr().String(), nil
}

// loopback returns a loopback address of this run, whose ports no other connection draws.
func loopback() string {
	pid := os.Getpid()

	return fmt.Sprintf("127.%d.%d.1", 1+pid>>8%250, pid%250)
}

func freeAddress() string {
	listener, err := net.Listen("tcp", loopback()+":0")
	if err != nil {
		return loopback() + ":0"
	}
	defer listener.Close()

	return listener.Addr().String()
}

// addServer lists a backend server.
func (fleet *fleet) addServer(id, service, address string, places int) {
	fleet.store.Catalog.Put(emulator.PlatformServiceEntry(service, id, address, places))
}

// prepare reserves the addresses of the processes, so that all know the seeds.
func (fleet *fleet) prepare(gateways, holders, memory, disk int) error {
	for number := range holders {
		held := &process{name: fmt.Sprintf("storage-%d", number+1), role: "holder", operations: freeAddress(), metrics: freeAddress()}
		held.data = filepath.Join(fleet.folder, held.name)
		fleet.seeds = append(fleet.seeds, held.operations)
		fleet.holders = append(fleet.holders, held)
	}

	for number := range gateways {
		fleet.gateways = append(fleet.gateways, &process{
			name: fmt.Sprintf("front-%d", number+1), role: "gateway", callers: freeAddress(), ready: freeAddress(),
			peers: freeAddress(), operations: freeAddress(), metrics: freeAddress(),
		})
	}

	for _, started := range append(append([]*process{}, fleet.holders...), fleet.gateways...) {
		started.settings = filepath.Join(fleet.folder, started.name+".ini")
		started.logPath = filepath.Join(fleet.folder, started.name+".log")

		// The same keys as in deploy/gateway.ini and deploy/holder.ini.
		text := fmt.Sprintf("[Instance]\nName = %s\nDataCentre = a\n\n", started.name)
		if started.role == "gateway" {
			text += fmt.Sprintf("[Listen]\nCallers = %s\nReady = %s\nPeers = %s\nOperations = %s\nMetrics = %s\nSeeds = %s\n\n",
				started.callers, started.ready, started.peers, started.operations, started.metrics, strings.Join(fleet.seeds, ","))
		} else {
			text += fmt.Sprintf("[Listen]\nOperations = %s\nMetrics = %s\nSeeds = %s\n\n", started.operations, started.metrics, strings.Join(fleet.seeds, ","))
		}

		text += fmt.Sprintf("[Catalog]\nAdapter = platform\nAddress = %s\n\n[Calls]\nValueBytes = 1048576\n\n", fleet.storeAddress)

		if started.role == "gateway" {
			text += fmt.Sprintf("[Follow]\nNoticeSilence = 3000ms\nDropRemoved = 2000ms\nApplyWithin = 2000ms\n\n[Jobs]\nRetention = 120s\nLostDisks = %d\n\n[Memory]\nMegabytes = %d\n\n[Stop]\nGrace = 8s\n", fleet.lostDisks, memory)
		} else {
			text += fmt.Sprintf("[Follow]\nApplyWithin = 2000ms\n\n[Jobs]\nRetention = 120s\n\n[Data]\nFolder = %s\nMegabytes = %d\n", started.data, disk)
		}

		if err := os.WriteFile(started.settings, []byte(text), 0o600); err != nil {
			return err
		}
	}

	return nil
}

// start starts a process as the deploy file does.
func (fleet *fleet) start(started *process) error {
	output, err := os.OpenFile(started.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()

	started.mutex.Lock()
	defer started.mutex.Unlock()

	started.command = exec.Command("target/limpetrail", started.role, "--settings", started.settings)
	started.command.Stdout, started.command.Stderr = output, output
	started.ended = make(chan struct{})

	if err := started.command.Start(); err != nil {
		return err
	}

	command, ended := started.command, started.ended

	go func() {
		_ = command.Wait()
		close(ended)
	}()

	fleet.record.log("%s starts, pid %d", started.name, started.command.Process.Pid)

	return nil
}

func (process *process) signal(signal syscall.Signal) {
	process.mutex.Lock()
	defer process.mutex.Unlock()

	select {
	case <-process.ended:
	default:
		_ = process.command.Process.Signal(signal)
	}
}

func (process *process) hasEnded() bool {
	process.mutex.Lock()
	defer process.mutex.Unlock()

	select {
	case <-process.ended:
		return true
	default:
		return false
	}
}

// status returns a field of the process's status in kilobytes, 0 if it has ended.
func (process *process) status(field string) int {
	process.mutex.Lock()
	pid := process.command.Process.Pid
	process.mutex.Unlock()

	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}

	_, rest, found := strings.Cut(string(text), field+":")
	if !found {
		return 0
	}

	kilobytes, _ := strconv.Atoi(strings.Fields(rest)[0])

	return kilobytes
}

// startAll starts all processes and waits until the gateways are ready.
func (fleet *fleet) startAll() error {
	for _, started := range append(append([]*process{}, fleet.holders...), fleet.gateways...) {
		if err := fleet.start(started); err != nil {
			return err
		}
	}

	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if fleet.isReady() {
			return nil
		}
	}

	return fmt.Errorf("the gateways do not become ready")
}

func (fleet *fleet) isReady() bool {
	for _, gateway := range fleet.gateways {
		if !gateway.isReady() {
			return false
		}
	}

	return true
}

func (process *process) isReady() bool {
	client := http.Client{Timeout: time.Second}

	response, err := client.Get("http://" + process.ready + emulator.PlatformReadyPath)
	if err != nil {
		return false
	}

	response.Body.Close()

	return response.StatusCode == http.StatusOK
}

// end ends all processes and removes the folder.
func (fleet *fleet) end() {
	for _, started := range append(append([]*process{}, fleet.holders...), fleet.gateways...) {
		if started.command == nil {
			continue
		}

		started.signal(syscall.SIGCONT)
		started.signal(syscall.SIGKILL)
		<-started.ended
	}

	_ = os.RemoveAll(fleet.folder)
}

// lotItem is an item of a job in the platform's format.
type lotItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
}

func lotBody(items []lotItem) []byte {
	encoded, _ := json.Marshal(map[string]any{"items": items})

	return encoded
}
