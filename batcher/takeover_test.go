package batcher_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/bookkeeper"
)

// A process whose list of members is older than a job takes it for no orphan: its
// owner is live, and both would run it.
func TestOldListOfMembersTakesNoJob(t *testing.T) {
	newFleet(t, 2, 1, func(fleet *fleet) {
		own, other := fleet.gateways[0].batcher, fleet.gateways[1].batcher
		require.Equal(t, bookkeeper.OK, fleet.submits(0, 400))

		other.SetMembers(map[string]bool{other.Owner: true}, 1)
		time.Sleep(3 * time.Second)
		require.Equal(t, own.Owner, other.Librarian.Heads()[jobID].Owner)

		other.SetMembers(map[string]bool{other.Owner: true, own.Owner: true}, 1)
	})
}

// The load: a process with many jobs dies, and the others see each other's takeovers
// seconds later. Each job is taken about once.
func TestTakeoversOfManyJobs(t *testing.T) {
	const (
		gateways = 8
		jobs     = 30
	)

	newFleet(t, 1, 0, func(fleet *fleet) {
		fleet.pause = 2 * time.Second
		for number := range gateways {
			fleet.gateways = append(fleet.gateways, fleet.start(fmt.Sprintf("later-%d", number)))
		}

		time.Sleep(5 * time.Second)

		for number := range jobs {
			require.Equal(t, bookkeeper.OK, fleet.submitsJob(0, fmt.Sprintf("job-%d", number), 100))
		}

		fleet.kill(0)

		before := fleet.catalog.Calls("Transact")
		// The lease ends, the lists show it, and each takeover reads a job's records.
		time.Sleep(12 * time.Second)

		owners := map[string]int{}
		for _, head := range fleet.gateways[1].batcher.Librarian.Heads() {
			owners[head.Owner]++
		}

		require.Zero(t, owners[fleet.gateways[0].batcher.Owner], "all jobs have another owner")
		// Without servers nothing but takeovers is written.
		require.LessOrEqual(t, fleet.catalog.Calls("Transact")-before, jobs+jobs/2)
	})
}

// Jobs that name a process which does not work on them, since their writes were
// settled late, are taken up by that process soon, whatever its rank: all others see
// it live.
func TestJobsThatNameThisProcessAreTakenUp(t *testing.T) {
	const jobs = 10

	newFleet(t, 1, 2, func(fleet *fleet) {
		fleet.expectsCompany(40)

		gateway := fleet.gateways[0]
		ledger := bookkeeper.Ledger{Client: gateway.client}
		head := bookkeeper.Head{Owner: gateway.batcher.Owner, Host: host, Total: 1, Submitted: time.Now(), Due: time.Now().Add(18 * time.Second), GiveUp: time.Now().Add(time.Minute)}

		for number := range jobs {
			job := bookkeeper.Job{ID: fmt.Sprintf("job-%d", number), Host: host, Items: []bookkeeper.Item{{ID: itemID(number), Target: "/batch/x"}}}
			_, outcome, err := ledger.Create(context.Background(), job, head)
			require.NoError(t, err)
			require.Equal(t, bookkeeper.OK, outcome)
		}

		time.Sleep(10 * time.Second)

		for number := range jobs {
			require.Equal(t, 1, fleet.listed(fmt.Sprintf("job-%d", number)))
		}
	})
}
