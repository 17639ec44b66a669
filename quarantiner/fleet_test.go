package quarantiner_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/kernel"
	"limpetrail/placer"
	"limpetrail/quarantiner"
)

const (
	service = "model"
	// deadlyPart is the part that ends servers while they are set to, and deadlyRequest the
	// fingerprint of a request that does.
	deadlyPart    = "x"
	deadlyRequest = "deadly"
	// downtime is how long a server that ended is away.
	downtime = 3 * time.Second
	// firstEventDelay is how long a server needs to begin an answer.
	firstEventDelay = 20 * time.Millisecond
	// reportInterval is the time between two reports of an entry, and largeReportInterval
	// that in a fleet of more than largeFleet entries.
	reportInterval      = 100 * time.Millisecond
	largeReportInterval = 400 * time.Millisecond
	largeFleet          = 100
)

// fleet is several entries before the same servers, in a synctest bubble. The entries
// exchange their findings as datagrams, some of which are lost.
type fleet struct {
	t      *testing.T
	random *rand.Rand
	// lossShare is the share of reports that are lost.
	lossShare float64

	mutex   sync.Mutex
	entries []*quarantiner.Quarantiner
	servers []*server
	// deadly is set while deadlyPart ends servers.
	deadly bool
	// struck holds when requests with a deadly part reached servers.
	struck []time.Time
	calls  sync.WaitGroup
}

// server is a backend server. Its incarnation grows with each start.
type server struct {
	id          string
	incarnation int64
	endedAt     time.Time
}

func newFleet(t *testing.T, seed uint64, entries, servers int) *fleet {
	t.Helper()

	fleet := &fleet{t: t, random: rand.New(rand.NewPCG(seed, seed))}

	for number := range servers {
		fleet.servers = append(fleet.servers, &server{id: fmt.Sprintf("server-%d", number), incarnation: 1})
	}

	for number := range entries {
		fleet.entries = append(fleet.entries, fleet.newEntry(number))
	}

	return fleet
}

func (fleet *fleet) newEntry(number int) *quarantiner.Quarantiner {
	return quarantiner.NewQuarantiner(kernel.NewDiscardCommon(fmt.Sprintf("entry-%d", number)), fleet, quarantiner.WithPeers(func() []string {
		peers := []string{}

		for other := range fleet.currentEntries() {
			if other != number {
				peers = append(peers, fmt.Sprintf("entry-%d", other))
			}
		}

		return peers
	}))
}

// restart replaces an entry by one that knows nothing.
func (fleet *fleet) restart(number int) {
	started := fleet.newEntry(number)

	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()

	fleet.entries[number] = started
}

func (fleet *fleet) currentEntries() []*quarantiner.Quarantiner {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()

	return slices.Clone(fleet.entries)
}

// HasEnded implements quarantiner.Liveness.
func (fleet *fleet) HasEnded(_ context.Context, checked placer.Server) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()

	for _, known := range fleet.servers {
		if known.id == checked.ID {
			return time.Since(known.endedAt) < downtime
		}
	}

	return true
}

// end ends a server's process; it starts again after the downtime.
func (fleet *fleet) end(ended *server) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()

	ended.endedAt = time.Now()
	ended.incarnation++
}

func (fleet *fleet) pickServer() (*server, placer.Server) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()

	up := slices.DeleteFunc(slices.Clone(fleet.servers), func(known *server) bool { return time.Since(known.endedAt) < downtime })
	if len(up) == 0 {
		return nil, placer.Server{}
	}

	picked := up[fleet.random.IntN(len(up))]

	return picked, placer.Server{ID: picked.id, Incarnation: picked.incarnation}
}

// outcome is what became of a request.
type outcome struct {
	blocked, begun bool
	retryAfter     time.Duration
}

// send sends a request with these shared parts through an entry, as often as allowed. Each attempt
// counts as a request of its own.
func (fleet *fleet) send(entry int, attempts int, parts ...string) outcome {
	return fleet.sendAgain(entry, attempts, "", parts...)
}

// sendAgain sends a request with this fingerprint, which other requests may have had before.
func (fleet *fleet) sendAgain(entry int, attempts int, fingerprint string, parts ...string) outcome {
	fleet.mutex.Lock()
	id := fmt.Sprintf("r-%d", fleet.random.Uint32())
	fleet.mutex.Unlock()

	request := quarantiner.Request{ID: id, Service: service, Fingerprint: fingerprint, Parts: parts}

	for attempt := range attempts {
		if fingerprint == "" {
			request.ID = fmt.Sprintf("%s-%d", id, attempt)
		}

		if block, blocked := fleet.currentEntries()[entry].Check(request); blocked {
			return outcome{blocked: true, retryAfter: block.RetryAfter}
		}

		chosen, identity := fleet.pickServer()
		if chosen == nil {
			return outcome{}
		}

		if fleet.run(entry, request, chosen, identity) {
			return outcome{begun: true}
		}
	}

	return outcome{}
}

// run sends a request to a server and reports whether the server began to answer.
func (fleet *fleet) run(entry int, request quarantiner.Request, chosen *server, identity placer.Server) bool {
	run, _, blocked := fleet.currentEntries()[entry].Start(request, identity)
	if blocked {
		return false
	}
	defer run.Close()

	deadly := fleet.isDeadly(request)
	time.Sleep(firstEventDelay)

	if deadly {
		fleet.end(chosen)
	}

	if fleet.HasEnded(context.Background(), identity) {
		require.Equal(fleet.t, placer.Unreachable, run.BreakOff(context.Background(), "cut"))

		return false
	}

	run.Begin()

	return true
}

func (fleet *fleet) isDeadly(request quarantiner.Request) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()

	deadly := fleet.deadly && (slices.Contains(request.Parts, deadlyPart) || request.Fingerprint == deadlyRequest)
	if deadly {
		fleet.struck = append(fleet.struck, time.Now())
	}

	return deadly
}

func (fleet *fleet) setDeadly(deadly bool) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()

	fleet.deadly = deadly
}

func (fleet *fleet) setLossShare(share float64) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()

	fleet.lossShare = share
}

func (fleet *fleet) strikes() int {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()

	return len(fleet.struck)
}

// startExchange sends reports until the returned function is called.
func (fleet *fleet) startExchange() func() {
	ctx, stop := context.WithCancel(fleet.t.Context())

	go fleet.exchange(ctx)

	return stop
}

// exchange sends reports until the context ends.
func (fleet *fleet) exchange(ctx context.Context) {
	interval := reportInterval
	if len(fleet.currentEntries()) > largeFleet {
		interval = largeReportInterval
	}

	for kernel.Pause(ctx, interval) {
		for number, entry := range fleet.currentEntries() {
			encoded, err := json.Marshal(entry.Findings())
			require.NoError(fleet.t, err)

			fleet.deliver(number, encoded)
		}
	}
}

func (fleet *fleet) deliver(from int, encoded []byte) {
	findings := []quarantiner.Finding{}
	require.NoError(fleet.t, json.Unmarshal(encoded, &findings))

	if len(findings) == 0 {
		return
	}

	for number, entry := range fleet.currentEntries() {
		fleet.mutex.Lock()
		lost := fleet.random.Float64() < fleet.lossShare
		fleet.mutex.Unlock()

		if number != from && !lost {
			entry.ApplyFindings(fmt.Sprintf("entry-%d", from), findings)
		}
	}
}

// blockedAt returns the number of entries that block requests with the parts.
func (fleet *fleet) blockedAt(parts ...string) int {
	count := 0

	for _, entry := range fleet.currentEntries() {
		if _, blocked := entry.Check(quarantiner.Request{ID: "probe", Service: service, Parts: parts, Waiting: true}); blocked {
			count++
		}
	}

	return count
}
