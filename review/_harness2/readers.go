package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"limpetrail/deployer"
	"limpetrail/emulator"
)

func init() { cases["readers"] = playReaders }

func (fleet *fleet) call(ctx context.Context, gateway *process, method, path, id string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+gateway.callers+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host, request.Close = routeHost, true
	if id != "" {
		request.Header.Set("X-Limpetrail-Attempt-Id", id)
	}
	request.Header.Set("X-Limpetrail-Deadline-Ms", "4000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)

	return response.StatusCode, content, err
}

func playReaders(ctx context.Context, record *record, trouble bool) int {
	limit, readers := envInt("LIMIT", 144), envInt("READERS", 150)
	fleet, err := newFleet(ctx, record, memoryConfiguration)
	if err != nil {
		return cannotRun
	}
	defer fleet.end()

	for number := range 3 {
		server := emulator.NewEventServer(fmt.Sprintf("i-%d", number), emulator.PlatformEventHeaders())
		server.EventCount, server.EventInterval = 200, 5*time.Millisecond
		server.SetFaults(emulator.EventFaults{Padding: strings.Repeat("x", 350)})
		address, err := serve(ctx, server)
		if err != nil {
			return cannotRun
		}
		fleet.addServer(server.ID, "model", address, 8)
	}

	if fleet.prepare(ctx, 2, 3, limit, 304) != nil || fleet.startAll() != nil {
		return cannotRun
	}
	time.Sleep(2 * time.Second)
	_ = deployer.RouteHost

	items := []lotItem{}
	for index := range 12 {
		items = append(items, lotItem{ID: fmt.Sprintf("it-%d", index), Path: "/batch/x", Headers: map[string]string{"X-Limpetrail-Model": "m"}, Body: []byte("p"), Tokens: 900})
	}
	status, _, err := fleet.call(ctx, fleet.gateways[0], http.MethodPost, "/batch/lot-1", "lot-1", lotBody(items))
	record.log("lot-1: %d %v", status, err)
	for range 100 {
		status, content, _ := fleet.call(ctx, fleet.gateways[0], http.MethodGet, "/limpetrail/lots/lot-1?after=11", "", nil)
		if status == 200 && bytes.Contains(content, []byte("completed")) {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	status, content, _ := fleet.call(ctx, fleet.gateways[0], http.MethodGet, "/limpetrail/lots/lot-1?after=0", "", nil)
	record.log("results: %d, %d bytes", status, len(content))

	killed := false
	group := sync.WaitGroup{}
	if trouble {
		for range readers {
			group.Go(func() {
				conn, err := net.Dial("tcp", fleet.gateways[0].callers)
				if err != nil {
					return
				}
				defer conn.Close()
				_ = conn.(*net.TCPConn).SetReadBuffer(4096)
				fmt.Fprintf(conn, "GET /limpetrail/lots/lot-1?after=0 HTTP/1.1\r\nHost: %s\r\n\r\n", routeHost)
				buffer := make([]byte, 512)
				for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
					if _, err := conn.Read(buffer); err != nil {
						return
					}
				}
			})
		}
	}
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if rss := fleet.gateways[0].status("VmRSS") >> 10; rss > limit && !killed {
			record.log("front-1 uses %d MB: killed", rss)
			fleet.gateways[0].signal(syscall.SIGKILL)
			killed = true
		}
	}
	group.Wait()
	record.log("peak %d MB", fleet.gateways[0].status("VmHWM")>>10)
	if killed {
		return broken
	}
	return held
}
