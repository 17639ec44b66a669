package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"limpetrail/kernel"
	"limpetrail/stager"
)

// recoveryTimeout is how long after the last trouble everything has to be whole
// again; the users' platform grants twelve seconds.
const recoveryTimeout = 12 * time.Second

// watchVersions checks that no process goes back to an older configuration.
func (soak *Soak) watchVersions(ctx context.Context) {
	// The newest version of each process, which is a new one after a restart.
	newest := map[*stager.Process]int64{}

	for kernel.Pause(ctx, statusInterval) {
		for number := range gatewayCount {
			process := soak.gateway(number)

			version, known := configurationVersion(ctx, process)
			if !known {
				continue
			}

			if version < newest[process] {
				soak.history.RecordViolation("CONFIG: %s went from version %d back to %d", process.Name, newest[process], version)
			}

			newest[process] = version
		}
	}
}

// configurationVersion asks a process for the version in force.
func configurationVersion(ctx context.Context, process *stager.Process) (int64, bool) {
	ctx, cancel := context.WithTimeout(ctx, statusInterval)
	defer cancel()

	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+process.OperationsAddress+"/v1/status", nil)
	if err != nil {
		return 0, false
	}

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()

	status := struct{ Version int64 }{}
	if json.NewDecoder(response.Body).Decode(&status) != nil {
		return 0, false
	}

	return status.Version, true
}

// check looks at the whole after everything was healed.
func (soak *Soak) check(ctx context.Context) []string {
	broken := soak.checkRecovery(ctx)
	broken = append(broken, soak.checkJobs(ctx)...)

	return append(broken, soak.checkRuns()...)
}

// waitForRecovery waits for a condition up to the time of recovery.
func waitForRecovery(ctx context.Context, condition func() bool) bool {
	until := time.Now().Add(recoveryTimeout)

	for !condition() {
		if time.Now().After(until) || !kernel.Pause(ctx, statusInterval) {
			return false
		}
	}

	return true
}

// checkRecovery asks each gateway for a stream and for the newest configuration.
func (soak *Soak) checkRecovery(ctx context.Context) []string {
	broken := []string{}

	for number := range gatewayCount {
		process, tries := soak.gateway(number), 0

		if !waitForRecovery(ctx, func() bool {
			tries++
			id := fmt.Sprintf("last-%d-%d", number, tries)
			soak.history.RecordRequest(id, false)

			return stager.To(process).Stream(ctx, "/stream/x", id).Body == stager.WholeStream()
		}) {
			broken = append(broken, fmt.Sprintf("RECOVER: %s serves nothing", process.Name))
		}

		if !waitForRecovery(ctx, func() bool {
			version, known := configurationVersion(ctx, process)

			return known && version == soak.version.Load()
		}) {
			broken = append(broken, fmt.Sprintf("CONFIG: %s has not the newest version", process.Name))
		}
	}

	return broken
}

// checkJobs reads all accepted jobs at all gateways: each item is listed once
// and whole.
func (soak *Soak) checkJobs(ctx context.Context) []string {
	broken := []string{}

	for job, items := range soak.history.acceptedItems {
		for number := range gatewayCount {
			caller := stager.To(soak.gateway(number))

			if !waitForRecovery(ctx, func() bool { return soak.readAllResults(ctx, caller, job) >= items }) {
				broken = append(broken, fmt.Sprintf("LOST: %s lists %d of %d items of %s", gatewayName(number), soak.readAllResults(ctx, caller, job), items, job))
			}
		}

		broken = append(broken, soak.checkResults(job, items)...)
	}

	return broken
}

// readAllResults reads a job from the start and returns how many items are listed.
func (soak *Soak) readAllResults(ctx context.Context, caller stager.Caller, job string) int {
	read := 0

	for {
		status, results := caller.ReadResults(ctx, job, read)
		if status != http.StatusOK || len(results) == 0 {
			return read
		}

		soak.history.RecordResults(job, read, results)
		read += len(results)
	}
}

func (soak *Soak) checkResults(job string, items int) []string {
	broken, seen := []string{}, map[string]bool{}

	for _, result := range soak.history.results[job] {
		switch {
		case seen[result.ID]:
			broken = append(broken, "TWICE: "+result.ID+" is listed twice")
		case result.State == "completed" && result.Output != stager.CompleteOutput():
			broken = append(broken, fmt.Sprintf("MIXED: %s has the output %q", result.ID, result.Output))
		}

		seen[result.ID] = true
	}

	if len(seen) > items {
		broken = append(broken, fmt.Sprintf("TWICE: %d results of %d items of %s", len(seen), items, job))
	}

	return broken
}

// checkRuns compares what was sent, refused and unanswered with what ran.
func (soak *Soak) checkRuns() []string {
	broken := []string{}
	runs := map[string]int{}

	for _, server := range soak.Servers {
		for id, count := range server.Runs() {
			runs[id] += count
		}
	}

	for id := range runs {
		// Health checks have no ID.
		if id != "" && !soak.history.sent[id] {
			broken = append(broken, "UNASKED: "+id+" ran and was never sent")
		}
	}

	for _, id := range soak.history.once {
		if runs[id] > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: %s ran %d times", id, runs[id]))
		}
	}

	for _, id := range soak.history.refused {
		if runs[id] > 0 {
			broken = append(broken, "REFUSED: "+id+" was told that it has not run, and ran")
		}
	}

	if soak.PlannedOnly {
		for id, reason := range soak.history.unanswered {
			if runs[id] > 0 {
				broken = append(broken, fmt.Sprintf("LOST: %s ran and got no answer in planned work: %s", id, reason))
			}
		}
	}

	slices.Sort(broken)

	return broken
}
