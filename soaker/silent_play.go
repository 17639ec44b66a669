package soaker

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/deployer"
	"limpetrail/emulator"
	"limpetrail/kernel"
)

const (
	// silentShare is the share of events before which a sound server is silent, from shortestSilence
	// up to longestSilence.
	silentShare     = 0.006
	shortestSilence = 300 * time.Millisecond
	longestSilence  = 1500 * time.Millisecond
	streamInterval  = 40 * time.Millisecond
	longStream      = 80
	shortStream     = 25
	// callerBudget is the time that callers give a request, and soundTime the time by which the
	// end of one is not due to its time limit.
	callerBudget = 6 * time.Second
	soundTime    = 5800 * time.Millisecond
	// changeInterval is the pause between two changes of the configuration, and applyTime the time
	// until callers use the limits of a new one.
	changeInterval = 1500 * time.Millisecond
	applyTime      = time.Second
	// idleCallers send whole requests after long pauses.
	idleCallers = 24
	// movedWork is how long a run may still be worked on after the stream has gone on elsewhere.
	movedWork = 400 * time.Millisecond
	// longestRetryAfter bounds the pause after a refusal.
	longestRetryAfter = 2 * time.Second
	shortestTimeoutMs = 6000
	// ownPlaces are the places of each server of streams.
	ownPlaces = 8
)

// silentMode is the load and the disturbances of a silentPlay.
type silentMode struct {
	servers, callers, events int
	silences, changes        bool
}

// silentModes returns the modes, by seed.
func silentModes() []silentMode {
	return []silentMode{
		{servers: 2, callers: 20, events: longStream, silences: true, changes: true},
		{servers: 2, callers: 20, events: longStream, silences: true},
		{servers: 2, callers: 20, events: longStream, changes: true},
		{servers: 6, callers: 52, events: shortStream, silences: true, changes: true},
		{servers: 6, callers: 64, events: shortStream, silences: true, changes: true},
	}
}

// SilentPlay runs the system before sound servers that fall silent and go on, beside changes of the
// configuration.
type SilentPlay struct {
	*deployer.Deployment

	mode    silentMode
	random  *lockedRandom
	history *History
	servers []*emulator.EventServer

	mutex sync.Mutex
	// variant is the configuration in force, and limits the idle limits by the time of their
	// acknowledgement.
	variant emulator.PlatformVariant
	version int
	limits  []idleLimit
	counts  map[string]int
	closed  []closedConn
}

type idleLimit struct {
	since time.Time
	limit time.Duration
}

// NewSilentPlay starts the processes for a seed.
func NewSilentPlay(deployment *deployer.Deployment, seed uint64) *SilentPlay {
	modes := silentModes()
	play := &SilentPlay{
		Deployment: deployment, mode: modes[seed%uint64(len(modes))], random: newLockedRandom(seed), history: NewHistory(), counts: map[string]int{}, version: firstSilentVersion,
		variant: emulator.PlatformVariant{StreamService: "streams-a", TimeoutMs: shortestTimeoutMs, MaxAttempts: 2, IdleMs: 2000, HeaderMs: 5000, MaxBodyBytes: 1000000},
	}

	play.startServers(seed)
	play.writeVariant()

	for number := range gatewayCount {
		play.StartGateway(gatewayName(number))
		play.StartHolder(holderName(number))
	}

	return play
}

// firstSilentVersion is above the version that a deployment begins with.
const firstSilentVersion = 10

// startServers starts the servers of streams and of whole answers. Those of jobs are the deployment's.
func (play *SilentPlay) startServers(seed uint64) {
	start := func(service string, count, events int) {
		for range count {
			server := play.StartServer(service, ownPlaces)
			server.EventCount, server.EventInterval = events, streamInterval
			play.servers = append(play.servers, server)
		}
	}

	start("streams-a", play.mode.servers, play.mode.events)
	start("streams-b", play.mode.servers/2, play.mode.events)
	start("plain", 2, 0)

	if !play.mode.silences {
		return
	}

	for index, server := range append(slices.Clone(play.servers), play.Servers...) {
		server.SetFaults(emulator.EventFaults{Silences: emulator.NewSilences(seed<<8+uint64(index), silentShare, shortestSilence, longestSilence)})
	}
}

// Run sends load for a time and returns the violations that it found.
func (play *SilentPlay) Run(ctx context.Context, length time.Duration) []string {
	loadCtx, stop := context.WithTimeout(ctx, length)
	defer stop()

	workers := sync.WaitGroup{}

	for number := range play.mode.callers {
		workers.Go(func() { play.sendStreams(loadCtx, number) })
	}

	for number := range idleCallers {
		workers.Go(func() { play.sendWhole(loadCtx, number) })
	}

	for number := range submitterCount {
		workers.Go(func() { play.submit(loadCtx, number) })
	}

	if play.mode.changes {
		workers.Go(func() { play.change(loadCtx) })
	}

	workers.Wait()
	play.checkJobs(ctx)
	play.checkRuns()

	for _, name := range slices.Sorted(maps.Keys(play.counts)) {
		play.T.Logf("%s: %d", name, play.counts[name])
	}

	return play.history.Violations()
}

func (play *SilentPlay) count(name string) {
	play.mutex.Lock()
	defer play.mutex.Unlock()

	play.counts[name]++
}

// newCaller returns a caller of a random gateway for each connection.
func (play *SilentPlay) newCaller() *keptCaller {
	return &keptCaller{budget: callerBudget, address: func() string {
		return play.Gateways[gatewayName(play.random.intN(gatewayCount))].CallerAddress
	}}
}

// sendStreams requests streams one after the other on kept connections.
func (play *SilentPlay) sendStreams(ctx context.Context, number int) {
	caller := play.newCaller()
	defer caller.close()

	targets := []string{"/stream/x", "/stream/split/x", "/stream/x", "/added/x"}
	target := targets[number%len(targets)]

	for index := 0; kernel.Pause(ctx, play.random.durationBetween(0, 20*time.Millisecond)); index++ {
		if target == "/added/x" && !play.currentVariant().Added {
			target = "/stream/split/x"
		}

		play.closeExpired(caller)

		id := fmt.Sprintf("s-%d-%d", number, index)
		answer := caller.send(context.WithoutCancel(ctx), target, id)
		play.recordStream(id, answer)
		play.waitAsTold(ctx, answer)

		target = targets[number%len(targets)]
	}
}

// recordStream checks the answer to a request for a stream.
func (play *SilentPlay) recordStream(id string, answer keptAnswer) {
	whole := play.stream()

	switch {
	case play.recordUnanswered(id, answer):
	case answer.Status == http.StatusOK && answer.Err == nil && answer.Body == whole:
		play.count("streams complete")
	case answer.Status == http.StatusOK && !strings.HasPrefix(whole, answer.Body):
		play.violate("ORDER", "%s got missing or reordered events: %q", id, answer.Body)
	case answer.Status == http.StatusOK && answer.Elapsed < soundTime:
		play.violate("streams cut", "LOST: %s ended after %s with %d of %d events: %v", id, answer.Elapsed, strings.Count(answer.Body, "\n\n"), play.mode.events, answer.Err)
	case answer.Status == http.StatusOK:
		play.count("streams at their time limit")
	case answer.Status == http.StatusBadGateway && answer.Elapsed < soundTime:
		play.violate("streams 502", "LOST: %s got 502 after %s: %s", id, answer.Elapsed, answer.Body)
	default:
		play.recordRefusal("streams", id, answer)
	}
}

// recordRefusal records an answer that says that a request has not run.
func (play *SilentPlay) recordRefusal(kind, id string, answer keptAnswer) {
	play.count(fmt.Sprintf("%s %d", kind, answer.Status))

	if answer.Status == http.StatusServiceUnavailable && answer.Header.Get("Retry-After") == "" {
		play.violate("no Retry-After", "REFUSED: %s got 503 without Retry-After", id)
	}

	if meansNotRun(answer.Status) {
		play.history.RecordAnswer(id, answer.Answer)
	}
}

// stream is the body of a complete stream.
func (play *SilentPlay) stream() string {
	body := strings.Builder{}
	for number := range play.mode.events {
		fmt.Fprintf(&body, "id: %d\ndata: %s\n\n", number, emulator.EventText(number))
	}

	return body.String()
}

// recordUnanswered checks a request without any answer. It returns false if there is one.
func (play *SilentPlay) recordUnanswered(id string, answer keptAnswer) bool {
	switch {
	case answer.Status != 0:
		return false
	case answer.closedUnanswered() && answer.Idle > 0:
		play.recordClosed(id, answer)
	default:
		play.violate("unanswered", "LOST: %s got no answer within %s: %v", id, answer.Elapsed, answer.Err)
	}

	return true
}

// recordClosed records a request whose connection was closed without an answer.
func (play *SilentPlay) recordClosed(id string, answer keptAnswer) {
	usable := play.usableIdle()

	play.mutex.Lock()
	defer play.mutex.Unlock()

	play.closed = append(play.closed, closedConn{id: id, answer: answer, usable: usable})
}

// violate records a violation and counts it.
func (play *SilentPlay) violate(name, format string, arguments ...any) {
	play.count(name)
	play.history.RecordViolation(format, arguments...)
}

// waitAsTold waits as a refusal says.
func (play *SilentPlay) waitAsTold(ctx context.Context, answer keptAnswer) {
	if seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); err == nil {
		kernel.Pause(ctx, min(longestRetryAfter, time.Duration(seconds*float64(time.Second))))
	}
}

// sendWhole requests whole answers on a connection that is idle for nearly as long as allowed.
func (play *SilentPlay) sendWhole(ctx context.Context, number int) {
	caller := play.newCaller()
	defer caller.close()

	target := "/plain/x"
	if number%2 == 0 {
		target = "/act/x"
	}

	for index := 0; ctx.Err() == nil; index++ {
		play.waitIdle(ctx, caller)

		id := fmt.Sprintf("w-%d-%d", number, index)
		answer := caller.send(context.WithoutCancel(ctx), target, id)

		switch {
		case play.recordUnanswered(id, answer):
		case answer.Status == http.StatusOK && answer.Err == nil && answer.Body == "answer to "+id:
			play.count("whole answers")
		case answer.Status == http.StatusOK || answer.Status == http.StatusBadGateway:
			play.violate("whole answers lost", "LOST: %s got %d after %s: %q, %v", id, answer.Status, answer.Elapsed, answer.Body, answer.Err)
		default:
			play.recordRefusal("whole", id, answer)
		}

		play.waitAsTold(ctx, answer)
	}
}

// waitIdle leaves the connection idle up to the share of the limit that callers use. A connection that
// has been idle for longer than a new limit allows is not used again.
func (play *SilentPlay) waitIdle(ctx context.Context, caller *keptCaller) {
	// Half of the requests come at the last moment.
	share := min(time.Second, play.random.durationBetween(800*time.Millisecond, 1200*time.Millisecond))

	for ctx.Err() == nil {
		usable := play.usableIdle()
		left := time.Duration(float64(usable)*share.Seconds()) - caller.idleFor()

		if play.closeExpired(caller); caller.conn == nil || left <= 0 {
			return
		}

		kernel.Pause(ctx, min(left, 10*time.Millisecond))
	}
}

// closeExpired closes a connection that has been idle for longer than callers use one.
func (play *SilentPlay) closeExpired(caller *keptCaller) {
	if usable := play.usableIdle(); caller.idleFor() > usable {
		caller.close()
	}
}

// usableIdle returns four fifths of the smallest idle limit that may be in force.
func (play *SilentPlay) usableIdle() time.Duration {
	play.mutex.Lock()
	defer play.mutex.Unlock()

	usable := play.limits[len(play.limits)-1].limit

	for index := len(play.limits) - 1; index > 0 && time.Since(play.limits[index].since) < applyTime; index-- {
		usable = min(usable, play.limits[index-1].limit)
	}

	return usable * 4 / 5
}

func (play *SilentPlay) currentVariant() emulator.PlatformVariant {
	play.mutex.Lock()
	defer play.mutex.Unlock()

	return play.variant
}

// writeVariant writes the current variant as a new version.
func (play *SilentPlay) writeVariant() {
	play.mutex.Lock()
	defer play.mutex.Unlock()

	play.version++
	document, err := play.variant.Document(play.version)
	require.NoError(play.T, err)
	play.Store.Catalog.Put(emulator.PlatformDocumentKey, document)

	play.limits = append(play.limits, idleLimit{since: time.Now(), limit: time.Duration(play.variant.IdleMs) * time.Millisecond})
}

// change changes the configuration again and again, every second time the idle limit, and signals a
// reload now and then.
func (play *SilentPlay) change(ctx context.Context) {
	services := []string{"streams-a", "streams-a", "streams-b"}
	kinds := []func(variant *emulator.PlatformVariant){
		func(variant *emulator.PlatformVariant) {
			variant.StreamService = services[play.random.intN(len(services))]
		},
		func(variant *emulator.PlatformVariant) {
			variant.SplitService = append(services, "")[play.random.intN(len(services)+1)]
		},
		func(variant *emulator.PlatformVariant) { variant.Added = !variant.Added },
		func(variant *emulator.PlatformVariant) {
			variant.TimeoutMs = shortestTimeoutMs * (4 + play.random.intN(2)) / 4
		},
		func(variant *emulator.PlatformVariant) { variant.MaxAttempts = 5 - variant.MaxAttempts },
		func(variant *emulator.PlatformVariant) {
			variant.HeaderMs, variant.MaxBodyBytes = 10000-variant.HeaderMs+1000, 3000000-variant.MaxBodyBytes
		},
	}

	for number := 0; kernel.Pause(ctx, changeInterval); number++ {
		play.mutex.Lock()

		if number%2 == 0 {
			play.variant.IdleMs = nextIdle(play.variant.IdleMs)
		} else {
			kinds[play.random.intN(len(kinds))](&play.variant)
		}

		play.mutex.Unlock()
		play.writeVariant()

		if play.random.intN(3) == 0 {
			play.Gateways[gatewayName(play.random.intN(gatewayCount))].Signal(syscall.SIGHUP)
		}
	}
}

// nextIdle returns the idle limit after another, in milliseconds. After a rise by a quarter, the old limit
// ends together with the time in which callers use a connection.
func nextIdle(limit int) int {
	limits := []int{1600, 2000, 4000, 5000}

	return limits[(slices.Index(limits, limit)+1)%len(limits)]
}
