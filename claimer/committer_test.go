package claimer

import (
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/classifier"
	"limpetrail/emulator"
)

func TestClaimsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "replica-1")
		entry := fleet.entry(t, "entry-1")
		send(entry)

		time.Sleep(ResultRetention - time.Minute)

		outcome, answer := send(entry)
		requireAnswer(t, outcome, answer)

		time.Sleep(2 * time.Minute)

		outcome, _ = send(entry)
		require.Equal(t, classifier.MayHaveRun, outcome.Fate, "the result is dropped, but the claim is kept")
		require.Equal(t, 1, fleet.executions())

		time.Sleep(Retention - ResultRetention)

		outcome, _ = send(entry)
		require.Equal(t, classifier.Answered, outcome.Fate, "the key is free again")
		require.Equal(t, 2, fleet.executions())
	})
}

func TestFullRecordRefusesNewClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "replica-1")
		shard := newClaim(orderCall(orderBody), "monday").shardKey()
		value, err := (&record{Claims: []Claim{{Key: strings.Repeat("x", MaxRecordBytes), At: time.Now().Unix()}}}).encode()
		require.NoError(t, err)

		_, _, err = fleet.store.CompareAndSwap(t.Context(), shard, 0, value)
		require.NoError(t, err)

		outcome, _ := send(fleet.entry(t, "entry-1"))
		require.Equal(t, classifier.NotRun, outcome.Fate)
		require.Positive(t, outcome.RetryAfter)
		require.Zero(t, fleet.executions())
	})
}

func TestPendingChangesOfAShardShareAWrite(t *testing.T) {
	const changes = 200

	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore()
		store.Faults.Set(emulator.FaultSwitches{Delay: 5 * time.Millisecond})
		committers := []*committer{newCommitter(store, time.Second), newCommitter(store, time.Second)}
		failures := make(chan error, changes)

		for index := range changes {
			go func() {
				claim := Claim{Key: strconv.Itoa(index), Attempt: "attempt", At: time.Now().Unix()}
				_, err := committers[index%2].commit(t.Context(), "shard", claimKey(claim, ""))
				failures <- err
			}()
		}

		for range changes {
			require.NoError(t, <-failures)
		}

		entry, err := store.Get(t.Context(), "shard")
		require.NoError(t, err)

		record, err := decodeRecord(entry.Value)
		require.NoError(t, err)
		require.Len(t, record.Claims, changes)
		require.LessOrEqual(t, store.CallCounts()["CompareAndSwap"], 10)
	})
}

func TestStoreCallsOfAKeyedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "replica-1")
		send(fleet.entry(t, "entry-1"))
		require.Equal(t, map[string]int{"Get": 2, "CompareAndSwap": 2}, fleet.store.CallCounts())

		send(fleet.entry(t, "entry-2"))
		require.Equal(t, map[string]int{"Get": 3, "CompareAndSwap": 2}, fleet.store.CallCounts(), "a replay writes nothing")
	})
}
