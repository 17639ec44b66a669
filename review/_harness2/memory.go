package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"limpetrail/emulator"
)

func init() { cases["memory"] = playMemory }

const memoryConfiguration = `{"version":3,"routes":[
 {"name":"batch","host":"host.example","prefix":"/batch/","kind":"batch","timeoutMs":15000,"targetLatencyMs":500,"service":"model","maxAttempts":3,"completionTargetMs":18000,"expiryS":60,"priority":2},
 {"name":"stream","host":"host.example","prefix":"/stream/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":300,"service":"model","maxAttempts":2,"resumable":true,"gapAimMs":300}],
 "services":[{"name":"model","healthPath":"/healthz"}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":30000}}`

func envInt(name string, fallback int) int {
	if value, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return value
	}

	return fallback
}

func playMemory(ctx context.Context, record *record, trouble bool) int {
	limit := envInt("LIMIT", 284)
	fleet, err := newFleet(ctx, record, memoryConfiguration)
	if err != nil {
		return cannotRun
	}
	defer fleet.end()

	for number := range 3 {
		server := emulator.NewEventServer(fmt.Sprintf("i-%d", number), emulator.PlatformEventHeaders())
		server.EventCount = 200
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

	monitored, stop := context.WithCancel(ctx)
	defer stop()

	killed := false
	go func() {
		for monitored.Err() == nil {
			for _, watched := range append(append([]*process{}, fleet.gateways...), fleet.holders...) {
				if rss := watched.status("VmRSS"); rss>>10 > limit && !watched.hasEnded() {
					record.log("%s uses %d MB: killed", watched.name, rss>>10)
					watched.signal(syscall.SIGKILL)
					killed = true
				}
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()

	count, atOnce := envInt("LOTS", 24), envInt("ATONCE", 6)
	if !trouble {
		count, atOnce = 2, 1
	}
	slots := make(chan struct{}, atOnce)
	group := sync.WaitGroup{}

	for number := range count {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			id := fmt.Sprintf("lot-%04d", number)
			items := []lotItem{}
			for index := range 10 {
				items = append(items, lotItem{ID: fmt.Sprintf("%s-%d", id, index), Path: "/batch/x", Headers: map[string]string{"X-Limpetrail-Model": "m"}, Body: bytes.Repeat([]byte{byte(number), byte(index), 7}, 100_000), Tokens: 900})
			}
			body := lotBody(items)
			request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+fleet.gateways[0].callers+"/batch/"+id, bytes.NewReader(body))
			request.Host, request.Close = routeHost, true
			request.Header.Set("X-Limpetrail-Attempt-Id", id)
			request.Header.Set("X-Limpetrail-Deadline-Ms", "4000")
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				record.log("lot %s (%d bytes): %v", id, len(body), err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			record.log("lot %s (%d bytes): %d", id, len(body), response.StatusCode)
		})
	}
	group.Wait()
	time.Sleep(time.Duration(envInt("AFTER", 15)) * time.Second)
	stop()
	for _, watched := range append(append([]*process{}, fleet.gateways...), fleet.holders...) {
		record.log("%s: peak %d MB, now %d MB", watched.name, watched.status("VmHWM")>>10, watched.status("VmRSS")>>10)
	}
	if killed {
		return broken
	}
	return held
}
