package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"limpetrail/deployer"
	"limpetrail/emulator"
	"limpetrail/kernel"
)

const (
	gatewayCount = 3
	holderCount  = 2
	// callerCount callers request streams one after the other, and submitterCount
	// submitters submit jobs.
	callerCount    = 10
	submitterCount = 2
	// deadlyCallerCount callers send requests with the deadly part, or the deadly request.
	deadlyCallerCount = 2
	// recoveryPause is how long the load continues after the last fault, before the
	// final checks.
	recoveryPause = 3 * time.Second
	// statusInterval is the interval between two status queries.
	statusInterval = 300 * time.Millisecond
)

// Soak is a soak test with the faults of one seed.
type Soak struct {
	*deployer.Deployment
	Seed uint64
	// PlannedOnly limits the faults to planned work, which must not interrupt any
	// request.
	PlannedOnly bool

	random  *lockedRandom
	history *History
	// version is the newest configuration version, and rotation the gateways to which
	// the load balancer sends new connections.
	version  atomic.Int64
	rotation sync.Map
	// gatewayLocks let only one fault at a time affect each gateway process.
	gatewayLocks [gatewayCount]sync.Mutex
	// holderLocks do the same for the holders.
	holderLocks [holderCount]sync.Mutex
	// plannedStopLock allows one planned stop at a time.
	plannedStopLock sync.Mutex
	// disturbances records the faults of each gateway's processes.
	disturbances [gatewayCount]disturbance
	// releaseLock allows one server to be replaced at a time.
	releaseLock sync.Mutex
	// processLock guards the maps of the current processes.
	processLock sync.Mutex
}

// lockedRandom is a random generator that is safe for concurrent use.
type lockedRandom struct {
	mutex  sync.Mutex
	random *rand.Rand
}

func newLockedRandom(seed uint64) *lockedRandom {
	return &lockedRandom{random: rand.New(rand.NewPCG(seed, seed))}
}

func (random *lockedRandom) intN(limit int) int {
	random.mutex.Lock()
	defer random.mutex.Unlock()

	return random.random.IntN(limit)
}

// durationBetween returns a random duration from shortest up to but excluding longest.
func (random *lockedRandom) durationBetween(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.intN(int(longest-shortest)))
}

// NewSoak starts the processes for a seed. Every fourth seed has planned work only.
func NewSoak(deployment *deployer.Deployment, seed uint64) *Soak {
	soak := &Soak{
		Deployment: deployment, Seed: seed, PlannedOnly: seed%4 == 0,
		random:  newLockedRandom(seed),
		history: NewHistory(),
	}
	soak.version.Store(3)

	if soak.hasWorkspaces() {
		soak.UseWorkspaces(int(soak.version.Load()))
	}

	if soak.hasDeadlyPart() {
		for _, server := range soak.Servers {
			server.SetDeadlyParts(deadlyPart)
		}
	}

	if soak.hasDeadlyRequest() {
		for _, server := range soak.Servers {
			server.SetDeadlyBody(deadlyBody)
		}
	}

	if soak.hasVersions() {
		for index := range soak.Servers {
			soak.giveSoftware(index)
		}
	}

	if soak.hasSlowCallers() {
		soak.GatewayMemory = smallGateway
	}

	for number := range gatewayCount {
		soak.StartGateway(gatewayName(number))
		soak.rotation.Store(number, true)
	}

	for number := range holderCount {
		soak.StartHolder(holderName(number))
	}

	return soak
}

func gatewayName(number int) string {
	return fmt.Sprintf("gateway-%d", number)
}

func holderName(number int) string {
	return fmt.Sprintf("holder-%d", number)
}

// holder returns the current process of a holder.
func (soak *Soak) holder(number int) *deployer.Process {
	soak.processLock.Lock()
	defer soak.processLock.Unlock()

	return soak.Holders[holderName(number)]
}

// gateway returns the current process of a gateway.
func (soak *Soak) gateway(number int) *deployer.Process {
	soak.processLock.Lock()
	defer soak.processLock.Unlock()

	return soak.Gateways[gatewayName(number)]
}

// Run sends load and injects faults for the given time, and returns the violations
// that it found.
func (soak *Soak) Run(ctx context.Context, length time.Duration) []string {
	loadCtx, stopLoad := context.WithCancel(ctx)
	workers := sync.WaitGroup{}

	workers.Go(func() { soak.updateRotation(loadCtx) })
	workers.Go(func() { soak.watchVersions(loadCtx) })
	workers.Go(func() { soak.restartExited(loadCtx) })

	for number := range callerCount {
		workers.Go(func() { soak.sendRequests(loadCtx, number) })
	}

	if soak.hasDeadlyPart() || soak.hasDeadlyRequest() {
		for number := range deadlyCallerCount {
			workers.Go(func() { soak.sendDeadlyRequests(loadCtx, number) })
		}
	}

	if soak.hasDeadlyPart() {
		workers.Go(func() { soak.submitDeadlyJob(loadCtx) })
	}

	if soak.hasWorkspaces() {
		workers.Go(func() { soak.intrude(loadCtx) })
	}

	for number := range submitterCount {
		workers.Go(func() { soak.submitJobs(loadCtx, number) })
	}

	soak.injectFaults(ctx, length)
	soak.clearFaults()

	if soak.hasDiskLoss() {
		soak.loseDisks(ctx)
	}

	time.Sleep(recoveryPause)
	stopLoad()
	workers.Wait()

	return append(soak.history.Violations(), soak.check(ctx)...)
}

// updateRotation takes gateways out of rotation as the platform's load balancer does:
// after two failed readiness checks in a row.
func (soak *Soak) updateRotation(ctx context.Context) {
	failures := [gatewayCount]int{}

	for kernel.Pause(ctx, time.Second) {
		for number := range gatewayCount {
			if soak.IsReady(soak.gateway(number)) { //nolint:contextcheck // Deployments live as long as the test.
				failures[number] = 0
			} else {
				failures[number]++
			}

			soak.rotation.Store(number, failures[number] < 2)
		}
	}
}

// restartExited restarts gateways that exited by themselves, as the platform does, and
// records each as a violation.
func (soak *Soak) restartExited(ctx context.Context) {
	for kernel.Pause(ctx, statusInterval) {
		for number := range gatewayCount {
			if !soak.gatewayLocks[number].TryLock() {
				continue
			}

			if process := soak.gateway(number); !process.IsRunning() {
				soak.history.RecordViolation("EXIT: %s exited by itself", process.Name)
				soak.restartGateway(number) //nolint:contextcheck // Processes last as long as the test.
			}

			soak.gatewayLocks[number].Unlock()
		}
	}
}

// pickGateway returns a random gateway in rotation, or any gateway if there is none.
func (soak *Soak) pickGateway() int {
	first := soak.random.intN(gatewayCount)

	for offset := range gatewayCount {
		number := (first + offset) % gatewayCount
		if inRotation, _ := soak.rotation.Load(number); inRotation == true {
			return number
		}
	}

	return first
}

// clearFaults ends all injected faults.
func (soak *Soak) clearFaults() {
	soak.Store.Catalog.Faults.Set(emulator.FaultSwitches{})
	soak.Store.Catalog.SetValueBytes(usualValueBytes)

	for index, server := range soak.Servers {
		server.SetFaults(emulator.EventFaults{})
		soak.ServerLinks[index].SetFaults(deployer.LinkFaults{})
		soak.MarkServerReady(index)
	}

	for number := range gatewayCount {
		soak.gateway(number).StoreLink.SetFaults(deployer.LinkFaults{})
	}

	for number := range holderCount {
		soak.holder(number).StoreLink.SetFaults(deployer.LinkFaults{})
	}
}
