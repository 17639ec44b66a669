package gossiper_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/gossiper"
	"limpetrail/kernel"
	"limpetrail/placer"
)

// freePort returns a loopback address that nobody listens at now.
func freePort(t *testing.T) string {
	t.Helper()

	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)

	defer socket.Close()

	return socket.LocalAddr().String()
}

func newEntry(t *testing.T, name, address string) (*gossiper.Gossiper, *placer.Placer) {
	t.Helper()

	common := kernel.Discard(name)
	places := placer.NewPlacer(common)
	places.Update([]placer.Server{{ID: "x", Service: "model", Places: 8}})

	made := gossiper.NewGossiper(common, places, address)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)

	go func() { done <- made.Run(ctx) }()

	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})

	return made, places
}

func othersOnline(places *placer.Placer) int {
	return places.Status()[0].Others.Online
}

// What one entry runs is known at the other soon, and its end as well.
func TestEntriesHearOfEachOther(t *testing.T) {
	addresses := []string{freePort(t), freePort(t)}
	first, running := newEntry(t, "a", addresses[0])
	second, hearing := newEntry(t, "b", addresses[1])

	first.SetPeers(map[string]string{"b": addresses[1]})
	second.SetPeers(map[string]string{"a": addresses[0]})

	decision := running.Place(t.Context(), placer.Work{Service: "model"})
	require.Equal(t, placer.Placed, decision.Verdict)
	require.Eventually(t, func() bool { return othersOnline(hearing) == 1 }, 5*time.Second, time.Millisecond)

	decision.Grant.Release()
	require.Eventually(t, func() bool { return othersOnline(hearing) == 0 }, 5*time.Second, time.Millisecond)
}

// Reports that come late, from strangers or in no readable form change nothing.
func TestReportsThatDoNotCount(t *testing.T) {
	address := freePort(t)
	made, places := newEntry(t, "b", address)
	made.SetPeers(map[string]string{"a": freePort(t)})

	socket, err := (&net.Dialer{}).DialContext(t.Context(), "udp4", address)
	require.NoError(t, err)

	defer socket.Close()

	send := func(report gossiper.Report) {
		encoded, err := json.Marshal(report)
		require.NoError(t, err)
		// A datagram to a port that is not open yet comes back as an error.
		_, _ = socket.Write(encoded)
	}
	loads := func(online int) map[string]placer.Load { return map[string]placer.Load{"x": {Online: online}} }

	// The entry may not listen yet, so the first report is sent until it is heard.
	require.Eventually(t, func() bool {
		send(gossiper.Report{Instance: "a", Incarnation: 2, Number: 5, Loads: loads(3)})

		return othersOnline(places) == 3
	}, 5*time.Second, time.Millisecond)

	send(gossiper.Report{Instance: "a", Incarnation: 2, Number: 4, Loads: loads(7)})
	send(gossiper.Report{Instance: "a", Incarnation: 1, Number: 9, Loads: loads(7)})
	send(gossiper.Report{Instance: "stranger", Incarnation: 3, Number: 1, Loads: loads(7)})

	_, err = socket.Write([]byte("{"))
	require.NoError(t, err)

	send(gossiper.Report{Instance: "a", Incarnation: 2, Number: 6, Loads: loads(4)})
	require.Eventually(t, func() bool { return othersOnline(places) == 4 }, 5*time.Second, time.Millisecond)
}

// The load: places taken and left all the time at an entry with many others.
func TestReportsOfAnEntryAreBounded(t *testing.T) {
	const (
		peers = 40
		// mostRate is the stated budget of datagrams a second, and the first
		// round.
		mostRate = 400
		length   = 2 * time.Second
	)

	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)

	made, places := newEntry(t, "a", freePort(t))
	addresses := map[string]string{}

	for number := range peers {
		addresses[fmt.Sprintf("peer-%d", number)] = socket.LocalAddr().String()
	}

	made.SetPeers(addresses)

	begun := time.Now()
	require.NoError(t, socket.SetReadDeadline(begun.Add(length)))

	go func() {
		for time.Since(begun) < length {
			decision := places.Place(context.Background(), placer.Work{Service: "model"})
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
	require.Greater(t, received, 2*peers, "each peer hears more than once")
	require.LessOrEqual(t, received, peers+int(mostRate*length.Seconds()))
}

// A departure that one entry saw is known at the others soon, also at one that
// starts later.
func TestDeparturesAreToldToOthers(t *testing.T) {
	addresses := []string{freePort(t), freePort(t)}
	first, seeing := newEntry(t, "a", addresses[0])

	seeing.Leave(placer.Server{ID: "x"}, "answer to r-1")
	first.SetPeers(map[string]string{"b": addresses[1]})

	second, hearing := newEntry(t, "b", addresses[1])
	second.SetPeers(map[string]string{"a": addresses[0]})

	require.Eventually(t, func() bool { return hearing.Status()[0].Leaving }, 5*time.Second, time.Millisecond)
}
