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
	gateways = 3
	holders  = 2
	// callers send streams one after the other, submitters jobs.
	callers    = 10
	submitters = 2
	// settleTime is how long everything runs undisturbed before the judgement
	// waits for what has to come.
	settleTime = 3 * time.Second
	// statusInterval is how often the version in force is asked for.
	statusInterval = 300 * time.Millisecond
)

// Soak is one run of a seed.
type Soak struct {
	*stager.Deployment
	Seed uint64
	// Planned runs have nothing but planned work, which cuts nobody off.
	Planned bool

	random  *randomness
	history *History
	// version is the newest configuration's, and rotation the gateways that the
	// balancer sends to.
	version  atomic.Int64
	rotation sync.Map
	// hands guards the gateways: one trouble at a time has each in its hands.
	hands [gateways]sync.Mutex
	// holderHands guards the holders in the same way.
	holderHands [holders]sync.Mutex
	// rolling lets one planned stop go on at a time.
	rolling sync.Mutex
	// mutex guards the present processes.
	mutex sync.Mutex
}

// randomness is drawn from by several goroutines.
type randomness struct {
	mutex  sync.Mutex
	random *rand.Rand
}

func (random *randomness) intN(limit int) int {
	random.mutex.Lock()
	defer random.mutex.Unlock()

	return random.random.IntN(limit)
}

// between draws a duration.
func (random *randomness) between(least, most time.Duration) time.Duration {
	return least + time.Duration(random.intN(int(most-least)))
}

// NewSoak starts the deployment of a seed. Each fourth seed is planned work.
func NewSoak(deployment *stager.Deployment, seed uint64) *Soak {
	soak := &Soak{
		Deployment: deployment, Seed: seed, Planned: seed%4 == 0,
		random:  &randomness{random: rand.New(rand.NewPCG(seed, seed))},
		history: NewHistory(),
	}
	soak.version.Store(3)

	for number := range gateways {
		soak.Starts(gatewayName(number))
		soak.rotation.Store(number, true)
	}

	for number := range holders {
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
	soak.mutex.Lock()
	defer soak.mutex.Unlock()

	return soak.Holders[holderName(number)]
}

// gateway returns the present process of a gateway.
func (soak *Soak) gateway(number int) *stager.Process {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()

	return soak.Gateways[gatewayName(number)]
}

// Run disturbs the deployment for a time and returns the promises that were
// broken.
func (soak *Soak) Run(ctx context.Context, length time.Duration) []string {
	serving, stop := context.WithCancel(ctx)
	working := sync.WaitGroup{}

	working.Go(func() { soak.balance(serving) })
	working.Go(func() { soak.watchVersions(serving) })
	working.Go(func() { soak.supervise(serving) })

	for number := range callers {
		working.Go(func() { soak.call(serving, number) })
	}

	for number := range submitters {
		working.Go(func() { soak.submit(serving, number) })
	}

	soak.disturb(ctx, length)
	soak.heal()
	time.Sleep(settleTime)
	stop()
	working.Wait()

	return append(soak.history.Broken(), soak.judge(ctx)...)
}

// balance takes gateways out of rotation as the platform's balancer does: after
// two questions without a good answer.
func (soak *Soak) balance(ctx context.Context) {
	misses := [gateways]int{}

	for kernel.Pause(ctx, time.Second) {
		for number := range gateways {
			if soak.IsReady(soak.gateway(number)) { //nolint:contextcheck // Deployments live as long as the test.
				misses[number] = 0
			} else {
				misses[number]++
			}

			soak.rotation.Store(number, misses[number] < 2)
		}
	}
}

// supervise starts gateways again that ended by themselves, as the platform does.
// None should.
func (soak *Soak) supervise(ctx context.Context) {
	for kernel.Pause(ctx, statusInterval) {
		for number := range gateways {
			if !soak.hands[number].TryLock() {
				continue
			}

			if process := soak.gateway(number); !process.Running() {
				soak.history.Break("EXIT: %s ended by itself", process.Name)
				soak.restart(number) //nolint:contextcheck // Processes last as long as the test.
			}

			soak.hands[number].Unlock()
		}
	}
}

// pick returns a gateway in rotation, or any if there is none.
func (soak *Soak) pick() int {
	first := soak.random.intN(gateways)

	for offset := range gateways {
		number := (first + offset) % gateways
		if in, _ := soak.rotation.Load(number); in == true {
			return number
		}
	}

	return first
}

// heal ends all disturbances.
func (soak *Soak) heal() {
	soak.Store.Catalog.Faults.Set(emulator.Switches{})

	for index, server := range soak.Servers {
		server.Set(emulator.EventFaults{})
		soak.ServerLinks[index].Set(stager.Disturbance{})
		soak.List(index)
	}

	for number := range gateways {
		soak.gateway(number).StoreLink.Set(stager.Disturbance{})
	}

	for number := range holders {
		soak.holder(number).StoreLink.Set(stager.Disturbance{})
	}
}
