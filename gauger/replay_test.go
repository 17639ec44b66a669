package gauger_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/gauger"
)

const (
	places      = 8
	engineQueue = 4
	target      = 300 * time.Millisecond
	maxWait     = target * 7 / 10
	tick        = 2 * time.Millisecond
	service     = "model"
	// reportDelay is how old the loads are by which entries place.
	reportDelay = 50 * time.Millisecond
)

// engine is a model of a backend server: the more streams run, the slower each is.
type engine struct {
	id string
	// gap returns the time between two events of each of the running streams.
	gap func(running int, at time.Duration) time.Duration
	// fails engines break off each response after the first event, which comes at once.
	fails   bool
	streams []*stream
}

// stream is a request of a caller.
type stream struct {
	entry   int
	arrived time.Time
	lastAt  time.Time
	late    bool
	events  int
	run     *gauger.Run
	// progress is how much of the next event is done.
	progress float64
}

// replay is a fleet of entries and engines in simulated time.
type replay struct {
	engines []*engine
	gaugers []*gauger.Gauger
	learns  bool
	random  *rand.Rand
	now     time.Time
	started time.Time
	// known holds the loads by which entries place.
	known   []int
	knownAt time.Time
	sent    [][]int
	// shared holds the last measures that an entry shared.
	shared    []gauger.Measure
	waiting   [][]*stream
	inTime    int
	late      int
	refused   int
	full      int
	perSecond float64
}

func newReplay(engines []*engine, entries int, perSecond float64, learns bool, seed uint64) *replay {
	replay := &replay{
		engines: engines, learns: learns, perSecond: perSecond, random: rand.New(rand.NewPCG(seed, 7)),
		now: time.Unix(1000, 0), started: time.Unix(1000, 0), known: make([]int, len(engines)), waiting: make([][]*stream, entries),
	}

	for range entries {
		added, servers := gauger.NewGauger(), []gauger.Server{}
		for _, engine := range engines {
			servers = append(servers, gauger.Server{Start: gauger.Start{ID: engine.id}, Service: service, Places: places})
		}

		added.SetServers(servers)
		replay.gaugers, replay.sent = append(replay.gaugers, added), append(replay.sent, make([]int, len(engines)))
	}

	return replay
}

func (replay *replay) gauge(entry, engine int) *gauger.Gauge {
	return replay.gaugers[entry].Gauge(gauger.Start{ID: replay.engines[engine].id})
}

// run replays load until a time after the start.
func (replay *replay) run(length time.Duration) {
	for replay.now.Sub(replay.started) < length {
		replay.now = replay.now.Add(tick)
		replay.exchange()

		for index := range replay.engines {
			replay.advance(index)
		}

		if replay.random.Float64() < replay.perSecond*tick.Seconds() {
			entry := replay.random.IntN(len(replay.gaugers))
			replay.waiting[entry] = append(replay.waiting[entry], &stream{entry: entry, arrived: replay.now, events: 10 + replay.random.IntN(25)})
		}

		for entry := range replay.waiting {
			replay.serve(entry)
		}
	}
}

// exchange has the entries learn of each other's loads and measures.
func (replay *replay) exchange() {
	if replay.now.Sub(replay.knownAt) < reportDelay {
		return
	}

	replay.knownAt = replay.now

	for index, engine := range replay.engines {
		replay.known[index] = len(engine.streams)
	}

	for entry := range replay.gaugers {
		clear(replay.sent[entry])

		measures := replay.gaugers[entry].Share(len(replay.gaugers)-1, replay.now)
		if len(measures) > 0 {
			replay.shared = measures
		}

		for other := range replay.gaugers {
			if other != entry {
				replay.gaugers[other].Apply(measures, replay.now)
			}
		}
	}
}

// serve places the waiting streams of an entry in order.
func (replay *replay) serve(entry int) {
	replay.gaugers[entry].Refresh(service, replay.now)

	for len(replay.waiting[entry]) > 0 {
		next := replay.waiting[entry][0]
		chosen := replay.choose(entry)

		switch {
		case replay.now.Sub(next.arrived) > maxWait:
			replay.refused++
		case chosen < 0:
			return
		case len(replay.engines[chosen].streams) >= places+engineQueue:
			replay.full++
			replay.refused++
		default:
			next.run = gauger.NewRun(replay.gauge(entry, chosen), len(replay.engines[chosen].streams)+1, replay.now)
			replay.engines[chosen].streams = append(replay.engines[chosen].streams, next)
			replay.sent[entry][chosen]++
		}

		replay.waiting[entry] = replay.waiting[entry][1:]
	}
}

func (replay *replay) choose(entry int) int {
	best, lowest := -1, 0.0

	for index := range replay.engines {
		running, gauge := replay.known[index]+replay.sent[entry][index], replay.gauge(entry, index)
		cost, limit := float64(running), places

		if replay.learns {
			cost, limit = gauge.Load(running), gauge.LearnedPlaces()
		}

		// As in placer, where the reports of many entries are older.
		staleness := min(max(1, float64(len(replay.gaugers)-1)/8), 4)
		if index%len(replay.gaugers) == entry {
			cost -= staleness
		} else {
			cost += 0.7 * (staleness - 1) * replay.random.Float64()
		}

		if running < limit && (best < 0 || cost < lowest) {
			best, lowest = index, cost
		}
	}

	return best
}

func (replay *replay) advance(index int) {
	engine, kept := replay.engines[index], []*stream{}
	running := min(len(engine.streams), places)

	for position, stream := range engine.streams {
		if position < places {
			stream.progress += float64(tick) / float64(engine.gap(running, replay.now.Sub(replay.started)))
		}

		if stream.progress >= 1 || engine.fails {
			replay.deliver(stream, running)
		}

		if stream.events > 0 && !engine.fails {
			kept = append(kept, stream)
		}
	}

	engine.streams = kept
}

func (replay *replay) deliver(stream *stream, running int) {
	since := stream.lastAt
	if since.IsZero() {
		since = stream.arrived
	}

	stream.late = stream.late || replay.now.Sub(since) > target
	stream.lastAt, stream.progress = replay.now, 0
	stream.events--
	stream.run.AddEvents(1, running, gauger.Targets{FirstEvent: target, EventGap: target}, replay.now, replay.now)

	switch {
	case stream.events > 0:
	case stream.late:
		replay.late++
	default:
		replay.inTime++
	}

	if stream.events == 0 {
		stream.run.Complete(replay.now)
	}
}

func (replay *replay) share() float64 {
	return float64(replay.inTime) / float64(replay.inTime+replay.late+replay.refused)
}

// idleGap is the gap of a stream that runs alone at an engine of the median pace.
const idleGap = 60 * time.Millisecond

// threeSpeeds returns engines of three paces. Each further request makes the gaps longer by growth
// times the gap at an idle engine.
func threeSpeeds(count int, idle time.Duration, growth float64) []*engine {
	engines := []*engine{}

	for index := range count {
		pace := 1 / []float64{0.6, 1, 1.6}[index%3]

		engines = append(engines, &engine{id: fmt.Sprint(index), gap: func(running int, _ time.Duration) time.Duration {
			return time.Duration(pace * float64(idle) * (1 + growth*float64(running-1)))
		}})
	}

	return engines
}

// slowWhen has an engine take longer by a factor while a condition holds.
func (engine *engine) slowWhen(factor float64, holds func(running int, at time.Duration) bool) {
	before := engine.gap
	engine.gap = func(running int, at time.Duration) time.Duration {
		if holds(running, at) {
			return time.Duration(factor * float64(before(running, at)))
		}

		return before(running, at)
	}
}

// dozen returns engines at which the responses come late under load, many those of a large fleet.
func dozen(change func(index int, engine *engine)) []*engine {
	return changed(threeSpeeds(12, idleGap, 0.2), change)
}

func many(change func(index int, engine *engine)) []*engine {
	return changed(threeSpeeds(44, idleGap/2, 0.1), change)
}

func changed(engines []*engine, change func(index int, engine *engine)) []*engine {
	for index, engine := range engines {
		change(index, engine)
	}

	return engines
}

// halfSlow has an engine take three times as long with more than half of its places.
func halfSlow(_ int, engine *engine) {
	engine.slowWhen(3, func(running int, _ time.Duration) bool { return running > places/2 })
}

// slowAtTimes has a sixth of 44 engines take 2.5 times as long, another sixth each half second.
func slowAtTimes(index int, engine *engine) {
	engine.slowWhen(2.5, func(_ int, at time.Duration) bool {
		return int(at/(500*time.Millisecond))*5%7 == index/7
	})
}

// Callers get late responses from slow servers while others have room, or from servers that run
// more requests than they handle well.
func TestLearningBringsMoreResponsesInTime(t *testing.T) {
	const seeds = 3

	for name, scenario := range map[string]struct {
		engines   func(change func(index int, engine *engine)) []*engine
		change    func(index int, engine *engine)
		entries   int
		perSecond float64
		// gain is the least difference that learning makes to the share in time.
		gain float64
	}{
		"three speeds at a peak": {dozen, func(int, *engine) {}, 6, 45, 0.03},
		"servers change their speed": {dozen, func(index int, engine *engine) {
			if index < 6 {
				engine.slowWhen(2.5, func(_ int, at time.Duration) bool { return at > 5*time.Second })
			}
		}, 6, 20, 0.01},
		"servers slow down from half of their places on": {dozen, halfSlow, 6, 24, 0.03},
		// Here all times are within the targets: learning must not fill the fast servers.
		"20 entries, 44 servers slow at times": {many, slowAtTimes, 20, 180, -0.01},
	} {
		t.Run(name, func(t *testing.T) {
			sums := map[bool]*replay{false: {}, true: {}}

			for learns, sum := range sums {
				for seed := range uint64(seeds) {
					one := newReplay(scenario.engines(scenario.change), scenario.entries, scenario.perSecond, learns, seed)
					one.run(20 * time.Second)

					sum.inTime, sum.late, sum.refused, sum.full = sum.inTime+one.inTime, sum.late+one.late, sum.refused+one.refused, sum.full+one.full
				}

				t.Logf("learns %v: %.3f in time (%d), late %d, refused %d, sent to full servers %d", learns, sum.share(), sum.inTime, sum.late, sum.refused, sum.full)
			}

			require.Greater(t, sums[true].share(), sums[false].share()+scenario.gain)
		})
	}
}

// A server that breaks off its responses at once would get all requests if it looked fast. One of a
// known pace does.
func TestServerThatFailsFastNeverLooksFast(t *testing.T) {
	engines := threeSpeeds(12, idleGap, 0.2)
	engines[2].fails = true
	subject := newReplay(engines, 6, 20, true, 1)
	subject.run(20 * time.Second)

	for entry := range subject.gaugers {
		require.InDelta(t, 1, subject.gauge(entry, 2).Pace(), 0.05)
		require.InDelta(t, 0, subject.gauge(entry, 2).Load(0), 0.2)
		require.InDelta(t, 1/1.6, subject.gauge(entry, 5).Pace(), 0.1)
	}
}

// Estimates of a server's last start say nothing of the next one, and peers can't add values that
// no server measures.
func TestRestartsAndInvalidMeasuresChangeNothing(t *testing.T) {
	subject := newReplay(threeSpeeds(3, idleGap, 0.2), 1, 10, true, 1)
	subject.run(10 * time.Second)
	require.Greater(t, subject.gauge(0, 0).Pace(), 1.3)

	require.NotEmpty(t, subject.shared)

	encoded, err := json.Marshal(subject.shared)
	require.NoError(t, err)
	require.Less(t, len(encoded), 1<<10)

	restarted := gauger.Server{Start: gauger.Start{ID: "0", Incarnation: 2}, Service: service, Places: places}
	subject.gaugers[0].SetServers([]gauger.Server{restarted})

	fresh := subject.gaugers[0].Gauge(restarted.Start)

	for _, sample := range []gauger.Sample{{Running: 1, Events: -5}, {Running: 1, Events: 1, GapMicros: 1 << 60}, {Running: 99, Events: 9, GapMicros: 1}, {Running: -1, Firsts: 9}} {
		subject.gaugers[0].Apply([]gauger.Measure{{ID: "0", Incarnation: 2, Samples: []gauger.Sample{sample}}, {ID: "0", Incarnation: 2, Runs: -1, RunMicros: 1}}, subject.now)
	}

	subject.gaugers[0].Apply(subject.shared, subject.now)
	subject.gaugers[0].Refresh(service, subject.now.Add(time.Minute))
	require.InDelta(t, 1, fresh.Pace(), 0.01)
}
