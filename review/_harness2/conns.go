package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"limpetrail/emulator"
)

func init() { cases["conns"] = playConns }

func playConns(ctx context.Context, record *record, trouble bool) int {
	fleet, err := newFleet(ctx, record, memoryConfiguration)
	if err != nil {
		return cannotRun
	}
	defer fleet.end()
	for number := range 3 {
		server := emulator.NewEventServer(fmt.Sprintf("i-%d", number), emulator.PlatformEventHeaders())
		server.EventCount, server.EventInterval = 20, time.Millisecond
		address, err := serve(ctx, server)
		if err != nil {
			return cannotRun
		}
		fleet.addServer(server.ID, "model", address, 8)
	}
	if fleet.prepare(ctx, 1, 3, envInt("LIMIT", 144), 304) != nil || fleet.startAll() != nil {
		return cannotRun
	}
	time.Sleep(time.Second)
	group, open := sync.WaitGroup{}, []net.Conn{}
	mutex := sync.Mutex{}
	counts := map[string]int{}
	slots := make(chan struct{}, 20)
	for number := range envInt("CONNS", 2800) {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			conn, err := net.Dial("tcp", fleet.gateways[0].callers)
			if err != nil {
				return
			}
			fmt.Fprintf(conn, "POST /stream/x HTTP/1.1\r\nHost: %s\r\nX-Limpetrail-Attempt-Id: c%d\r\nX-Limpetrail-Deadline-Ms: 5000\r\nContent-Length: 1500\r\n\r\n%s", routeHost, number, make([]byte, 1500))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			mutex.Lock()
			defer mutex.Unlock()
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				counts[response.Status]++
			} else {
				counts["closed"]++
			}
			open = append(open, conn)
		})
	}
	group.Wait()
	record.log("%v open %d, %d MB, peak %d MB", counts, len(open), fleet.gateways[0].status("VmRSS")>>10, fleet.gateways[0].status("VmHWM")>>10)
	time.Sleep(5 * time.Second)
	record.log("%d MB, peak %d MB", fleet.gateways[0].status("VmRSS")>>10, fleet.gateways[0].status("VmHWM")>>10)
	for _, conn := range open {
		conn.Close()
	}

	return held
}
