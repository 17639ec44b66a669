package soaker

import (
	"context"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
	"limpetrail/kernel"
)

const (
	// firstDiskLossSeed is the first seed at whose end a holder loses its disk at the moment at which
	// everything else loses power.
	firstDiskLossSeed = 900
	// diskLosses is how often that happens, each time after the system has recovered.
	diskLosses = 3
	// momentTimeout bounds the wait for the moment of a loss.
	momentTimeout = 10 * time.Second
)

// moment is an event after which nothing that was promised may be lost.
type moment int

const (
	// jobAccepted is the acceptance of a job, and resultRead the first read of a result.
	jobAccepted moment = iota
	resultRead
)

// hasDiskLoss reports whether a holder of the seed loses its disk.
func (soak *Soak) hasDiskLoss() bool {
	return soak.Seed >= firstDiskLossSeed && soak.Seed < firstSlowSeed && !soak.PlannedOnly
}

// loseDisks lets a holder lose its disk at the moment at which all other processes and servers lose power,
// right after a job was accepted that only holders have, or a result was read.
func (soak *Soak) loseDisks(ctx context.Context) {
	for number := range diskLosses {
		wanted, outage := moment(soak.random.intN(2)), false
		if number == 0 {
			wanted, outage = jobAccepted, true
		}

		soak.Store.Catalog.Faults.Set(emulator.FaultSwitches{Outage: outage})

		if outage {
			// The gateways notice the outage first, and accept jobs without the store then.
			kernel.Pause(ctx, submitInterval)
		}

		if !soak.awaitMoment(ctx, wanted) {
			soak.T.Logf("loss %d has no such moment", number)
		}

		soak.loseDiskAndPower(ctx)
		soak.Store.Catalog.Faults.Set(emulator.FaultSwitches{})
		kernel.Pause(ctx, recoveryPause)
	}
}

// awaitMoment returns right after the next such moment, or false if there is none for a while.
func (soak *Soak) awaitMoment(ctx context.Context, wanted moment) bool {
	ctx, cancel := context.WithTimeout(ctx, momentTimeout)
	defer cancel()

	soak.history.nextMoment()

	for {
		select {
		case seen := <-soak.history.moments:
			if seen == wanted {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}

// loseDiskAndPower kills all processes and servers at once, removes what one holder has stored, and starts
// all again.
func (soak *Soak) loseDiskAndPower(ctx context.Context) {
	for number := range gatewayCount {
		soak.gatewayLocks[number].Lock()
		defer soak.gatewayLocks[number].Unlock()
		defer soak.disturbances[number].begin()()

		soak.gateway(number).Signal(syscall.SIGKILL)
	}

	for number := range holderCount {
		soak.holderLocks[number].Lock()
		defer soak.holderLocks[number].Unlock()

		soak.holder(number).Signal(syscall.SIGKILL)
	}

	for _, server := range soak.Servers {
		server.Crash()
	}

	kept := 0
	for number := range holderCount {
		<-soak.holder(number).Ended
		kept += soak.countFiles(soak.holder(number).DataFolder)
	}

	lost := soak.holder(soak.random.intN(holderCount))
	soak.emptyFolder(lost.DataFolder)
	soak.T.Logf("%s loses its disk; %d files are on all disks", lost.Name, kept)
	kernel.Pause(ctx, soak.random.durationBetween(0, time.Second))

	for number := range holderCount {
		soak.restartHolder(number) //nolint:contextcheck // Processes last as long as the test.
	}

	for number := range gatewayCount {
		soak.restartGateway(number) //nolint:contextcheck // Processes last as long as the test.
	}
}

// emptyFolder removes what is in a folder.
func (soak *Soak) emptyFolder(path string) {
	entries, err := os.ReadDir(path)
	require.NoError(soak.T, err)

	for _, entry := range entries {
		require.NoError(soak.T, os.RemoveAll(filepath.Join(path, entry.Name())))
	}
}

// countFiles returns how many files a folder has.
func (soak *Soak) countFiles(path string) int {
	count := 0

	require.NoError(soak.T, filepath.WalkDir(path, func(_ string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() {
			count++
		}

		return errors.Trace(err)
	}))

	return count
}

// nextMoment forgets a moment that nobody waited for.
func (history *History) nextMoment() {
	select {
	case <-history.moments:
	default:
	}
}

// tellMoment tells of a moment to the one who waits for it.
func (history *History) tellMoment(seen moment) {
	select {
	case history.moments <- seen:
	default:
	}
}
