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
	// settleTime lets processes find each other before they are measured.
	settleTime = 10 * time.Second
	// idleWindow covers one whole round of the planner.
	idleWindow     = 65 * time.Second
	entriesOfFleet = 0.19
	settingsMode   = 0o600
	kibibyte       = 1024
	// clockTick is the unit of processor times in /proc, USER_HZ.
	clockTick = 10 * time.Millisecond
)

// Processes returns the surveys of an entry and a sidecar that serve nothing,
// as processes built from this module. The listed instances all have the
// address of the one real sidecar or entry, which answers for them.
func Processes(ctx context.Context) ([]Survey, error) {
	folder, err := os.MkdirTemp("", "limpetrail-survey-")
	if err != nil {
		return nil, errors.Trace(err)
	}

	build := exec.CommandContext(ctx, "go", "build", "-o", folder, "limpetrail/cmd/limpetrail", "limpetrail/cmd/standin")
	build.Stderr = os.Stderr

	if err := build.Run(); err != nil {
		return nil, errors.Annotate(err, "building the commands")
	}

	sizes := []int{200, 800, 1980}
	measured := map[string]map[int]Cost{"entry": {}, "sidecar": {}}

	measure := func(role string) func(int) (Cost, error) {
		return func(size int) (Cost, error) {
			if _, done := measured[role][size]; !done {
				costs, err := idleProcesses(ctx, folder, size)
				if err != nil {
					return Cost{}, errors.Trace(err)
				}

				for name, cost := range costs {
					measured[name][size] = cost
				}
			}

			return measured[role][size], nil
		}
	}

	return []Survey{
		{Name: "idle entry that plans, one second", Per: "instance", Sizes: sizes, Repeats: 1, Measure: measure("entry")},
		{Name: "idle sidecar, one second", Per: "instance", Sizes: sizes, Repeats: 1, Measure: measure("sidecar")},
	}, nil
}

// site is the processes of one measurement.
type site struct {
	folder    string
	context   context.Context //nolint:containedctx // Ends the processes.
	processes map[string]*exec.Cmd
}

// idleProcesses returns the processor time of one second and the resident
// memory of an entry and a sidecar in a fleet of that many listed instances.
func idleProcesses(ctx context.Context, folder string, size int) (map[string]Cost, error) {
	ctx, stop := context.WithCancel(ctx)
	site := &site{folder: folder, context: ctx, processes: map[string]*exec.Cmd{}}

	defer site.wait()
	defer stop()

	if err := site.start(size); err != nil {
		return nil, errors.Trace(err)
	}

	time.Sleep(settleTime)

	costs := map[string]Cost{}

	for _, name := range []string{"entry", "sidecar"} {
		start, _, err := site.usage(name)
		if err != nil {
			return nil, errors.Trace(err)
		}

		costs[name] = Cost{Processor: start}
	}

	time.Sleep(idleWindow)

	for name, cost := range costs {
		end, resident, err := site.usage(name)
		if err != nil {
			return nil, errors.Trace(err)
		}

		costs[name] = Cost{Processor: (end - cost.Processor) / time.Duration(idleWindow.Seconds()), Bytes: resident}
	}

	return costs, nil
}

func (site *site) start(size int) error {
	standins := map[string]string{}

	for _, kind := range []string{"kv", "instances", "engine"} {
		address, err := site.standin(kind)
		if err != nil {
			return errors.Trace(err)
		}

		standins[kind] = address
	}

	document, err := json.Marshal(Document(targetWorkspaces))
	if err != nil {
		return errors.Trace(err)
	}

	if err := site.send(http.MethodPost, standins["kv"]+keeper.PathSwap, keeper.Call{Key: publisher.DocumentKey, Value: document}); err != nil {
		return errors.Trace(err)
	}

	ports, err := freeAddresses(site.context, 4)
	if err != nil {
		return errors.Trace(err)
	}

	if err := site.send(http.MethodPut, standins["instances"]+"/v1/instances", listed(size, ports[0], ports[1])); err != nil {
		return errors.Trace(err)
	}

	common := fmt.Sprintf("[KeyValue]\nAddress = %s\n[Instances]\nAddress = %s\n", standins["kv"], standins["instances"])

	if err := site.role("sidecar", common+fmt.Sprintf("[Instance]\nName = sidecar-00000\nDataCentre = dc-0\n[Listen]\nPeers = %s\nOperations = %s\n[BackendServer]\nAddress = %s\nService = service-0\n",
		ports[0], ports[2], standins["engine"])); err != nil {
		return errors.Trace(err)
	}

	return site.role("entry", common+fmt.Sprintf("[Instance]\nName = entry-00000\nDataCentre = dc-0\n[Listen]\nPeers = %s\nCallers = %s\n", ports[1], ports[3]))
}

const targetWorkspaces = 800

// listed is a list in the proportions of the target: 380 entries among 1,980.
func listed(size int, sidecar, entry string) []locator.Instance {
	all := instances(size)
	entries := int(entriesOfFleet * float64(size))

	for index := range all {
		all[index].Address = sidecar
		if index > 0 && index <= entries {
			all[index] = locator.Instance{Name: fmt.Sprintf("entry-%05d", index-1), Address: entry, DataCentre: all[index].DataCentre, Entry: true}
		}
	}

	return all
}

func (site *site) standin(kind string) (string, error) {
	command := exec.CommandContext(site.context, filepath.Join(site.folder, "standin"), kind)

	out, err := command.StdoutPipe()
	if err != nil {
		return "", errors.Trace(err)
	}

	if err := command.Start(); err != nil {
		return "", errors.Trace(err)
	}

	site.processes[kind] = command

	address, err := bufio.NewReader(out).ReadString('\n')

	return strings.TrimSpace(address), errors.Trace(err)
}

func (site *site) role(role, settings string) error {
	path := filepath.Join(site.folder, role+".ini")
	if err := os.WriteFile(path, []byte(settings), settingsMode); err != nil {
		return errors.Trace(err)
	}

	command := exec.CommandContext(site.context, filepath.Join(site.folder, "limpetrail"), role, "--settings", path)
	site.processes[role] = command

	return errors.Trace(command.Start())
}

func (site *site) send(method, url string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return errors.Trace(err)
	}

	request, err := http.NewRequestWithContext(site.context, method, "http://"+url, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Trace(err)
	}

	return errors.Trace(response.Body.Close())
}

// wait collects the processes, which end with the context.
func (site *site) wait() {
	for _, command := range site.processes {
		// A process that was ended has no status worth telling.
		_ = command.Wait()
	}
}

// usage reads a process's processor time and resident memory from /proc.
func (site *site) usage(name string) (time.Duration, float64, error) {
	folder := fmt.Sprintf("/proc/%d/", site.processes[name].Process.Pid)

	stat, err := os.ReadFile(folder + "stat")
	if err != nil {
		return 0, 0, errors.Annotatef(err, "%s ended", name)
	}

	// Fields follow the command's name, which may hold blanks: 14 and 15 of
	// the line are user and system time.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	ticks := number(fields[11]) + number(fields[12])

	status, err := os.ReadFile(folder + "status")
	if err != nil {
		return 0, 0, errors.Trace(err)
	}

	_, resident, _ := strings.Cut(string(status), "VmRSS:")

	return time.Duration(ticks) * clockTick, number(strings.Fields(resident)[0]) * kibibyte, nil
}

func number(text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic("surveyor: not a number in /proc: " + text)
	}

	return value
}

// freeAddresses returns loopback addresses that nobody listens on now.
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
