package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"limpetrail/emulator"
	"limpetrail/kernel"
	"limpetrail/stager"
)

const (
	gatewayCount = 3
	holderCount  = 2
	// callerCount send streams one after the other, submitters jobs.
	callerCount    = 10
	submitterCount = 2
	// recoveryPause is how long everything runs undisturbed before the judgement
	// waits for what has to come.
	recoveryPause = 3 * time.Second
	// statusInterval is how often the version in force is asked for.
	statusInterval = 300 * time.Millisecond
)

// Soak is one run of a seed.
type Soak struct {
	*stager.Deployment
	Seed uint64
	// PlannedOnly runs have nothing but planned work, which cuts nobody off.
	PlannedOnly bool

	random  *lockedRandom
	history *History
	// version is the newest configuration's, and rotation the gateways that the
	// balancer sends to.
	version  atomic.Int64
	rotation sync.Map
	// gatewayLocks guards the gateways: one trouble at a time has each in its hands.
	gatewayLocks [gatewayCount]sync.Mutex
	// holderLocks guards the holders in the same way.
	holderLocks [holderCount]sync.Mutex
	// plannedStopLock lets one planned stop go on at a time.
	plannedStopLock sync.Mutex
	// processLock guards the present processes.
	processLock sync.Mutex
}

// lockedRandom is drawn from by several goroutines.
type lockedRandom struct {
	mutex  sync.Mutex
	random *rand.Rand
}

func (random *lockedRandom) intN(limit int) int {
	random.mutex.Lock()
	defer random.mutex.Unlock()

	return random.random.IntN(limit)
}

// durationBetween draws a duration.
func (random *lockedRandom) durationBetween(least, most time.Duration) time.Duration {
	return least + time.Duration(random.intN(int(most-least)))
}

// NewSoak starts the deployment of a seed. Each fourth seed is planned work.
func NewSoak(deployment *stager.Deployment, seed uint64) *Soak {
	soak := &Soak{
		Deployment: deployment, Seed: seed, PlannedOnly: seed%4 == 0,
		random:  &lockedRandom{random: rand.New(rand.NewPCG(seed, seed))},
		history: NewHistory(),
	}
	soak.version.Store(3)

	for number := range gatewayCount {
		soak.Starts(gatewayName(number))
		soak.rotation.Store(number, true)
	}

	for number := range holderCount {
		soak.Holds(holderName(number))
	}

	return soak
}

func gatewayName(number int) string {
	return fmt.Sprintf("gateway-%d", number)
}

func holderName(number int) string {
	return fmt.Sprintf("holder-%d", number)
}

// holder returns the present process of a holder.
func (soak *Soak) holder(number int) *stager.Process {
	soak.processLock.Lock()
	defer soak.processLock.Unlock()

	return soak.Holders[holderName(number)]
}

// gateway returns the present process of a gateway.
func (soak *Soak) gateway(number int) *stager.Process {
	soak.processLock.Lock()
	defer soak.processLock.Unlock()

	return soak.Gateways[gatewayName(number)]
}

// Run disturbs the deployment for a time and returns the promises that were
// broken.
func (soak *Soak) Run(ctx context.Context, length time.Duration) []string {
	serving, stop := context.WithCancel(ctx)
	working := sync.WaitGroup{}

	working.Go(func() { soak.updateRotation(serving) })
	working.Go(func() { soak.watchVersions(serving) })
	working.Go(func() { soak.restartExited(serving) })

	for number := range callerCount {
		working.Go(func() { soak.sendRequests(serving, number) })
	}

	for number := range submitterCount {
		working.Go(func() { soak.submitJobs(serving, number) })
	}

	soak.injectFaults(ctx, length)
	soak.clearFaults()
	time.Sleep(recoveryPause)
	stop()
	working.Wait()

	return append(soak.history.Violations(), soak.check(ctx)...)
}

// updateRotation takes gateways out of rotation as the platform's balancer does: after
// two questions without a good answer.
func (soak *Soak) updateRotation(ctx context.Context) {
	misses := [gatewayCount]int{}

	for kernel.Pause(ctx, time.Second) {
		for number := range gatewayCount {
			if soak.IsReady(soak.gateway(number)) { //nolint:contextcheck // Deployments live as long as the test.
				misses[number] = 0
			} else {
				misses[number]++
			}

			soak.rotation.Store(number, misses[number] < 2)
		}
	}
}

// restartExited starts gateways again that ended by themselves, as the platform does.
// None should.
func (soak *Soak) restartExited(ctx context.Context) {
	for kernel.Pause(ctx, statusInterval) {
		for number := range gatewayCount {
			if !soak.gatewayLocks[number].TryLock() {
				continue
			}

			if process := soak.gateway(number); !process.IsRunning() {
				soak.history.RecordViolation("EXIT: %s ended by itself", process.Name)
				soak.restartGateway(number) //nolint:contextcheck // Processes last as long as the test.
			}

			soak.gatewayLocks[number].Unlock()
		}
	}
}

// pickGateway returns a gateway in rotation, or any if there is none.
func (soak *Soak) pickGateway() int {
	first := soak.random.intN(gatewayCount)

	for offset := range gatewayCount {
		number := (first + offset) % gatewayCount
		if in, _ := soak.rotation.Load(number); in == true {
			return number
		}
	}

	return first
}

// clearFaults ends all disturbances.
func (soak *Soak) clearFaults() {
	soak.Store.Catalog.Faults.Set(emulator.Switches{})

	for index, server := range soak.Servers {
		server.Set(emulator.EventFaults{})
		soak.ServerLinks[index].SetFaults(stager.LinkFaults{})
		soak.MarkServerReady(index)
	}

	for number := range gatewayCount {
		soak.gateway(number).StoreLink.SetFaults(stager.LinkFaults{})
	}

	for number := range holderCount {
		soak.holder(number).StoreLink.SetFaults(stager.LinkFaults{})
	}
}
