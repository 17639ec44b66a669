package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"time"
)

const (
	// outage is for_s of the site's platform_down with how = "silent".
	outage = 5600 * time.Millisecond
	// jobItems is the most items that a job may have.
	jobItems = 200
)

// playSegments submits a job of 200 items whose answers are rows of an HTML table, and takes the
// store away for some seconds while they run. Rule LOST: when finishS is over, an item of an open
// batch job is listed neither as completed nor as dead_letter, though in the last 5 s no replica had
// an unlisted item of it, and in the last 3 s no item was finished.
func playSegments(fleet *fleet, trouble bool) verdict {
	eventCount, eventText = 201, func(attempt string, number int) string {
		return fmt.Sprintf("<tr><td>%s</td><td>lift %d</td><td>ok</td></tr>", attempt[8:], number)
	}

	// Items differ in how long they take, so that they don't end together: 2 to 8 s.
	eventPause = func(attempt string) time.Duration {
		hash := fnv.New32a()
		hash.Write([]byte(attempt))

		return 10*time.Millisecond + time.Duration(hash.Sum32()%30)*time.Millisecond
	}

	for number := range 12 {
		fleet.replicas = append(fleet.replicas, newReplica(fleet.store, fleet.record, service, zones[number%len(zones)], number, 30*time.Millisecond))
	}

	fleet.writeConfiguration(3, "/pule252/")
	fleet.startMachines(3)

	if !fleet.awaitReady() {
		return notRun
	}

	time.Sleep(3 * time.Second)

	long := newJob("7c41e09b52d6a3f8", "/pule252/", jobItems, 700)
	if long.submit(fleet, fleet.gateways[0]) != http.StatusAccepted {
		return notRun
	}

	time.Sleep(time.Second)

	if trouble {
		fleet.turnAllAway(true)
		fleet.record.line("the store no longer answers")
	}

	time.Sleep(outage)

	if trouble {
		fleet.turnAllAway(false)
		fleet.record.line("the store answers again")
	}

	time.Sleep(8 * time.Second)

	later := newJob("5a01e09b52d6a3f9", "/pule252/", 10, 700)
	if later.submit(fleet, fleet.gateways[0]) != http.StatusAccepted {
		later = nil
	}

	fleet.record.line("the clients send no more jobs")
	time.Sleep(finish)
	fleet.record.line("finishS is over; a replica last answered an item whole %.1f s ago", fleet.lastFinished().Seconds())

	left, wrong := 0, 0

	for _, job := range []*job{long, later} {
		if job == nil {
			continue
		}

		listed := map[string]bool{}

		results, _ := job.read(fleet, fleet.gateways[1])
		for _, row := range results {
			listed[row.ID] = true

			if row.State == "completed" && row.Output != output(row.ID) {
				wrong++
			}
		}

		lying := 0

		for _, item := range job.items {
			if !listed[item] && time.Since(fleet.lastHad(item)) > 5*time.Second {
				lying++
			}
		}

		fleet.record.line("job %s: %d of %d items are listed, %d are left lying", job.id, len(listed), len(job.items), lying)
		left += lying
	}

	switch {
	case wrong > 0 || left > 0 && fleet.lastFinished() > 3*time.Second:
		return broken
	case left > 0:
		return notRun
	default:
		return held
	}
}

// turnAllAway lets the store leave all calls unanswered, or answer them again.
func (fleet *fleet) turnAllAway(closed bool) {
	for _, process := range append(append([]*process{}, fleet.gateways...), fleet.holders...) {
		process.door.turnAway(closed)
	}
}
