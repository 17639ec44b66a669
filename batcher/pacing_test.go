package batcher_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/bookkeeper"
	"limpetrail/registrar"
)

// addMembers registers a number of other processes that do nothing.
func (fleet *fleet) addMembers(members int) {
	for number := range members {
		member := registrar.Member{Name: fmt.Sprintf("other-%d", number), Incarnation: "1"}
		value, err := json.Marshal(member)
		require.NoError(fleet.t, err)
		fleet.catalog.Put(registrar.MembersPrefix+member.Name, value)
	}

	time.Sleep(time.Second)
}

// committedCount is how many results of a job a reader gets.
func (fleet *fleet) committedCount(id string) int {
	page, outcome := fleet.gateways[0].batcher.ReadResults(context.Background(), id, 0, 0)
	require.Equal(fleet.t, bookkeeper.OK, outcome)

	return len(page.Results)
}

// In a large fleet each process gets a job every two seconds, whose items finish one by
// one. Its writes stay within its share of the fleet's write rate, and no result is
// committed late.
func TestWriteRateOfALargeFleet(t *testing.T) {
	const (
		members  = 41
		jobs     = 15
		items    = 10
		interval = 2 * time.Second
		// maxFleetWriteRate is the documented limit of a fleet's writes per second for
		// results and partial output, not counting submissions.
		maxFleetWriteRate = 25.0
	)

	newFleet(t, 1, 2, func(fleet *fleet) {
		fleet.addMembers(members - 1)

		before, start := fleet.catalog.CallCount("Transact"), time.Now()

		for number := range jobs {
			require.Equal(t, bookkeeper.OK, fleet.submitJob(0, fmt.Sprintf("job-%d", number), items))
			time.Sleep(interval)
		}

		writes := fleet.catalog.CallCount("Transact") - before - jobs
		share := maxFleetWriteRate / members * time.Since(start).Seconds()
		require.LessOrEqual(t, float64(writes), share+1)

		time.Sleep(3 * time.Second)

		for number := range jobs {
			require.Equal(t, items, fleet.committedCount(fmt.Sprintf("job-%d", number)))
		}
	})
}

// Results of a job that is due soon do not wait for those of other jobs.
func TestResultsNearTheDeadlineAreCommittedAtOnce(t *testing.T) {
	newFleet(t, 1, 2, func(fleet *fleet) {
		fleet.addMembers(40)

		// The item needs about half a second, and the job is due in two seconds.
		job := bookkeeper.Job{
			ID: "job", Host: host, Submitted: time.Now(), Due: time.Now().Add(2 * time.Second), GiveUp: time.Now().Add(time.Minute),
			Items: []bookkeeper.Item{{ID: itemID(1), Target: "/batch/x"}},
		}
		require.Equal(t, bookkeeper.OK, fleet.gateways[0].batcher.Submit(context.Background(), job))

		time.Sleep(time.Until(job.Due))
		require.Equal(t, 1, fleet.committedCount("job"))
	})
}
