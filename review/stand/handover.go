package main

import (
	"net/http"
	"syscall"
	"time"
)

// playHandover adds a batch route while the store turns one gateway away, has a job accepted on it
// at the other gateway and stops that one as planned. Rule MIXED: a result is dead_letter before a
// 422, maxAttempts answers of 500, expiryS, the end of its batch job or of its route.
func playHandover(fleet *fleet, trouble bool) verdict {
	for number := range 4 {
		fleet.replicas = append(fleet.replicas, newReplica(fleet.store, fleet.record, service, zones[number%len(zones)], number, 30*time.Millisecond))
	}

	fleet.writeConfiguration(3, "/pule252/")
	fleet.startMachines(2)

	if !fleet.awaitReady() {
		return notRun
	}

	time.Sleep(3 * time.Second)

	stopped, successor := fleet.gateways[0], fleet.gateways[1]

	// The silence begins with a watch of the configuration, so that its length does not vary.
	for len(successor.door.watches) > 0 {
		<-successor.door.watches
	}

	for prefix := ""; prefix != "op/"; {
		select {
		case prefix = <-successor.door.watches:
		case <-time.After(10 * time.Second):
			return notRun
		}
	}

	if trouble {
		successor.door.turnAway(true)
		fleet.record.line("the store no longer answers %s", successor.name)
	}

	time.Sleep(300 * time.Millisecond)
	fleet.writeConfiguration(7, "/pule252/", "/vuro118/")
	time.Sleep(300 * time.Millisecond)

	accepted := newJob("7c41e09b52d6a3f8", "/vuro118/", 10, 700)

	submitted := time.Now()
	if accepted.submit(fleet, stopped) != http.StatusAccepted {
		return notRun
	}

	time.Sleep(200 * time.Millisecond)
	fleet.record.line("%s gets SIGTERM", stopped.name)
	check(stopped.command.Process.Signal(syscall.SIGTERM))

	time.Sleep(5 * time.Second)

	if trouble {
		successor.door.turnAway(false)
		fleet.record.line("the store answers %s again", successor.name)
	}

	results := []result{}

	await(20*time.Second, func() bool {
		results, _ = accepted.read(fleet, successor)
		time.Sleep(500 * time.Millisecond)

		return len(results) == len(accepted.items)
	})

	given, wrong := 0, 0

	for _, row := range results {
		switch {
		case row.State == "dead_letter" && time.Since(submitted) < expiry:
			given++
		case row.State == "completed" && row.Output != output(row.ID):
			wrong++
		}
	}

	fleet.record.line("%d of %d items are listed, %d as dead_letter %.1f s after the job was sent (expiryS %.0f); replicas have answered no item with 422 or 500", len(results), len(accepted.items), given, time.Since(submitted).Seconds(), expiry.Seconds())

	switch {
	case given > 0 || wrong > 0:
		return broken
	case len(results) < len(accepted.items):
		return notRun
	default:
		return held
	}
}
