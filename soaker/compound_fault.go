package soaker

import (
	"context"
	"fmt"
	"time"

	"limpetrail/deployer"
	"limpetrail/kernel"
)

const (
	// firstCompoundSeed is the first seed that also draws compoundFaults, and whose jobs need a
	// route that the first configuration lacks.
	firstCompoundSeed = 600
	// crashRounds is how often two servers crash in a row, crashPause apart.
	crashRounds = 4
	crashPause  = 300 * time.Millisecond
	// usualValueBytes and the limits in shortValueBytes are the longest values of the store: with
	// the first of them some results fit, with the second none.
	usualValueBytes = 1 << 20
)

// shortValueBytes returns limits that reject some values of a sound system.
func shortValueBytes() []int {
	return []int{5000, 700}
}

// hasCompoundFaults reports whether the seed draws compoundFaults.
func (soak *Soak) hasCompoundFaults() bool {
	return soak.Seed >= firstCompoundSeed
}

// compoundFaults returns faults that need several disturbances at once or in a row.
func compoundFaults() []fault {
	return []fault{(*Soak).handOverToStaleGateway, (*Soak).rejectValues, (*Soak).crashServersInARow, (*Soak).restartUnlistedServer}
}

// handOverToStaleGateway stops a gateway as planned while others do not get the newest
// configuration from the store.
func (soak *Soak) handOverToStaleGateway(ctx context.Context) {
	stale := soak.gateway(soak.random.intN(gatewayCount)).StoreLink
	stale.SetFaults(deployer.LinkFaults{RefuseConnections: true, DropFromTarget: true})
	soak.WriteConfiguration(int(soak.version.Add(1)))
	kernel.Pause(ctx, submitInterval)
	soak.rollGateway(ctx)
	stale.SetFaults(deployer.LinkFaults{})
	stale.ResetConnections()
}

// rejectValues lets the store reject longer values for a while.
func (soak *Soak) rejectValues(ctx context.Context) {
	limits := shortValueBytes()
	soak.Store.Catalog.SetValueBytes(limits[soak.random.intN(len(limits))])
	soak.pauseForFault(ctx)
	soak.Store.Catalog.SetValueBytes(usualValueBytes)
}

// crashServersInARow crashes two servers at a time.
func (soak *Soak) crashServersInARow(ctx context.Context) {
	for range crashRounds {
		first := soak.random.intN(len(soak.Servers))
		soak.Servers[first].Crash()
		soak.Servers[(first+1)%len(soak.Servers)].Crash()

		if !kernel.Pause(ctx, crashPause) {
			return
		}
	}
}

// restartUnlistedServer replaces a server by one with another version under the same ID, which
// crashes before the list shows it.
func (soak *Soak) restartUnlistedServer(ctx context.Context) {
	soak.releaseLock.Lock()
	defer soak.releaseLock.Unlock()

	index := soak.random.intN(len(soak.Servers))
	soak.ReplaceUnlisted(index, versionName(soak.random.intN(versionCount))) //nolint:contextcheck // Servers last as long as the test.
	kernel.Pause(ctx, crashPause)
	soak.ReplaceServer(index, versionName(soak.random.intN(versionCount))) //nolint:contextcheck // See above.
}

// jobPrefix returns the route of a submitter's jobs.
func (soak *Soak) jobPrefix(number int) string {
	if soak.hasCompoundFaults() && number%2 == 0 {
		return "/added/"
	}

	return "/batch/"
}

// checkGivenUp checks that no item was given up: the load ends before any job's give-up time, and
// without answers of 500 no attempt fails.
func (soak *Soak) checkGivenUp() []string {
	violations := []string{}

	if !soak.hasCompoundFaults() {
		return violations
	}

	for job, results := range soak.history.jobResults {
		for _, result := range results {
			if result.State != "completed" {
				violations = append(violations, fmt.Sprintf("MIXED: item %s of job %s is %s", result.ID, job, result.State))
			}
		}
	}

	return violations
}
