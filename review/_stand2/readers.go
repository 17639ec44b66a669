package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["readers"] = playReaders }

const (
	// smallestGateway is the memory of the smallest gateways of kerlann-prets-grown, in megabytes.
	smallestGateway = 144
	// slowReaders is how many clients read at one gateway, and readTime how long each of them takes.
	slowReaders = 300
	readTime    = 9 * time.Second
	// waves is how often they read.
	waves = 6
)

func playReaders(ctx context.Context, record *record, trouble bool) int {
	const itemsOfJob = 8

	fleet, err := newFleet(ctx, record, configuration)
	if err != nil {
		return cannotRun
	}
	defer fleet.end()

	fleet.lostDisks = 1

	// Each event has a line of a letter, so that the answer has about 0.6 MB.
	line := strings.Repeat(" Madame, Monsieur, veuillez noter l'échéance de votre prêt.", 6)
	if fleet.startServers(ctx, 3, 200, line) != nil || fleet.prepare(2, 3, smallestGateway, 410) != nil || fleet.startAll() != nil {
		return cannotRun
	}

	time.Sleep(2 * time.Second)

	id, items := "7c41e09b52d6a3f8", []lotItem{}
	for index := range itemsOfJob {
		items = append(items, lotItem{ID: fmt.Sprintf("%s%02x", id, index), Path: "/batch/x", Headers: map[string]string{"X-Limpetrail-Model": "m"}, Body: []byte("dossier"), Tokens: 900})
	}

	status, _, err := fleet.call(ctx, fleet.gateways[0], http.MethodPost, "/batch/"+id, id, lotBody(items))
	record.log("job %s: %d %v", id, status, err)

	if !fleet.awaitResults(ctx, id, itemsOfJob) {
		return cannotRun
	}

	limits := map[*process]int{}
	for _, gateway := range fleet.gateways {
		limits[gateway] = smallestGateway
	}

	seen, stop := fleet.watchMemory(ctx, limits)
	defer stop()

	for wave := range waves {
		readers := sync.WaitGroup{}

		for _, gateway := range fleet.gateways {
			readers.Go(func() { fleet.readAtOnce(ctx, gateway, id, wave, trouble) })
		}

		readers.Wait()

		for !fleet.isReady() && ctx.Err() == nil {
			time.Sleep(50 * time.Millisecond)
		}
	}

	stop()

	for watched := range limits {
		record.log("%s: peak of its last process %d MB", watched.name, watched.status("VmHWM")>>10)
	}

	return seen.verdict(record, len(fleet.gateways)+len(fleet.holders))
}

func (fleet *fleet) awaitResults(ctx context.Context, id string, count int) bool {
	for range 300 {
		status, content, _ := fleet.call(ctx, fleet.gateways[1], http.MethodGet, "/limpetrail/lots/"+id+"?after=0", "", nil)
		if status == http.StatusOK && bytes.Count(content, []byte(`"completed"`)) >= count-1 {
			fleet.record.log("an answer to a read has %d bytes", len(content))

			return true
		}

		time.Sleep(100 * time.Millisecond)
	}

	return false
}

// readAtOnce lets the clients of a wave read the results. A slow one takes 512 bytes five times a second.
func (fleet *fleet) readAtOnce(ctx context.Context, gateway *process, id string, wave int, slow bool) {
	readers, statuses, mutex := sync.WaitGroup{}, map[string]int{}, sync.Mutex{}
	until := time.Now().Add(readTime)

	// Those who read without pauses are soon done, so that a few of them come at a time.
	atOnce := make(chan struct{}, 8)

	for range slowReaders {
		if !slow {
			atOnce <- struct{}{}
		}

		readers.Go(func() {
			if !slow {
				defer func() { <-atOnce }()
			}

			outcome := fleet.read(ctx, gateway, id, until, slow)

			mutex.Lock()
			defer mutex.Unlock()

			statuses[outcome]++
		})

		time.Sleep(5 * time.Millisecond)
	}

	readers.Wait()
	fleet.record.log("wave %d, %d reads at %s: %v", wave, slowReaders, gateway.name, statuses)
}

func (fleet *fleet) read(ctx context.Context, gateway *process, id string, until time.Time, slow bool) string {
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", gateway.callers)
	if err != nil {
		return "not connected"
	}
	defer connection.Close()

	fmt.Fprintf(connection, "GET /limpetrail/lots/%s?after=0 HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", id, routeHost)

	buffer, total, pause := make([]byte, 64<<10), 0, time.Duration(0)
	if slow {
		buffer, pause = buffer[:512], 200*time.Millisecond
	}

	for time.Now().Before(until) {
		count, err := connection.Read(buffer)
		total += count

		if err != nil && total == 0 {
			return "cut without an answer"
		}

		if err != nil {
			return map[bool]string{true: "cut", false: "read to its end"}[slow]
		}

		time.Sleep(pause)
	}

	return "still reading"
}
