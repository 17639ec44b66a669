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
	// atOnce is how many series of troubles run beside each other.
	atOnce = 3
	// Troubles last between leastLength and mostLength, with pauses as long.
	leastLength = 200 * time.Millisecond
	mostLength  = 3 * time.Second
)

// trouble happens to the deployment and is over when it returns.
type trouble func(soak *Soak, ctx context.Context)

// planned work cuts nobody off.
func planned() []trouble {
	return []trouble{(*Soak).roll, (*Soak).hangUp, (*Soak).configure, (*Soak).drainServer}
}

// unplanned troubles break what they break.
func unplanned() []trouble {
	return []trouble{
		(*Soak).kill, (*Soak).freeze, (*Soak).disturbStore, (*Soak).disturbStore, (*Soak).disturbStoreLink, (*Soak).disturbStoreLink,
		(*Soak).disturbServer, (*Soak).disturbServer, (*Soak).disturbServerLink, (*Soak).disturbServerLink, (*Soak).forgetHistory, (*Soak).freezeHolder,
	}
}

// firstWideSeed is the first one that draws from all troubles. Earlier ones draw
// from those that there were when they were kept.
const firstWideSeed = 200

// wide troubles hit the holders, and everything at once.
func wide() []trouble {
	return []trouble{(*Soak).killHolder, (*Soak).killHolder, (*Soak).disturbHolderLink, (*Soak).powerOff}
}

// disturb runs series of troubles beside each other for a time.
func (soak *Soak) disturb(ctx context.Context, length time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()

	troubles := planned()
	if !soak.Planned {
		troubles = append(troubles, unplanned()...)
	}

	if !soak.Planned && soak.Seed >= firstWideSeed {
		troubles = append(troubles, wide()...)
	}

	series := sync.WaitGroup{}

	for range atOnce {
		series.Go(func() {
			for kernel.Pause(ctx, soak.random.between(0, mostLength/2)) {
				troubles[soak.random.intN(len(troubles))](soak, ctx)
			}
		})
	}

	series.Wait()
}

// last lets a trouble last.
func (soak *Soak) last(ctx context.Context) {
	kernel.Pause(ctx, soak.random.between(leastLength, mostLength))
}

// take returns a gateway that no other trouble has, and how to give it back. A
// planned stop leaves the others running.
func (soak *Soak) take() (int, func()) {
	number := soak.random.intN(gateways)
	soak.hands[number].Lock()

	return number, soak.hands[number].Unlock
}

// takeHolder returns a holder that no other trouble has, and how to give it back.
func (soak *Soak) takeHolder() (int, func()) {
	number := soak.random.intN(holders)
	soak.holderHands[number].Lock()

	return number, soak.holderHands[number].Unlock
}

// restart waits for the end of a gateway's process and starts the next one.
func (soak *Soak) restart(number int) {
	before := soak.gateway(number)
	select {
	case <-before.Ended:
	case <-time.After(stager.Patience):
		soak.history.Break("LOST: %s does not end", before.Name)

		return
	}

	soak.mutex.Lock()
	defer soak.mutex.Unlock()

	soak.Begins(gatewayName(number))
}

// roll stops a gateway as planned and starts it again. The others stay, so that
// two are never stopped at once in planned work.
func (soak *Soak) roll(ctx context.Context) {
	soak.rolling.Lock()
	defer soak.rolling.Unlock()

	number, giveBack := soak.take()
	defer giveBack()

	soak.gateway(number).Signal(syscall.SIGTERM)
	soak.restart(number) //nolint:contextcheck // Processes last as long as the test.
	// The balancer sends callers again once it has seen the gateway ready.
	kernel.Pause(ctx, 2*time.Second)
}

func (soak *Soak) kill(ctx context.Context) {
	number, giveBack := soak.take()
	defer giveBack()

	soak.gateway(number).Signal(syscall.SIGKILL)
	kernel.Pause(ctx, soak.random.between(0, time.Second))
	soak.restart(number) //nolint:contextcheck // Processes last as long as the test.
}

func (soak *Soak) freeze(ctx context.Context) {
	number, giveBack := soak.take()
	defer giveBack()

	soak.gateway(number).Signal(syscall.SIGSTOP)
	soak.last(ctx)
	soak.gateway(number).Signal(syscall.SIGCONT)
}

func (soak *Soak) freezeHolder(ctx context.Context) {
	number, giveBack := soak.takeHolder()
	defer giveBack()

	soak.holder(number).Signal(syscall.SIGSTOP)
	soak.last(ctx)
	soak.holder(number).Signal(syscall.SIGCONT)
}

// killHolder ends a holder at any moment. It comes back on the same disk.
func (soak *Soak) killHolder(ctx context.Context) {
	number, giveBack := soak.takeHolder()
	defer giveBack()

	soak.holder(number).Signal(syscall.SIGKILL)
	kernel.Pause(ctx, soak.random.between(0, time.Second))
	soak.restartHolder(number) //nolint:contextcheck // Processes last as long as the test.
}

func (soak *Soak) restartHolder(number int) {
	<-soak.holder(number).Ended

	soak.mutex.Lock()
	defer soak.mutex.Unlock()

	soak.BeginsHolder(holderName(number))
}

func (soak *Soak) disturbHolderLink(ctx context.Context) {
	soak.disturbLink(ctx, soak.holder(soak.random.intN(holders)).StoreLink)
}

// powerOff ends all processes at one moment and starts them again, as after a
// loss of power; what they wrote is on their disks.
func (soak *Soak) powerOff(ctx context.Context) {
	for number := range gateways {
		soak.hands[number].Lock()
		defer soak.hands[number].Unlock()
	}

	for number := range holders {
		soak.holderHands[number].Lock()
		defer soak.holderHands[number].Unlock()
	}

	for number := range gateways {
		soak.gateway(number).Signal(syscall.SIGKILL)
	}

	for number := range holders {
		soak.holder(number).Signal(syscall.SIGKILL)
	}

	kernel.Pause(ctx, soak.random.between(0, time.Second))

	for number := range holders {
		soak.restartHolder(number) //nolint:contextcheck // Processes last as long as the test.
	}

	for number := range gateways {
		soak.restart(number) //nolint:contextcheck // Processes last as long as the test.
	}
}

func (soak *Soak) hangUp(ctx context.Context) {
	number, giveBack := soak.take()
	defer giveBack()

	// Before a program is loaded, the system ends it at a hangup.
	process := soak.gateway(number)
	for !process.Logged("Serving.") && kernel.Pause(ctx, statusInterval) {
		continue
	}

	process.Signal(syscall.SIGHUP)
	soak.last(ctx)
}

// configure puts a newer configuration in force.
func (soak *Soak) configure(ctx context.Context) {
	soak.Configure(int(soak.version.Add(1 + int64(soak.random.intN(3)))))
	soak.last(ctx)
}

// drainServer says that a backend server leaves, and takes it back.
func (soak *Soak) drainServer(ctx context.Context) {
	index := soak.random.intN(len(soak.Servers))
	soak.Leave(index)
	kernel.Pause(ctx, 2*time.Second)
	soak.last(ctx)
	soak.List(index)
}

// disturbance draws what a link does.
func (soak *Soak) disturbance() stager.Disturbance {
	switch soak.random.intN(4) {
	case 0:
		return stager.Disturbance{Delay: soak.random.between(20*time.Millisecond, 300*time.Millisecond)}
	case 1:
		return stager.Disturbance{SwallowUp: true}
	case 2:
		return stager.Disturbance{SwallowDown: true}
	default:
		return stager.Disturbance{Refuse: true}
	}
}

func (soak *Soak) disturbLink(ctx context.Context, link *stager.Link) {
	if soak.random.intN(3) == 0 {
		link.Reset()

		return
	}

	link.Set(soak.disturbance())
	soak.last(ctx)
	link.Set(stager.Disturbance{})
	// What was swallowed is missing for good.
	link.Reset()
}

func (soak *Soak) disturbStoreLink(ctx context.Context) {
	soak.disturbLink(ctx, soak.gateway(soak.random.intN(gateways)).StoreLink)
}

func (soak *Soak) disturbServerLink(ctx context.Context) {
	soak.disturbLink(ctx, soak.ServerLinks[soak.random.intN(len(soak.ServerLinks))])
}

// disturbStore makes the store fail for all.
func (soak *Soak) disturbStore(ctx context.Context) {
	faults := []emulator.Switches{
		{Outage: true}, {Freeze: true}, {DropAnswers: 1 + soak.random.intN(4)}, {Delay: soak.random.between(50*time.Millisecond, 400*time.Millisecond)},
	}
	soak.Store.Catalog.Faults.Set(faults[soak.random.intN(len(faults))])
	soak.last(ctx)
	soak.Store.Catalog.Faults.Set(emulator.Switches{})
}

func (soak *Soak) forgetHistory(context.Context) {
	soak.Store.Catalog.Compact()
}

func (soak *Soak) disturbServer(ctx context.Context) {
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
	soak.last(ctx)
	server.Set(emulator.EventFaults{})
}
