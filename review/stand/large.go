package main

import (
	"net/http"
	"time"
)

const (
	// largestItem is the largest req_bytes.max of the site's batch jobs, and largeItem a body whose
	// base64 text exceeds valueBytes; the whole job stays below maxBodyBytes.
	largestItem = 290_000
	largeItem   = 900_000
)

// playLarge submits a job with one long item, within limits.maxBodyBytes. Rule LOST: at the end of
// the day a batch job can't be read; when finishS is over, an item is listed neither as completed
// nor as dead_letter though no replica had it in the last 5 s.
func playLarge(fleet *fleet, trouble bool) verdict {
	for number := range 4 {
		fleet.replicas = append(fleet.replicas, newReplica(fleet.store, fleet.record, service, zones[number%len(zones)], number, 30*time.Millisecond))
	}

	fleet.writeConfiguration(3, "/pule252/")
	fleet.startMachines(2)

	if !fleet.awaitReady() {
		return notRun
	}

	time.Sleep(3 * time.Second)

	size := largestItem
	if trouble {
		size = largeItem
	}

	long := newJob("7c41e09b52d6a3f8", "/pule252/", 1, size)
	if status := long.submit(fleet, fleet.gateways[0]); status != http.StatusAccepted {
		// A job that is turned away is not lost.
		return held
	}

	short := newJob("5a01e09b52d6a3f9", "/pule252/", 10, 700)
	short.submit(fleet, fleet.gateways[1])

	time.Sleep(finish + 2*time.Second)
	fleet.record.line("finishS is over")

	verdict := held

	for _, gateway := range fleet.gateways {
		results, status := long.read(fleet, gateway)
		if status != http.StatusOK || len(results) < len(long.items) {
			verdict = broken
		}
	}

	if results, _ := short.read(fleet, fleet.gateways[0]); len(results) < len(short.items) {
		fleet.record.line("the short job is not done either: %d of %d", len(results), len(short.items))
	}

	if verdict == broken {
		fleet.record.line("the long job got 202 and is not listed; a replica last had its item %.1f s ago", time.Since(fleet.lastHad(long.items[0])).Seconds())
	}

	return verdict
}
