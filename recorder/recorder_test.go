package recorder_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"limpetrail/recorder"
	_ "limpetrail/seeder" // Fixes the seed of rapid.
)

func TestRecorderKeepsNewestEvents(t *testing.T) {
	events := recorder.NewRecorder("entry-1", recorder.WithCapacity(3))
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		events.Record(recorder.Event{RequestID: id})
	}

	found := events.Find(recorder.Query{})
	require.Len(t, found, 3)
	require.Equal(t, "c", found[0].RequestID)
	require.Equal(t, "e", found[2].RequestID)
	require.Less(t, found[0].Stamp, found[1].Stamp)
}

func TestQueryFindsAllAttemptsOfRequest(t *testing.T) {
	events := recorder.NewRecorder("entry-1")
	events.Record(recorder.Event{RequestID: "one", Kind: recorder.KindReceived})
	events.Record(recorder.Event{RequestID: "one.sidecar-1", Kind: recorder.KindStarted})
	events.Record(recorder.Event{RequestID: "two.sidecar-1", Kind: recorder.KindStarted})

	require.Len(t, events.Find(recorder.Query{RequestID: "one"}), 2)
	require.Len(t, events.Find(recorder.Query{RequestID: "one.sidecar-1"}), 2)
}

func TestClockOrdersCauseBeforeEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clocks := []*recorder.Clock{recorder.NewClock(), recorder.NewClock(), recorder.NewClock()}

		var last recorder.Stamp

		for range rapid.IntRange(1, 50).Draw(t, "messages") {
			sender := clocks[rapid.IntRange(0, 2).Draw(t, "sender")]
			sender.Observe(last)
			stamp := sender.Now()
			require.Greater(t, stamp, last)
			last = stamp
		}
	})
}

func TestClockIgnoresStampsFarAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		remote := recorder.NewClock()
		time.Sleep(time.Hour)
		remoteStamp := remote.Now()

		clock := recorder.NewClock()
		clock.Observe(remoteStamp + recorder.Stamp(uint64(time.Hour.Milliseconds())<<16))
		require.WithinDuration(t, time.Now(), clock.Now().Time(), time.Second)
	})
}
