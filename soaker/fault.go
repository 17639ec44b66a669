package soaker

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"limpetrail/deployer"
	"limpetrail/emulator"
	"limpetrail/kernel"
)

const (
	// concurrentFaults is the number of goroutines that inject faults.
	concurrentFaults = 3
	// minFaultDuration and maxFaultDuration bound the duration of a fault. The pauses
	// between faults last up to half of maxFaultDuration.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 3 * time.Second
)

// fault injects a fault into the deployment and returns when the fault has ended.
type fault func(soak *Soak, ctx context.Context)

// plannedFaults returns planned work, which must not interrupt any request.
func plannedFaults() []fault {
	return []fault{(*Soak).rollGateway, (*Soak).reloadGateway, (*Soak).writeNewerConfiguration, (*Soak).drainServer}
}

// unplannedFaults returns faults that may interrupt requests.
func unplannedFaults() []fault {
	return []fault{
		(*Soak).killGateway, (*Soak).freezeGateway, (*Soak).faultStore, (*Soak).faultStore, (*Soak).faultStoreLink, (*Soak).faultStoreLink,
		(*Soak).faultServer, (*Soak).faultServer, (*Soak).faultServerLink, (*Soak).faultServerLink, (*Soak).compactStore, (*Soak).freezeHolder,
	}
}

// firstWideSeed is the first seed that also draws wideFaults. Lower seeds leave them
// out, so that a seed that once failed still draws from the same faults.
const firstWideSeed = 200

// wideFaults returns faults of the holders and of all processes at once.
func wideFaults() []fault {
	return []fault{(*Soak).killHolder, (*Soak).killHolder, (*Soak).faultHolderLink, (*Soak).powerOff}
}

// injectFaults injects concurrent sequences of random faults for the given time.
func (soak *Soak) injectFaults(ctx context.Context, length time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()

	faults := plannedFaults()
	if !soak.PlannedOnly {
		faults = append(faults, unplannedFaults()...)
	}

	if !soak.PlannedOnly && soak.Seed >= firstWideSeed {
		faults = append(faults, wideFaults()...)
	}

	if soak.hasVersions() {
		faults = append(faults, (*Soak).releaseServer, (*Soak).releaseServer)
	}

	if !soak.PlannedOnly && soak.hasCompoundFaults() {
		faults = append(faults, compoundFaults()...)
		faults = append(faults, compoundFaults()...)
	}

	if !soak.PlannedOnly && soak.hasEndlessAnswers() {
		faults = append(faults, (*Soak).endlessStore, (*Soak).endlessStore, (*Soak).endlessStore)
	}

	if !soak.PlannedOnly && soak.hasSlowCallers() {
		faults = append(faults, (*Soak).slowCallers, (*Soak).slowCallers, (*Soak).slowCallers)
	}

	injectors := sync.WaitGroup{}

	for range concurrentFaults {
		injectors.Go(func() {
			for kernel.Pause(ctx, soak.random.durationBetween(0, maxFaultDuration/2)) {
				faults[soak.random.intN(len(faults))](soak, ctx)
			}
		})
	}

	injectors.Wait()
}

// pauseForFault waits for the random duration of a fault.
func (soak *Soak) pauseForFault(ctx context.Context) {
	kernel.Pause(ctx, soak.random.durationBetween(minFaultDuration, maxFaultDuration))
}

// lockGateway waits until no other fault affects a random gateway, and returns it with
// the function that releases it.
func (soak *Soak) lockGateway() (int, func()) {
	number := soak.random.intN(gatewayCount)
	soak.gatewayLocks[number].Lock()
	ended := soak.disturbances[number].begin()

	return number, func() {
		ended()
		soak.gatewayLocks[number].Unlock()
	}
}

// lockHolder does the same as lockGateway for a random holder.
func (soak *Soak) lockHolder() (int, func()) {
	number := soak.random.intN(holderCount)
	soak.holderLocks[number].Lock()

	return number, soak.holderLocks[number].Unlock
}

// restartGateway waits until a gateway's process has exited and starts it again.
func (soak *Soak) restartGateway(number int) {
	previous := soak.gateway(number)
	select {
	case <-previous.Ended:
	case <-time.After(deployer.ConditionTimeout):
		soak.history.RecordViolation("LOST: %s does not exit", previous.Name)

		return
	}

	soak.processLock.Lock()
	defer soak.processLock.Unlock()

	soak.LaunchGateway(gatewayName(number))
}

// rollGateway stops a gateway as planned and starts it again. Planned work never stops
// two gateways at once.
func (soak *Soak) rollGateway(ctx context.Context) {
	soak.plannedStopLock.Lock()
	defer soak.plannedStopLock.Unlock()

	number, release := soak.lockGateway()
	defer release()

	soak.gateway(number).Signal(syscall.SIGTERM)
	soak.restartGateway(number) //nolint:contextcheck // Processes last as long as the test.
	// The load balancer sends callers to the gateway again after its next check.
	kernel.Pause(ctx, 2*time.Second)
}

func (soak *Soak) killGateway(ctx context.Context) {
	number, release := soak.lockGateway()
	defer release()

	soak.gateway(number).Signal(syscall.SIGKILL)
	kernel.Pause(ctx, soak.random.durationBetween(0, time.Second))
	soak.restartGateway(number) //nolint:contextcheck // Processes last as long as the test.
}

func (soak *Soak) freezeGateway(ctx context.Context) {
	number, release := soak.lockGateway()
	defer release()

	soak.gateway(number).Signal(syscall.SIGSTOP)
	soak.pauseForFault(ctx)
	soak.gateway(number).Signal(syscall.SIGCONT)
}

func (soak *Soak) freezeHolder(ctx context.Context) {
	number, release := soak.lockHolder()
	defer release()

	soak.holder(number).Signal(syscall.SIGSTOP)
	soak.pauseForFault(ctx)
	soak.holder(number).Signal(syscall.SIGCONT)
}

// killHolder kills a holder at any moment and restarts it with the same data folder.
func (soak *Soak) killHolder(ctx context.Context) {
	number, release := soak.lockHolder()
	defer release()

	soak.holder(number).Signal(syscall.SIGKILL)
	kernel.Pause(ctx, soak.random.durationBetween(0, time.Second))
	soak.restartHolder(number) //nolint:contextcheck // Processes last as long as the test.
}

func (soak *Soak) restartHolder(number int) {
	<-soak.holder(number).Ended

	soak.processLock.Lock()
	defer soak.processLock.Unlock()

	soak.LaunchHolder(holderName(number))
}

func (soak *Soak) faultHolderLink(ctx context.Context) {
	soak.faultLink(ctx, soak.holder(soak.random.intN(holderCount)).StoreLink)
}

// powerOff kills all processes at once and starts them again, as after a power loss.
// What they wrote remains on their disks.
func (soak *Soak) powerOff(ctx context.Context) {
	for number := range gatewayCount {
		soak.gatewayLocks[number].Lock()
		defer soak.gatewayLocks[number].Unlock()
		defer soak.disturbances[number].begin()()
	}

	for number := range holderCount {
		soak.holderLocks[number].Lock()
		defer soak.holderLocks[number].Unlock()
	}

	for number := range gatewayCount {
		soak.gateway(number).Signal(syscall.SIGKILL)
	}

	for number := range holderCount {
		soak.holder(number).Signal(syscall.SIGKILL)
	}

	kernel.Pause(ctx, soak.random.durationBetween(0, time.Second))

	for number := range holderCount {
		soak.restartHolder(number) //nolint:contextcheck // Processes last as long as the test.
	}

	for number := range gatewayCount {
		soak.restartGateway(number) //nolint:contextcheck // Processes last as long as the test.
	}
}

// reloadGateway sends a hangup signal to a gateway.
func (soak *Soak) reloadGateway(ctx context.Context) {
	number, release := soak.lockGateway()
	defer release()

	// SIGHUP kills a process that has not installed its handler yet.
	process := soak.gateway(number)
	for !process.HasLogged("Serving.") && kernel.Pause(ctx, statusInterval) {
		continue
	}

	process.Signal(syscall.SIGHUP)
	soak.pauseForFault(ctx)
}

// writeNewerConfiguration writes a newer version of the configuration to the store.
func (soak *Soak) writeNewerConfiguration(ctx context.Context) {
	soak.WriteConfiguration(int(soak.version.Add(1 + int64(soak.random.intN(3)))))
	soak.pauseForFault(ctx)
}

// drainServer marks a backend server as leaving for a while, then as ready again.
func (soak *Soak) drainServer(ctx context.Context) {
	index := soak.random.intN(len(soak.Servers))
	soak.MarkServerLeaving(index)
	kernel.Pause(ctx, 2*time.Second)
	soak.pauseForFault(ctx)
	soak.MarkServerReady(index)
}

// randomLinkFaults returns one random fault for a link.
func (soak *Soak) randomLinkFaults() deployer.LinkFaults {
	switch soak.random.intN(4) {
	case 0:
		return deployer.LinkFaults{Delay: soak.random.durationBetween(20*time.Millisecond, 300*time.Millisecond)}
	case 1:
		return deployer.LinkFaults{DropToTarget: true}
	case 2:
		return deployer.LinkFaults{DropFromTarget: true}
	default:
		return deployer.LinkFaults{RefuseConnections: true}
	}
}

func (soak *Soak) faultLink(ctx context.Context, link *deployer.Link) {
	if soak.random.intN(3) == 0 {
		link.ResetConnections()

		return
	}

	link.SetFaults(soak.randomLinkFaults())
	soak.pauseForFault(ctx)
	link.SetFaults(deployer.LinkFaults{})
	// The discarded bytes are never sent again, so the connections can't be used.
	link.ResetConnections()
}

func (soak *Soak) faultStoreLink(ctx context.Context) {
	soak.faultLink(ctx, soak.gateway(soak.random.intN(gatewayCount)).StoreLink)
}

func (soak *Soak) faultServerLink(ctx context.Context) {
	soak.faultLink(ctx, soak.ServerLinks[soak.random.intN(len(soak.ServerLinks))])
}

// faultStore makes the store fail for all its clients.
func (soak *Soak) faultStore(ctx context.Context) {
	faults := []emulator.FaultSwitches{
		{Outage: true}, {Freeze: true}, {DropAnswers: 1 + soak.random.intN(4)}, {Delay: soak.random.durationBetween(50*time.Millisecond, 400*time.Millisecond)},
	}
	soak.Store.Catalog.Faults.Set(faults[soak.random.intN(len(faults))])
	soak.pauseForFault(ctx)
	soak.Store.Catalog.Faults.Set(emulator.FaultSwitches{})
}

func (soak *Soak) compactStore(context.Context) {
	soak.Store.Catalog.Compact()
}

func (soak *Soak) faultServer(ctx context.Context) {
	faults := []emulator.EventFaults{
		{NeverAnswer: true},
		{BreakAfter: 1 + soak.random.intN(15)},
		{BreakAfter: 1 + soak.random.intN(15), BreakMidEvent: true},
		{StallAfter: 1 + soak.random.intN(15)},
		{FailStatus: 500},
		{SkipEvent: 1 + soak.random.intN(15)},
		{SlowFactor: 5},
	}

	if soak.hasCompoundFaults() {
		// No item may fail, so that none may be given up.
		faults = slices.DeleteFunc(faults, func(drawn emulator.EventFaults) bool { return drawn.FailStatus != 0 })
	}

	server := soak.Servers[soak.random.intN(len(soak.Servers))]
	server.SetFaults(faults[soak.random.intN(len(faults))])
	soak.pauseForFault(ctx)
	server.SetFaults(emulator.EventFaults{})
}
