package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// streamPrefix is the prefix of the route of streams, which may be resumed.
	streamPrefix = "/gono990/"
	// streamPause lies between two streams of all clients.
	streamPause = 25 * time.Millisecond
)

// playVersions lets a replica crash while the store is down. It starts again under its id, with
// newer software, and crashes once more. Rule ORDER (news page of issue 31): more than two streams
// hold events from replicas of two software versions of one service, in one answer.
func playVersions(fleet *fleet, trouble bool) verdict {
	eventCount = 40
	eventPause = func(string) time.Duration { return 25 * time.Millisecond }

	for number := range 6 {
		created := newReplica(fleet.store, fleet.record, service, zones[number%len(zones)], number, 30*time.Millisecond)
		fleet.replicas = append(fleet.replicas, created)
	}

	fleet.writeConfiguration(3, "/pule252/")
	fleet.startMachines(3)

	upgraded := fleet.replicas[0]
	upgraded.keepID()

	if !fleet.awaitReady() {
		return notRun
	}

	time.Sleep(3 * time.Second)

	joined, whole, mutex, streams := 0, 0, sync.Mutex{}, sync.WaitGroup{}
	began := time.Now()

	if trouble {
		time.AfterFunc(time.Second, func() {
			fleet.turnAllAway(true)
			upgraded.setUnregistered(true)
			fleet.record.line("the store no longer answers")
		})
		time.AfterFunc(1500*time.Millisecond, func() {
			upgraded.setVersion("v2")
			upgraded.crash(time.Second)
		})
		time.AfterFunc(5*time.Second, func() { upgraded.crash(time.Second) })
		time.AfterFunc(time.Second+outage, func() {
			fleet.turnAllAway(false)
			upgraded.setUnregistered(false)
			fleet.record.line("the store answers again")
			upgraded.register()
		})
	}

	for number := 0; time.Since(began) < 12*time.Second; number++ {
		gateway := fleet.gateways[number%len(fleet.gateways)]

		streams.Go(func() {
			versions, complete := readStream(fleet, gateway, fmt.Sprintf("%016x", 0x1c41d07b00000000+number))

			mutex.Lock()
			defer mutex.Unlock()

			if len(versions) > 1 {
				joined++
			}

			if complete {
				whole++
			}
		})
		time.Sleep(streamPause)
	}

	streams.Wait()
	fleet.record.line("%d streams hold events of two versions, %d streams are complete", joined, whole)

	switch {
	case joined > 2:
		return broken
	case whole < 100:
		return notRun
	default:
		return held
	}
}

// keepID lets the replica start again under its id. Its entry changes its key once.
func (replica *replica) keepID() {
	replica.store.drop("servers/" + replica.id())

	replica.mutex.Lock()
	replica.sameID = true
	replica.mutex.Unlock()

	replica.register()
}

func (replica *replica) setVersion(version string) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()

	replica.version = version
}

func (replica *replica) setUnregistered(unregistered bool) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()

	replica.unregistered = unregistered
}

// readStream makes one request and returns the software versions of the events of its answer, and
// whether it ended as complete.
func readStream(fleet *fleet, gateway *process, attempt string) (map[string]bool, bool) {
	versions := map[string]bool{}

	request, err := http.NewRequest(http.MethodPost, "http://"+gateway.callers+streamPrefix+"2f", strings.NewReader("prompt"))
	check(err)

	request.Host = host
	request.Header.Set("X-Limpetrail-Attempt-Id", attempt)
	request.Header.Set("X-Limpetrail-Model", "m")
	request.Header.Set("X-Limpetrail-Token-Usage", "450,40")
	request.Header.Set("X-Limpetrail-Prompt-Prefix", "5c1e07a2:200,"+attempt[8:]+":250")
	request.Header.Set("X-Limpetrail-Deadline-Ms", "5000")

	client := http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

	response, err := client.Do(request)
	if err != nil {
		fleet.record.line("client: %s at %s: no answer (%v)", attempt, gateway.name, err)

		return versions, false
	}
	defer response.Body.Close()

	lines, events, turn := bufio.NewScanner(response.Body), 0, ""

	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}

		version := "v1"
		if strings.HasSuffix(data, "@v2") {
			version = "v2"
		}

		if !versions[version] {
			turn += fmt.Sprintf(" %s from event %d", version, events)
		}

		versions[version] = true
		events++
	}

	complete := lines.Err() == nil && response.StatusCode == http.StatusOK && events == eventCount
	fleet.record.line("client: %s at %s: %d, %d events, complete %t:%s", attempt, gateway.name, response.StatusCode, events, complete, turn)

	return versions, complete
}
