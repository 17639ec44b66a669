package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"limpetrail/emulator"
)

func init() { cases["spin"] = playSpin }

// processorTime returns the processor time that the process has used, in seconds.
func (process *process) processorTime() float64 {
	process.mutex.Lock()
	pid := process.command.Process.Pid
	process.mutex.Unlock()

	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}

	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])

	return float64(user+system) / 100
}

func playSpin(ctx context.Context, record *record, trouble bool) int {
	fleet, err := newFleet(ctx, record, strings.ReplaceAll(memoryConfiguration, `"expiryS":60`, fmt.Sprintf(`"expiryS":%d`, envInt("EXPIRY", 20))))
	if err != nil {
		return cannotRun
	}
	defer fleet.end()
	servers := []*emulator.EventServer{}
	for number := range 3 {
		server := emulator.NewEventServer(fmt.Sprintf("i-%d", number), emulator.PlatformEventHeaders())
		server.EventCount = 100
		address, err := serve(ctx, server)
		if err != nil {
			return cannotRun
		}
		fleet.addServer(server.ID, "model", address, 8)
		servers = append(servers, server)
	}
	if fleet.prepare(ctx, 1, 3, 284, 304) != nil || fleet.startAll() != nil {
		return cannotRun
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for _, server := range servers {
			server.SetFaults(emulator.EventFaults{NeverAnswer: true})
		}
	}
	items := []lotItem{}
	for index := range 10 {
		items = append(items, lotItem{ID: fmt.Sprintf("it-%d", index), Path: "/batch/x", Headers: map[string]string{"X-Limpetrail-Model": "m", "X-Limpetrail-Prompt-Prefix": fmt.Sprintf("5c1e07a2:100,%08x:250", index)}, Body: []byte("p"), Tokens: 900})
	}
	status, _, err := fleet.call(ctx, fleet.gateways[0], http.MethodPost, "/batch/lot-1", "lot-1", lotBody(items))
	record.log("lot-1: %d %v", status, err)
	last := fleet.gateways[0].processorTime()
	for range envInt("SECONDS_", 40) {
		time.Sleep(time.Second)
		now := fleet.gateways[0].processorTime()
		_, content, _ := fleet.call(ctx, fleet.gateways[0], http.MethodGet, "/limpetrail/lots/lot-1?after=0", "", nil)
		record.log("processor: %.2f s in the last second; results %d", now-last, strings.Count(string(content), "state"))
		last = now
	}
	return held
}
