package surveyor

import (
	"bufio"
	"bytes"
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
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
	"limpetrail/locator"
	"limpetrail/publisher"
)

const (
	// warmUpTime is the time that processes get to discover each other before
	// they are measured.
	warmUpTime = 10 * time.Second
	// idleMeasurementTime covers a complete planning round; the planner runs once
	// a minute.
	idleMeasurementTime = 65 * time.Second
	// entryShare is the share of entries among the listed instances.
	entryShare       = 0.19
	settingsFileMode = 0o600
	kibibyte         = 1024
	// clockTick is the unit of processor times in /proc: 1/USER_HZ seconds.
	clockTick = 10 * time.Millisecond
)

// ProcessSurveys returns the surveys of an idle entry and an idle sidecar, which run
// as separate processes built from this module. All sidecars and entries in the
// instance list have the address of the one running sidecar or entry, so that
// it answers for all of them.
func ProcessSurveys(ctx context.Context) ([]Survey, error) {
	folder, err := os.MkdirTemp("", "limpetrail-survey-")
	if err != nil {
		return nil, errors.Trace(err)
	}

	build := exec.CommandContext(ctx, "go", "build", "-o", folder, "limpetrail/cmd/limpetrail", "limpetrail/cmd/standin")
	build.Stderr = os.Stderr

	if err := build.Run(); err != nil {
		return nil, errors.Annotate(err, "building the limpetrail and standin commands")
	}

	sizes := []int{200, 800, 1980}
	costsByRole := map[string]map[int]Cost{"entry": {}, "sidecar": {}}

	measure := func(role string) func(int) (Cost, error) {
		return func(size int) (Cost, error) {
			if _, found := costsByRole[role][size]; !found {
				costs, err := measureIdleProcesses(ctx, folder, size)
				if err != nil {
					return Cost{}, errors.Trace(err)
				}

				for measuredRole, cost := range costs {
					costsByRole[measuredRole][size] = cost
				}
			}

			return costsByRole[role][size], nil
		}
	}

	return []Survey{
		{Name: "idle entry that plans, one second", Unit: "instance", Sizes: sizes, Repeats: 1, Measure: measure("entry")},
		{Name: "idle sidecar, one second", Unit: "instance", Sizes: sizes, Repeats: 1, Measure: measure("sidecar")},
	}, nil
}

// deployment is the set of processes started for one measurement.
type deployment struct {
	folder    string
	context   context.Context //nolint:containedctx // Its cancellation kills the processes.
	processes map[string]*exec.Cmd
}

// measureIdleProcesses returns the processor time used in one second and the
// resident memory of an entry and a sidecar, with size instances in the list.
func measureIdleProcesses(ctx context.Context, folder string, size int) (map[string]Cost, error) {
	ctx, stop := context.WithCancel(ctx)
	deployment := &deployment{folder: folder, context: ctx, processes: map[string]*exec.Cmd{}}

	defer deployment.waitForProcesses()
	defer stop()

	if err := deployment.start(size); err != nil {
		return nil, errors.Trace(err)
	}

	time.Sleep(warmUpTime)

	costs := map[string]Cost{}

	for _, role := range []string{"entry", "sidecar"} {
		start, _, err := deployment.processUsage(role)
		if err != nil {
			return nil, errors.Trace(err)
		}

		costs[role] = Cost{ProcessorTime: start}
	}

	time.Sleep(idleMeasurementTime)

	for role, cost := range costs {
		end, resident, err := deployment.processUsage(role)
		if err != nil {
			return nil, errors.Trace(err)
		}

		costs[role] = Cost{ProcessorTime: (end - cost.ProcessorTime) / time.Duration(idleMeasurementTime.Seconds()), Bytes: resident}
	}

	return costs, nil
}

func (deployment *deployment) start(size int) error {
	standInAddresses := map[string]string{}

	for _, kind := range []string{"kv", "instances", "engine"} {
		address, err := deployment.startStandIn(kind)
		if err != nil {
			return errors.Trace(err)
		}

		standInAddresses[kind] = address
	}

	document, err := json.Marshal(newDocument(targetWorkspaces))
	if err != nil {
		return errors.Trace(err)
	}

	if err := deployment.sendJSON(http.MethodPost, standInAddresses["kv"]+keeper.PathSwap, keeper.Call{Key: publisher.DocumentKey, Value: document}); err != nil {
		return errors.Trace(err)
	}

	addresses, err := freeAddresses(deployment.context, 4)
	if err != nil {
		return errors.Trace(err)
	}

	if err := deployment.sendJSON(http.MethodPut, standInAddresses["instances"]+"/v1/instances", newInstanceList(size, addresses[0], addresses[1])); err != nil {
		return errors.Trace(err)
	}

	commonSettings := fmt.Sprintf("[KeyValue]\nAddress = %s\n[Instances]\nAddress = %s\n", standInAddresses["kv"], standInAddresses["instances"])

	if err := deployment.startRole("sidecar", commonSettings+fmt.Sprintf("[Instance]\nName = sidecar-00000\nDataCentre = dc-0\n[Listen]\nPeers = %s\nOperations = %s\n[BackendServer]\nAddress = %s\nService = service-0\n",
		addresses[0], addresses[2], standInAddresses["engine"])); err != nil {
		return errors.Trace(err)
	}

	return deployment.startRole("entry", commonSettings+fmt.Sprintf("[Instance]\nName = entry-00000\nDataCentre = dc-0\n[Listen]\nPeers = %s\nCallers = %s\n", addresses[1], addresses[3]))
}

const targetWorkspaces = 800

// newInstanceList returns an instance list with the target's proportion of
// entries: 380 among 1,980.
func newInstanceList(size int, sidecar, entry string) []locator.Instance {
	instances := newInstances(size)
	entries := int(entryShare * float64(size))

	for index := range instances {
		instances[index].Address = sidecar
		if index > 0 && index <= entries {
			instances[index] = locator.Instance{Name: fmt.Sprintf("entry-%05d", index-1), Address: entry, DataCentre: instances[index].DataCentre, Entry: true}
		}
	}

	return instances
}

func (deployment *deployment) startStandIn(kind string) (string, error) {
	command := exec.CommandContext(deployment.context, filepath.Join(deployment.folder, "standin"), kind)

	out, err := command.StdoutPipe()
	if err != nil {
		return "", errors.Trace(err)
	}

	if err := command.Start(); err != nil {
		return "", errors.Trace(err)
	}

	deployment.processes[kind] = command

	address, err := bufio.NewReader(out).ReadString('\n')

	return strings.TrimSpace(address), errors.Trace(err)
}

func (deployment *deployment) startRole(role, settings string) error {
	path := filepath.Join(deployment.folder, role+".ini")
	if err := os.WriteFile(path, []byte(settings), settingsFileMode); err != nil {
		return errors.Trace(err)
	}

	command := exec.CommandContext(deployment.context, filepath.Join(deployment.folder, "limpetrail"), role, "--settings", path)
	deployment.processes[role] = command

	return errors.Trace(command.Start())
}

func (deployment *deployment) sendJSON(method, url string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return errors.Trace(err)
	}

	request, err := http.NewRequestWithContext(deployment.context, method, "http://"+url, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Trace(err)
	}

	return errors.Trace(response.Body.Close())
}

// waitForProcesses waits for the processes, which the cancelled context kills.
func (deployment *deployment) waitForProcesses() {
	for _, command := range deployment.processes {
		// Wait always returns an error for a killed process.
		_ = command.Wait()
	}
}

// processUsage reads the processor time and the resident memory in bytes of a
// process from /proc.
func (deployment *deployment) processUsage(name string) (time.Duration, float64, error) {
	folder := fmt.Sprintf("/proc/%d/", deployment.processes[name].Process.Pid)

	stat, err := os.ReadFile(folder + "stat")
	if err != nil {
		return 0, 0, errors.Annotatef(err, "reading the processor time of process %s, which may have ended", name)
	}

	// The command name may contain spaces, so the fields are split after it, from
	// field 3 of the line. Fields 14 and 15 are user and system time.
	_, afterName, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(afterName)
	ticks := parseNumber(fields[11]) + parseNumber(fields[12])

	status, err := os.ReadFile(folder + "status")
	if err != nil {
		return 0, 0, errors.Trace(err)
	}

	_, resident, _ := strings.Cut(string(status), "VmRSS:")

	return time.Duration(ticks) * clockTick, parseNumber(strings.Fields(resident)[0]) * kibibyte, nil
}

func parseNumber(text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic("surveyor: value in /proc is not a number: " + text)
	}

	return value
}

// freeAddresses returns loopback addresses on which no process listens now.
func freeAddresses(ctx context.Context, count int) ([]string, error) {
	addresses := []string{}

	for range count {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Trace(err)
		}

		defer listener.Close()

		addresses = append(addresses, listener.Addr().String())
	}

	return addresses, nil
}
