package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// zones are the zones of the small deployment.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// process is a running gateway or holder.
type process struct {
	name    string
	command *exec.Cmd
	door    *door
	// callers, ready and control are addresses of the process.
	callers, ready, control string
	ended                   chan struct{}
}

// fleet is the deployment of a case: the project's programs against the stand-ins.
type fleet struct {
	store    *store
	record   *record
	folder   string
	gateways []*process
	holders  []*process
	replicas []*replica

	mutex     sync.Mutex
	processes []*process
}

// newFleet creates a deployment without processes.
func newFleet(log *record) *fleet {
	folder, err := os.MkdirTemp("", "review-")
	check(err)

	return &fleet{store: newStore(), record: log, folder: folder}
}

// usedAddresses are those given out, as a free port may be drawn twice.
var usedAddresses = map[string]bool{}

const (
	// firstPort and lastPort are mostly below the ports that outgoing channels use, so that these
	// seldom take a port before its process listens.
	firstPort = 10_000
	lastPort  = 30_000
)

// freeAddress draws a loopback address that nobody listens at.
func freeAddress() string {
	listener := listen()
	defer listener.Close()

	return listener.Addr().String()
}

// listen listens at a free loopback address.
func listen() net.Listener {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if usedAddresses[address] {
			continue
		}

		if listener, err := net.Listen("tcp", address); err == nil {
			usedAddresses[address] = true

			return listener
		}
	}
}

// startMachines starts one holder a zone and the gateways, with the commands of the deploy file and
// the settings of its templates.
func (fleet *fleet) startMachines(gateways int) {
	seeds := ""

	for index := range zones {
		holder := &process{name: fmt.Sprintf("storage-%d", index+1), door: fleet.store.open(), control: freeAddress()}
		fleet.holders = append(fleet.holders, holder)

		if seeds != "" {
			seeds += ","
		}

		seeds += holder.control
	}

	for index, holder := range fleet.holders {
		fleet.launch(holder, "holder", fmt.Sprintf(
			"[Instance]\nName = %s\nDataCentre = %s\n\n[Listen]\nOperations = %s\nMetrics = %s\nSeeds = %s\n\n[Catalog]\nAdapter = platform\nAddress = %s\n\n[Jobs]\nRetention = 120s\n\n[Data]\nFolder = %s\nMegabytes = 410\n",
			holder.name, zones[index], holder.control, freeAddress(), seeds, holder.door.address, filepath.Join(fleet.folder, holder.name)))
	}

	for index := range gateways {
		gateway := &process{name: fmt.Sprintf("front-%d", index+1), door: fleet.store.open(), callers: freeAddress(), ready: freeAddress(), control: freeAddress()}
		fleet.gateways = append(fleet.gateways, gateway)
		fleet.launch(gateway, "gateway", fmt.Sprintf(
			"[Instance]\nName = %s\nDataCentre = %s\n\n[Listen]\nCallers = %s\nReady = %s\nPeers = %s\nOperations = %s\nMetrics = %s\nSeeds = %s\n\n[Catalog]\nAdapter = platform\nAddress = %s\n\n[Follow]\nNoticeSilence = 3000ms\nDropRemoved = 2000ms\n\n[Jobs]\nRetention = 120s\nLostDisks = 1\n\n[Memory]\nMegabytes = 284\n\n[Stop]\nGrace = 8s\n",
			gateway.name, zones[index%len(zones)], gateway.callers, gateway.ready, freeAddress(), gateway.control, freeAddress(), seeds, gateway.door.address))
	}
}

func (fleet *fleet) launch(started *process, role, settings string) {
	path := filepath.Join(fleet.folder, started.name+".ini")
	check(os.WriteFile(path, []byte(settings), 0o600))

	log, err := os.Create(filepath.Join(fleet.folder, started.name+".log"))
	check(err)

	fleet.mutex.Lock()
	fleet.processes = append(fleet.processes, started)
	fleet.mutex.Unlock()

	// The platform starts a process again that ends at its start, as its port was taken meanwhile.
	for range startAttempts {
		fleet.start(started, role, path, log)

		select {
		case <-started.ended:
		case <-time.After(startTime):
			return
		}
	}
}

const (
	startAttempts = 20
	// startTime is how long a process runs that has all its ports.
	startTime = 150 * time.Millisecond
)

func (fleet *fleet) start(started *process, role, settings string, log *os.File) {
	command, ended := exec.Command("target/limpetrail", role, "--settings", settings), make(chan struct{})
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started.command, started.ended = command, ended
	check(command.Start())

	go func() {
		_ = command.Wait()
		fleet.record.line("process %s has ended: %s", started.name, command.ProcessState)
		close(ended)
	}()
}

// close ends all processes and removes the temporary folder.
func (fleet *fleet) close() {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()

	for _, started := range fleet.processes {
		_ = started.command.Process.Kill()
		<-started.ended
	}

	if os.Getenv("KEEP") == "" {
		os.RemoveAll(fleet.folder)
	}
}

// writeConfiguration writes a version of the operator's configuration. A prefix of a batch route
// stands for each route.
func (fleet *fleet) writeConfiguration(version int, prefixes ...string) {
	routes := []any{}

	for index, prefix := range prefixes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%d", index), "host": host, "prefix": prefix, "kind": "batch", "timeoutMs": 15000, "targetLatencyMs": 400,
			"priority": 2, "service": service, "maxAttempts": 3, "completionTargetMs": 18000, "expiryS": expiry.Seconds(), "sessionAffinity": true, "resumable": true, "gapAimMs": 250,
		})
	}

	// All clients' streams go by one route.
	routes = append(routes, map[string]any{
		"name": "r-stream", "host": host, "prefix": streamPrefix, "kind": "streaming", "timeoutMs": 5000, "targetLatencyMs": 300,
		"priority": 0, "service": service, "maxAttempts": 2, "sessionAffinity": true, "resumable": true, "gapAimMs": 250,
	})

	document, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": []any{map[string]any{"name": service, "healthPath": "/healthz", "maxConnections": 230}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 10000},
	})
	check(err)

	revision := fleet.store.put("op/config", document)
	fleet.record.line("the store has version %d of the configuration with the batch routes %v (revision %d)", version, prefixes, revision)
}

// awaitReady waits until all gateways are ready and all processes are members.
func (fleet *fleet) awaitReady() bool {
	return await(20*time.Second, func() bool {
		for _, gateway := range fleet.gateways {
			if status, _, _ := call(http.MethodGet, "http://"+gateway.ready+"/limpetrail/readyz", nil, nil, time.Second); status != http.StatusOK {
				return false
			}
		}

		return fleet.store.count("limpetrail/members/") == len(fleet.gateways)+len(fleet.holders)
	})
}

// lastHad returns when a request was last at a replica.
func (fleet *fleet) lastHad(request string) time.Time {
	last := time.Time{}

	for _, replica := range fleet.replicas {
		if had := replica.had(request); had.After(last) {
			last = had
		}
	}

	return last
}

// lastFinished returns how long ago a replica last answered a request whole.
func (fleet *fleet) lastFinished() time.Duration {
	last := time.Time{}

	for _, replica := range fleet.replicas {
		replica.mutex.Lock()
		if replica.finishedAt.After(last) {
			last = replica.finishedAt
		}
		replica.mutex.Unlock()
	}

	return time.Since(last)
}
