package gossiper_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/enforcer"
	"limpetrail/follower"
	"limpetrail/gauger"
	"limpetrail/gossiper"
	"limpetrail/kernel"
	"limpetrail/matcher"
	"limpetrail/placer"
	"limpetrail/quarantiner"
	"limpetrail/throttler"
)

// freePort returns a loopback address that nobody listens at now.
func freePort(t *testing.T) string {
	t.Helper()

	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)

	defer socket.Close()

	return socket.LocalAddr().String()
}

func newEntry(t *testing.T, name, address string, changes ...func(*gossiper.Gossiper)) (*gossiper.Gossiper, *placer.Placer) {
	t.Helper()

	common := kernel.NewDiscardCommon(name)
	serverPlacer := placer.NewPlacer(common)
	serverPlacer.UpdateServers([]placer.Server{{ID: "x", Service: "model", Places: 8}})

	subject := gossiper.NewGossiper(common, serverPlacer, address)
	for _, change := range changes {
		change(subject)
	}

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)

	go func() { done <- subject.Run(ctx) }()

	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})

	return subject, serverPlacer
}

func peersOnline(serverPlacer *placer.Placer) int {
	return serverPlacer.Status()[0].Others.Online
}

// An entry soon learns of the places that a peer acquires and releases.
func TestEntriesExchangeReports(t *testing.T) {
	addresses := []string{freePort(t), freePort(t)}
	first, sender := newEntry(t, "a", addresses[0])
	second, receiver := newEntry(t, "b", addresses[1])

	first.SetPeers(map[string]string{"b": addresses[1]})
	second.SetPeers(map[string]string{"a": addresses[0]})

	decision := sender.Place(t.Context(), placer.Work{Service: "model"})
	require.Equal(t, placer.Placed, decision.Verdict)
	require.Eventually(t, func() bool { return peersOnline(receiver) == 1 }, 5*time.Second, time.Millisecond)

	decision.Grant.Release()
	require.Eventually(t, func() bool { return peersOnline(receiver) == 0 }, 5*time.Second, time.Millisecond)
}

// Outdated and malformed reports, and those from unlisted entries, change nothing.
func TestInvalidReportsAreIgnored(t *testing.T) {
	address := freePort(t)
	subject, serverPlacer := newEntry(t, "b", address)
	subject.SetPeers(map[string]string{"a": freePort(t)})

	socket, err := (&net.Dialer{}).DialContext(t.Context(), "udp4", address)
	require.NoError(t, err)

	defer socket.Close()

	send := func(report gossiper.Report) {
		encoded, err := json.Marshal(report)
		require.NoError(t, err)
		// Fails while the port is not open yet.
		_, _ = socket.Write(encoded)
	}
	loads := func(online int) map[string]placer.Load { return map[string]placer.Load{"x": {Online: online}} }

	// The entry may not listen yet, so the first report is sent until it is applied.
	require.Eventually(t, func() bool {
		send(gossiper.Report{Instance: "a", Incarnation: 2, Number: 5, Loads: loads(3)})

		return peersOnline(serverPlacer) == 3
	}, 5*time.Second, time.Millisecond)

	send(gossiper.Report{Instance: "a", Incarnation: 2, Number: 4, Loads: loads(7)})
	send(gossiper.Report{Instance: "a", Incarnation: 1, Number: 9, Loads: loads(7)})
	send(gossiper.Report{Instance: "unlisted", Incarnation: 3, Number: 1, Loads: loads(7)})

	_, err = socket.Write([]byte("{"))
	require.NoError(t, err)

	send(gossiper.Report{Instance: "a", Incarnation: 2, Number: 6, Loads: loads(4)})
	require.Eventually(t, func() bool { return peersOnline(serverPlacer) == 4 }, 5*time.Second, time.Millisecond)
}

// An entry with many peers sends a bounded number of datagrams, also if its load changes
// all the time.
func TestReportRateIsBounded(t *testing.T) {
	const (
		peers = 40
		// maxRate is maxDatagramsPerSecond; a first report to each peer comes on top.
		maxRate  = 400
		duration = 2 * time.Second
	)

	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)

	subject, serverPlacer := newEntry(t, "a", freePort(t))
	addresses := map[string]string{}

	for number := range peers {
		addresses[fmt.Sprintf("peer-%d", number)] = socket.LocalAddr().String()
	}

	subject.SetPeers(addresses)

	started := time.Now()
	require.NoError(t, socket.SetReadDeadline(started.Add(duration)))

	go func() {
		for time.Since(started) < duration {
			decision := serverPlacer.Place(context.Background(), placer.Work{Service: "model"})
			time.Sleep(time.Millisecond)
			decision.Grant.Release()
		}
	}()

	received, buffer := 0, make([]byte, 1<<10)

	for {
		if _, _, err := socket.ReadFromUDP(buffer); err != nil {
			break
		}

		received++
	}

	require.NoError(t, socket.Close())
	require.Greater(t, received, 2*peers, "each peer gets more than one report")
	require.LessOrEqual(t, received, peers+int(maxRate*duration.Seconds()))
}

// Peers of an entry soon learn that a backend server announced to it that it is leaving, also
// a peer that starts later.
func TestDeparturesReachPeers(t *testing.T) {
	addresses := []string{freePort(t), freePort(t)}
	first, observer := newEntry(t, "a", addresses[0])

	observer.MarkLeaving(placer.Server{ID: "x"}, "answer to r-1")
	first.SetPeers(map[string]string{"b": addresses[1]})

	second, receiver := newEntry(t, "b", addresses[1])
	second.SetPeers(map[string]string{"a": addresses[0]})

	require.Eventually(t, func() bool { return receiver.Status()[0].Leaving }, 5*time.Second, time.Millisecond)
}

// Reports carry the limits that servers name.
func TestLimitsReachPeers(t *testing.T) {
	addresses := []string{freePort(t), freePort(t)}
	first, observer := newEntry(t, "a", addresses[0])
	second, receiver := newEntry(t, "b", addresses[1])

	first.SetPeers(map[string]string{"b": addresses[1]})
	second.SetPeers(map[string]string{"a": addresses[0]})

	require.Eventually(t, func() bool {
		observer.RecordStatement(placer.Server{ID: "x"}, throttler.Statement{Limited: true, PerSecond: 2.5}, "r-1")

		return receiver.Status()[0].Limited && receiver.Status()[0].PerSecond == 2.5
	}, 5*time.Second, time.Millisecond)
}

// Reports carry what an entry found out about prompt parts, and from whom it comes.
func TestFindingsReachPeers(t *testing.T) {
	addresses := []string{freePort(t), freePort(t)}
	found := []quarantiner.Finding{{Subject: quarantiner.Subject{Service: "model", Part: "x"}, Depth: 1}}
	received := make(chan []quarantiner.Finding, 100)

	first, _ := newEntry(t, "a", addresses[0], func(subject *gossiper.Gossiper) {
		subject.Findings = func() []quarantiner.Finding { return found }
	})
	second, _ := newEntry(t, "b", addresses[1], func(subject *gossiper.Gossiper) {
		subject.ApplyFindings = func(peer string, findings []quarantiner.Finding) {
			if peer == "a" && len(received) == 0 {
				received <- findings
			}
		}
	})

	first.SetPeers(map[string]string{"b": addresses[1]})
	second.SetPeers(map[string]string{"a": addresses[0]})
	require.Equal(t, found, <-received)
}

// A verification must reach peers although no load changes; otherwise each of them verifies
// by itself.
func TestVerificationsReachPeers(t *testing.T) {
	addresses := []string{freePort(t), freePort(t)}
	verified := map[string]follower.Verification{"op/": {Age: time.Second, Digest: 1<<64 - 1}}
	received := make(chan map[string]follower.Verification, 1)

	first, _ := newEntry(t, "a", addresses[0], func(subject *gossiper.Gossiper) {
		subject.Verifications = func() map[string]follower.Verification { return verified }
	})
	second, _ := newEntry(t, "b", addresses[1], func(subject *gossiper.Gossiper) {
		subject.ApplyPeerVerifications = func(_ string, verifications map[string]follower.Verification) {
			select {
			case received <- verifications:
			default:
			}
		}
	})

	first.SetPeers(map[string]string{"b": addresses[1]})
	second.SetPeers(map[string]string{"a": addresses[0]})
	first.ReportSoon()
	require.Equal(t, verified, <-received)
}

// Without the exchange of counts, each gateway would admit the whole cap. Where nothing is capped,
// reports must stay as they were.
func TestUseOfCapsReachesPeers(t *testing.T) {
	const burst = 200

	addresses := []string{freePort(t), freePort(t)}
	caps := map[string]*matcher.Workspace{"w": {Name: "w", Cap: matcher.Cap{PerSecond: 0.001, Burst: burst}}}
	decisions := []*enforcer.Enforcer{}
	past := time.Now().Add(-burst * 2000 * time.Second)

	for index, name := range []string{"a", "b"} {
		decisions = append(decisions, enforcer.NewEnforcer(kernel.NewDiscardCommon(name), enforcer.Settings{Window: time.Second}))
		decisions[index].SetCaps(caps)
		// The buckets are full now.
		decisions[index].Admit("w", past)
	}

	first, _ := newEntry(t, "a", addresses[0], func(subject *gossiper.Gossiper) { subject.Enforcer = decisions[0] })
	second, _ := newEntry(t, "b", addresses[1], func(subject *gossiper.Gossiper) { subject.Enforcer = decisions[1] })

	first.SetPeers(map[string]string{"b": addresses[1]})
	second.SetPeers(map[string]string{"a": addresses[0]})

	admitted := 0

	require.Eventually(t, func() bool {
		if decisions[0].Admit("w", time.Now()).Admitted {
			admitted++
		}

		return admitted >= burst*3/4
	}, 20*time.Second, time.Millisecond, "one of two gateways gets most of the cap")
	require.Eventually(t, func() bool {
		if decisions[1].Admit("w", time.Now()).Admitted {
			admitted++
		}

		return admitted >= burst*95/100
	}, 20*time.Second, time.Millisecond, "the other one gets the rest")
	require.Never(t, func() bool {
		for _, decision := range decisions {
			if decision.Admit("w", time.Now()).Admitted {
				admitted++
			}
		}

		return admitted > burst
	}, time.Second, time.Millisecond)

	encoded, err := json.Marshal(gossiper.Report{})
	require.NoError(t, err)
	require.NotContains(t, string(encoded), "Caps")
}

// newLearningPlacer returns a placer of servers "x", "y" and "z" that learns their capacity.
func newLearningPlacer(name string) *placer.Placer {
	learning := placer.NewPlacer(kernel.NewDiscardCommon(name), placer.WithGauger(gauger.NewGauger()))
	learning.UpdateServers([]placer.Server{{ID: "x", Service: "model", Places: 8}, {ID: "y", Service: "model", Places: 8}, {ID: "z", Service: "model", Places: 8}})

	return learning
}

// What one entry measures at servers counts at its peers. Without learning, reports do not have
// the field.
func TestMeasuresReachPeers(t *testing.T) {
	addresses, measuring, learning := []string{freePort(t), freePort(t)}, newLearningPlacer("a"), newLearningPlacer("b")
	first, plain := newEntry(t, "a", addresses[0], func(subject *gossiper.Gossiper) { subject.Placer = measuring })
	second, _ := newEntry(t, "b", addresses[1], func(subject *gossiper.Gossiper) { subject.Placer = learning })

	first.SetPeers(map[string]string{"b": addresses[1]})
	second.SetPeers(map[string]string{"a": addresses[0]})

	measure := func(gap time.Duration, exclude ...string) {
		grant, now := measuring.Place(t.Context(), placer.Work{Service: "model", Exclude: exclude}).Grant, time.Now()
		for number := range 20 {
			at := now.Add(time.Duration(number) * gap)
			grant.ObserveEvents(placer.Events{Count: 1, ArrivedAt: at, HandledAt: at})
		}

		grant.Observe(placer.Complete, 0)
		grant.Release()
	}

	// Measured again and again, as datagrams may be lost.
	require.Eventually(t, func() bool {
		measure(10*time.Millisecond, "y", "z")
		measure(time.Millisecond, "x", "z")
		measure(time.Millisecond, "x", "y")
		learning.Place(t.Context(), placer.Work{Service: "model"}).Grant.Release()

		return learning.Status()[0].Pace > 2
	}, 10*time.Second, 50*time.Millisecond)

	grant := plain.Place(t.Context(), placer.Work{Service: "model"}).Grant
	grant.Observe(placer.Complete, 0)

	encoded, err := json.Marshal(gossiper.Report{Measures: plain.Measures()})
	require.NoError(t, err)
	require.NotContains(t, string(encoded), "Measures")
}
