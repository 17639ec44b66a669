package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"limpetrail/emulator"
)

func init() { cases["holders"] = playHolders }

// configuration is that of a small deployment. maxBodyBytes is that of all sites.
const configuration = `{"version":3,"routes":[
 {"name":"batch","host":"host.example","prefix":"/batch/","kind":"batch","timeoutMs":15000,"targetLatencyMs":1000,"service":"model","maxAttempts":3,"completionTargetMs":18000,"expiryS":60,"priority":2},
 {"name":"stream","host":"host.example","prefix":"/stream/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":300,"service":"model","maxAttempts":2,"resumable":true,"gapAimMs":300}],
 "services":[{"name":"model","healthPath":"/healthz"}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":30000}}`

// startServers lists model replicas that answer each item with events.
func (fleet *fleet) startServers(ctx context.Context, count, events int, text string) error {
	for number := range count {
		server := emulator.NewEventServer(fmt.Sprintf("i-%d", number), emulator.PlatformEventHeaders())
		server.EventCount, server.EventInterval = events, 5*time.Millisecond
		server.SetFaults(emulator.EventFaults{Padding: text})

		address, err := serve(ctx, server)
		if err != nil {
			return err
		}

		fleet.addServer(server.ID, "model", address, 8)
	}

	return nil
}

// watchMemory does what the platform does: it kills a process that uses more memory than its limit, and
// starts each process that has ended again. Only memory of the process itself counts here, not its files and
// not what waits in sockets. The function ends the watch.
func (fleet *fleet) watchMemory(ctx context.Context, limits map[*process]int) (*deaths, func()) {
	seen, watches := &deaths{counts: map[string]int{}}, sync.WaitGroup{}
	ctx, cancel := context.WithCancel(ctx)

	for watched, limit := range limits {
		watches.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(2 * time.Millisecond)

				if used := watched.status("RssAnon") >> 10; used > limit && !watched.hasEnded() {
					watched.signal(syscall.SIGKILL)
					<-watched.ended
					seen.add(watched.name)
					fleet.record.log("%s uses %d MB of %d: killed", watched.name, used, limit)
				}

				if !watched.hasEnded() {
					continue
				}

				time.Sleep(300 * time.Millisecond)

				if err := fleet.start(watched); err != nil {
					fleet.record.log("%s: %v", watched.name, err)
				}
			}
		})
	}

	return seen, func() {
		cancel()
		watches.Wait()
	}
}

// deaths counts how often each process ended by itself.
type deaths struct {
	mutex  sync.Mutex
	counts map[string]int
}

func (deaths *deaths) add(name string) {
	deaths.mutex.Lock()
	defer deaths.mutex.Unlock()

	deaths.counts[name]++
}

// verdict is the rule as written: on a tenth of the machines in use, two at least, processes end by
// themselves three times.
func (deaths *deaths) verdict(record *record, machines int) int {
	deaths.mutex.Lock()
	defer deaths.mutex.Unlock()

	ended := 0

	for name, count := range deaths.counts {
		record.log("%s ended %d times by its memory", name, count)

		if count >= 3 {
			ended++
		}
	}

	if ended >= 2 && 10*ended >= machines {
		return broken
	}

	return held
}

func playHolders(ctx context.Context, record *record, trouble bool) int {
	const gateways, holders, outages, groups, jobsOfGroup = 4, 4, 3, 2, 24

	fleet, err := newFleet(ctx, record, configuration)
	if err != nil {
		return cannotRun
	}
	defer fleet.end()

	fleet.lostDisks = 2

	if fleet.startServers(ctx, 4, 20, "") != nil || fleet.prepare(gateways, holders, 344, 150) != nil || fleet.startAll() != nil {
		return cannotRun
	}

	time.Sleep(2 * time.Second)

	limits := map[*process]int{}
	for _, holder := range fleet.holders {
		limits[holder] = 304
	}

	for _, gateway := range fleet.gateways {
		limits[gateway] = 344
	}

	seen, stop := fleet.watchMemory(ctx, limits)
	defer stop()

	for round := range outages {
		if trouble {
			record.log("the store does not answer for 4.5 s")
			fleet.store.Catalog.Faults.Set(emulator.FaultSwitches{Silent: true})
			time.AfterFunc(4500*time.Millisecond, func() {
				fleet.store.Catalog.Faults.Set(emulator.FaultSwitches{})
				record.log("the store answers again")
			})
		}

		sending := sync.WaitGroup{}

		for group := range groups {
			for number := range jobsOfGroup {
				sending.Go(func() { fleet.submit(ctx, (round*groups+group)*jobsOfGroup+number) })

				if !trouble {
					// Without a burst one job comes after the other.
					sending.Wait()
				}
			}

			time.Sleep(1500 * time.Millisecond)
		}

		sending.Wait()
		time.Sleep(10 * time.Second)
	}

	stop()

	for watched := range limits {
		record.log("%s: peak of its last process %d MB", watched.name, watched.status("VmHWM")>>10)
	}

	fleet.logAccepted(ctx)

	return seen.verdict(record, gateways+holders)
}

// logAccepted logs what the gateways answer to reads of the accepted jobs.
func (fleet *fleet) logAccepted(ctx context.Context) {
	statuses := map[int]int{}

	fleet.accepted.Range(func(id, _ any) bool {
		for _, gateway := range fleet.gateways {
			status, _, _ := fleet.call(ctx, gateway, http.MethodGet, fmt.Sprintf("/limpetrail/lots/%s?after=0", id), "", nil)
			statuses[status]++
		}

		return true
	})
	fleet.record.log("statuses of reads of the accepted jobs: %v", statuses)
}

// submit submits a job of about 4 MB, twice if it takes, each time at another gateway.
func (fleet *fleet) submit(ctx context.Context, number int) {
	const itemsOfJob, bytesOfItem = 10, 310_000

	id := fmt.Sprintf("%016x", number+1)
	items := []lotItem{}

	for index := range itemsOfJob {
		items = append(items, lotItem{
			ID: fmt.Sprintf("%s%02x", id, index), Path: "/batch/x", Headers: map[string]string{"X-Limpetrail-Model": "m"},
			Body: bytes.Repeat([]byte{byte(number), byte(index)}, bytesOfItem/2), Tokens: 900,
		})
	}

	body := lotBody(items)

	for attempt := range 2 {
		gateway := fleet.gateways[(number+attempt)%len(fleet.gateways)]
		status, _, err := fleet.call(ctx, gateway, http.MethodPost, "/batch/"+id, id, body)
		fleet.record.log("job %s of %d bytes to %s: %d %v", id, len(body), gateway.name, status, err)

		if status == http.StatusAccepted {
			fleet.accepted.Store(id, true)

			return
		}

		time.Sleep(500 * time.Millisecond)
	}
}
