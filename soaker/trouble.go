package soaker

import (
	"context"
	"sync"
	"syscall"
	"time"

	"limpetrail/emulator"
	"limpetrail/kernel"
	"limpetrail/stager"
)

const (
	// concurrentFaults is how many series of troubles run beside each other.
	concurrentFaults = 3
	// Troubles last between leastLength and mostLength, with pauses as long.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 3 * time.Second
)

// fault happens to the deployment and is over when it returns.
type fault func(soak *Soak, ctx context.Context)

// plannedFaults work cuts nobody off.
func plannedFaults() []fault {
	return []fault{(*Soak).rollGateway, (*Soak).reloadGateway, (*Soak).writeNewerConfiguration, (*Soak).drainServer}
}

// unplannedFaults troubles break what they break.
func unplannedFaults() []fault {
	return []fault{
		(*Soak).killGateway, (*Soak).freezeGateway, (*Soak).faultStore, (*Soak).faultStore, (*Soak).faultStoreLink, (*Soak).faultStoreLink,
		(*Soak).faultServer, (*Soak).faultServer, (*Soak).faultServerLink, (*Soak).faultServerLink, (*Soak).compactStore, (*Soak).freezeHolder,
	}
}

// firstWideSeed is the first one that draws from all troubles. Earlier ones draw
// from those that there were when they were kept.
const firstWideSeed = 200

// wideFaults troubles hit the holders, and everything at once.
func wideFaults() []fault {
	return []fault{(*Soak).killHolder, (*Soak).killHolder, (*Soak).faultHolderLink, (*Soak).powerOff}
}

// injectFaults runs series of troubles beside each other for a time.
func (soak *Soak) injectFaults(ctx context.Context, length time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()

	troubles := plannedFaults()
	if !soak.PlannedOnly {
		troubles = append(troubles, unplannedFaults()...)
	}

	if !soak.PlannedOnly && soak.Seed >= firstWideSeed {
		troubles = append(troubles, wideFaults()...)
	}

	series := sync.WaitGroup{}

	for range concurrentFaults {
		series.Go(func() {
			for kernel.Pause(ctx, soak.random.durationBetween(0, maxFaultDuration/2)) {
				troubles[soak.random.intN(len(troubles))](soak, ctx)
			}
		})
	}

	series.Wait()
}

// pauseForFault lets a trouble last.
func (soak *Soak) pauseForFault(ctx context.Context) {
	kernel.Pause(ctx, soak.random.durationBetween(minFaultDuration, maxFaultDuration))
}

// lockGateway returns a gateway that no other trouble has, and how to give it back. A
// planned stop leaves the others running.
func (soak *Soak) lockGateway() (int, func()) {
	number := soak.random.intN(gatewayCount)
	soak.gatewayLocks[number].Lock()

	return number, soak.gatewayLocks[number].Unlock
}

// lockHolder returns a holder that no other trouble has, and how to give it back.
func (soak *Soak) lockHolder() (int, func()) {
	number := soak.random.intN(holderCount)
	soak.holderLocks[number].Lock()

	return number, soak.holderLocks[number].Unlock
}

// restartGateway waits for the end of a gateway's process and starts the next one.
func (soak *Soak) restartGateway(number int) {
	before := soak.gateway(number)
	select {
	case <-before.Ended:
	case <-time.After(stager.Patience):
		soak.history.RecordViolation("LOST: %s does not end", before.Name)

		return
	}

	soak.processLock.Lock()
	defer soak.processLock.Unlock()

	soak.Begins(gatewayName(number))
}

// rollGateway stops a gateway as planned and starts it again. The others stay, so that
// two are never stopped at once in planned work.
func (soak *Soak) rollGateway(ctx context.Context) {
	soak.plannedStopLock.Lock()
	defer soak.plannedStopLock.Unlock()

	number, giveBack := soak.lockGateway()
	defer giveBack()

	soak.gateway(number).Signal(syscall.SIGTERM)
	soak.restartGateway(number) //nolint:contextcheck // Processes last as long as the test.
	// The balancer sends callers again once it has seen the gateway ready.
	kernel.Pause(ctx, 2*time.Second)
}

func (soak *Soak) killGateway(ctx context.Context) {
	number, giveBack := soak.lockGateway()
	defer giveBack()

	soak.gateway(number).Signal(syscall.SIGKILL)
	kernel.Pause(ctx, soak.random.durationBetween(0, time.Second))
	soak.restartGateway(number) //nolint:contextcheck // Processes last as long as the test.
}

func (soak *Soak) freezeGateway(ctx context.Context) {
	number, giveBack := soak.lockGateway()
	defer giveBack()

	soak.gateway(number).Signal(syscall.SIGSTOP)
	soak.pauseForFault(ctx)
	soak.gateway(number).Signal(syscall.SIGCONT)
}

func (soak *Soak) freezeHolder(ctx context.Context) {
	number, giveBack := soak.lockHolder()
	defer giveBack()

	soak.holder(number).Signal(syscall.SIGSTOP)
	soak.pauseForFault(ctx)
	soak.holder(number).Signal(syscall.SIGCONT)
}

// killHolder ends a holder at any moment. It comes back on the same disk.
func (soak *Soak) killHolder(ctx context.Context) {
	number, giveBack := soak.lockHolder()
	defer giveBack()

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

// powerOff ends all processes at one moment and starts them again, as after a
// loss of power; what they wrote is on their disks.
func (soak *Soak) powerOff(ctx context.Context) {
	for number := range gatewayCount {
		soak.gatewayLocks[number].Lock()
		defer soak.gatewayLocks[number].Unlock()
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

func (soak *Soak) reloadGateway(ctx context.Context) {
	number, giveBack := soak.lockGateway()
	defer giveBack()

	// Before a program is loaded, the system ends it at a hangup.
	process := soak.gateway(number)
	for !process.Logged("Serving.") && kernel.Pause(ctx, statusInterval) {
		continue
	}

	process.Signal(syscall.SIGHUP)
	soak.pauseForFault(ctx)
}

// writeNewerConfiguration puts a newer configuration in force.
func (soak *Soak) writeNewerConfiguration(ctx context.Context) {
	soak.Configure(int(soak.version.Add(1 + int64(soak.random.intN(3)))))
	soak.pauseForFault(ctx)
}

// drainServer says that a backend server leaves, and takes it back.
func (soak *Soak) drainServer(ctx context.Context) {
	index := soak.random.intN(len(soak.Servers))
	soak.MarkServerLeaving(index)
	kernel.Pause(ctx, 2*time.Second)
	soak.pauseForFault(ctx)
	soak.MarkServerReady(index)
}

// randomLinkFaults draws what a link does.
func (soak *Soak) randomLinkFaults() stager.LinkFaults {
	switch soak.random.intN(4) {
	case 0:
		return stager.LinkFaults{Delay: soak.random.durationBetween(20*time.Millisecond, 300*time.Millisecond)}
	case 1:
		return stager.LinkFaults{DropToTarget: true}
	case 2:
		return stager.LinkFaults{DropFromTarget: true}
	default:
		return stager.LinkFaults{RefuseConnections: true}
	}
}

func (soak *Soak) faultLink(ctx context.Context, link *stager.Link) {
	if soak.random.intN(3) == 0 {
		link.ResetConnections()

		return
	}

	link.SetFaults(soak.randomLinkFaults())
	soak.pauseForFault(ctx)
	link.SetFaults(stager.LinkFaults{})
	// What was swallowed is missing for good.
	link.ResetConnections()
}

func (soak *Soak) faultStoreLink(ctx context.Context) {
	soak.faultLink(ctx, soak.gateway(soak.random.intN(gatewayCount)).StoreLink)
}

func (soak *Soak) faultServerLink(ctx context.Context) {
	soak.faultLink(ctx, soak.ServerLinks[soak.random.intN(len(soak.ServerLinks))])
}

// faultStore makes the store fail for all.
func (soak *Soak) faultStore(ctx context.Context) {
	faults := []emulator.Switches{
		{Outage: true}, {Freeze: true}, {DropAnswers: 1 + soak.random.intN(4)}, {Delay: soak.random.durationBetween(50*time.Millisecond, 400*time.Millisecond)},
	}
	soak.Store.Catalog.Faults.Set(faults[soak.random.intN(len(faults))])
	soak.pauseForFault(ctx)
	soak.Store.Catalog.Faults.Set(emulator.Switches{})
}

func (soak *Soak) compactStore(context.Context) {
	soak.Store.Catalog.Compact()
}

func (soak *Soak) faultServer(ctx context.Context) {
	faults := []emulator.EventFaults{
		{Dark: true},
		{BreakAfter: 1 + soak.random.intN(15)},
		{BreakAfter: 1 + soak.random.intN(15), BreakWithin: true},
		{StallAfter: 1 + soak.random.intN(15)},
		{Fail: 500},
		{SkipEvent: 1 + soak.random.intN(15)},
		{Slow: 5},
	}
	server := soak.Servers[soak.random.intN(len(soak.Servers))]
	server.Set(faults[soak.random.intN(len(faults))])
	soak.pauseForFault(ctx)
	server.Set(emulator.EventFaults{})
}
