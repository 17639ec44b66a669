package enforcer_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var draws = flag.Int("draws", 60, "number of drawn runs")

// Faults that no scenario names, and several at once, must not break the rule either.
func TestCapsHoldUnderDrawnFaults(t *testing.T) {
	for draw := range *draws {
		t.Run(fmt.Sprint("draw ", draw), func(t *testing.T) {
			t.Parallel()

			random := rand.New(rand.NewPCG(uint64(draw), 7))
			gateways := 2 + random.IntN(8)
			tested := []*load{}

			for _, rate := range []float64{1, 8, 60, 300} {
				tested = append(tested, newLoad(rate, drawBursts(random, gateways, rate), nil))
			}

			subject := newSimulation(gateways, tested...)
			subject.loss = 0.1 * random.Float64()
			subject.delay = 5*time.Millisecond + time.Duration(random.Int64N(int64(60*time.Millisecond)))
			drawFaults(random, subject)
			t.Log(gateways, "gateways:", subject.faults)
			subject.run(20 * time.Second)

			for _, load := range tested {
				t.Logf("rate %v: %.0f%% of the bound", load.cap.PerSecond, 100*load.check(t))
			}
		})
	}
}

// drawBursts draws a demand that jumps between none and 20 times the cap, at all gateways or one.
func drawBursts(random *rand.Rand, gateways int, rate float64) func(int, time.Duration) float64 {
	const step = 400 * time.Millisecond

	demands := make([][]float64, 100)
	for index := range demands {
		demands[index] = make([]float64, gateways)

		factor := []float64{0, 0, 0.5, 1, 20}[random.IntN(5)]
		only := random.IntN(2 * gateways)

		for gateway := range gateways {
			if only >= gateways || only == gateway {
				demands[index][gateway] = rate * factor / float64(min(gateways, 1+only))
			}
		}
	}

	return func(gateway int, at time.Duration) float64 { return demands[at/step][gateway] }
}

// drawFaults draws interrupted links and killed gateways.
func drawFaults(random *rand.Rand, subject *simulation) {
	type interruption struct {
		from, to   int
		start, end time.Duration
	}

	interruptions, gateways := []interruption{}, len(subject.gateways)

	for range random.IntN(5) {
		start := time.Duration(random.Int64N(int64(12 * time.Second)))
		end := start + time.Duration(random.Int64N(int64(5*time.Second)))
		from, to := 1+random.IntN(1<<gateways-1), 1+random.IntN(1<<gateways-1)

		if random.IntN(2) == 0 {
			to = 1<<gateways - 1 - from
		}

		interruptions = append(interruptions, interruption{from, to, start, end})
		subject.note("from %b to %b is cut from %s to %s", from, to, start, end)

		if random.IntN(2) == 0 {
			interruptions = append(interruptions, interruption{to, from, start, end})
			subject.note("and the reverse")
		}
	}

	subject.cut = func(from, to int, at time.Duration) bool {
		for _, cut := range interruptions {
			if at >= cut.start && at < cut.end && cut.from>>from&1 == 1 && cut.to>>to&1 == 1 {
				return true
			}
		}

		return false
	}

	for range random.IntN(4) {
		gateway := random.IntN(gateways)
		at := subject.upTo(15 * time.Second)
		subject.events[at] = func() { subject.restart(gateway) }
		subject.note("gateway %d restarts at %s", gateway, at)
	}
}
