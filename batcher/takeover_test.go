package batcher_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/bookkeeper"
)

// A process whose member list is older than a job's head must not treat the job as
// orphaned: the owner may be live, and both would run it.
func TestStaleMemberListTakesOverNoJob(t *testing.T) {
	newFleet(t, 2, 1, func(fleet *fleet) {
		own, other := fleet.gateways[0].batcher, fleet.gateways[1].batcher
		require.Equal(t, bookkeeper.OK, fleet.submit(0, 400))

		other.SetMembers(map[string]bool{other.ProcessID: true}, 1)
		time.Sleep(3 * time.Second)
		require.Equal(t, own.ProcessID, other.Librarian.Heads()[jobID].Owner)

		other.SetMembers(map[string]bool{other.ProcessID: true, own.ProcessID: true}, 1)
	})
}

// A process with many jobs dies, and the others see each other's takeovers only seconds
// later. Nevertheless each job is taken over about once.
func TestTakeoversOfManyJobs(t *testing.T) {
	const (
		gateways = 8
		jobs     = 30
	)

	newFleet(t, 1, 0, func(fleet *fleet) {
		fleet.watchPause = 2 * time.Second
		for number := range gateways {
			fleet.gateways = append(fleet.gateways, fleet.startGateway(fmt.Sprintf("later-%d", number)))
		}

		time.Sleep(5 * time.Second)

		for number := range jobs {
			require.Equal(t, bookkeeper.OK, fleet.submitJob(0, fmt.Sprintf("job-%d", number), 100))
		}

		fleet.kill(0)

		before := fleet.catalog.CallCount("Transact")
		// The lease ends, the member lists show it, and each takeover reads a job's records.
		time.Sleep(12 * time.Second)

		owners := map[string]int{}
		for _, head := range fleet.gateways[1].batcher.Librarian.Heads() {
			owners[head.Owner]++
		}

		require.Zero(t, owners[fleet.gateways[0].batcher.ProcessID], "all jobs have another owner")
		// Without backend servers, takeovers are the only writes.
		require.LessOrEqual(t, fleet.catalog.CallCount("Transact")-before, jobs+jobs/2)
	})
}

// If the write of a head takes effect late, the head may name a process that does not
// run the job. That process resumes the job soon, whatever its rank, since all others see
// a live owner.
func TestProcessResumesJobsThatNameItAsOwner(t *testing.T) {
	const jobs = 10

	newFleet(t, 1, 2, func(fleet *fleet) {
		fleet.addMembers(40)

		gateway := fleet.gateways[0]
		ledger := bookkeeper.Ledger{Client: gateway.client}
		head := bookkeeper.Head{Owner: gateway.batcher.ProcessID, Host: host, Total: 1, Submitted: time.Now(), Due: time.Now().Add(18 * time.Second), GiveUp: time.Now().Add(time.Minute)}

		for number := range jobs {
			job := bookkeeper.Job{ID: fmt.Sprintf("job-%d", number), Host: host, Items: []bookkeeper.Item{{ID: itemID(number), Target: "/batch/x"}}}
			_, outcome, err := ledger.Create(context.Background(), job, head)
			require.NoError(t, err)
			require.Equal(t, bookkeeper.OK, outcome)
		}

		time.Sleep(10 * time.Second)

		for number := range jobs {
			require.Equal(t, 1, fleet.committedCount(fmt.Sprintf("job-%d", number)))
		}
	})
}
