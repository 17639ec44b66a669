package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"limpetrail/deployer"
	"limpetrail/kernel"
)

// recoveryTimeout is how soon after the last fault the system must work normally
// again; the users' platform allows twelve seconds.
const recoveryTimeout = 12 * time.Second

// watchVersions checks that no gateway process reverts to an older configuration.
func (soak *Soak) watchVersions(ctx context.Context) {
	// A restarted gateway is another process, so its version may be lower.
	newest := map[*deployer.Process]int64{}

	for kernel.Pause(ctx, statusInterval) {
		for number := range gatewayCount {
			process := soak.gateway(number)

			version, ok := configurationVersion(ctx, process)
			if !ok {
				continue
			}

			if version < newest[process] {
				soak.history.RecordViolation("CONFIG: %s reverted from configuration version %d to %d", process.Name, newest[process], version)
			}

			newest[process] = version
		}
	}
}

// configurationVersion asks a process for the configuration version that it uses.
func configurationVersion(ctx context.Context, process *deployer.Process) (int64, bool) {
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

// check returns the violations that are visible after all faults have ended.
func (soak *Soak) check(ctx context.Context) []string {
	violations := soak.checkRecovery(ctx)
	violations = append(violations, soak.checkJobs(ctx)...)
	violations = append(violations, soak.checkDeadlyRuns()...)
	violations = append(violations, soak.checkTakeUps()...)
	violations = append(violations, soak.checkGivenUp()...)
	violations = append(violations, soak.checkMemory()...)
	violations = append(violations, soak.checkLabels()...)

	return append(violations, soak.checkRuns()...)
}

// waitForRecovery waits for a condition for at most recoveryTimeout.
func waitForRecovery(ctx context.Context, condition func() bool) bool {
	deadline := time.Now().Add(recoveryTimeout)

	for !condition() {
		if time.Now().After(deadline) || !kernel.Pause(ctx, statusInterval) {
			return false
		}
	}

	return true
}

// checkRecovery checks that each gateway serves a complete stream and uses the newest
// configuration.
func (soak *Soak) checkRecovery(ctx context.Context) []string {
	violations := []string{}

	for number := range gatewayCount {
		process, attempts := soak.gateway(number), 0

		if !waitForRecovery(ctx, func() bool {
			attempts++
			id := fmt.Sprintf("last-%d-%d", number, attempts)
			soak.history.RecordRequest(id, false)

			caller := soak.newCallerOf(process)
			caller.Parts = soak.newCaller().Parts

			return deployer.IsCompleteStream(caller.RequestStream(ctx, "/stream/x", id).Body)
		}) {
			violations = append(violations, fmt.Sprintf("RECOVER: %s does not serve a complete stream", process.Name))
		}

		if !waitForRecovery(ctx, func() bool {
			version, ok := configurationVersion(ctx, process)

			return ok && version == soak.version.Load()
		}) {
			violations = append(violations, fmt.Sprintf("CONFIG: %s does not use the newest configuration", process.Name))
		}
	}

	return violations
}

// checkJobs reads all accepted jobs from all gateways and checks that each item has
// one complete result.
func (soak *Soak) checkJobs(ctx context.Context) []string {
	violations := []string{}

	for job, items := range soak.history.acceptedItems {
		for number := range gatewayCount {
			caller := soak.newCallerOf(soak.gateway(number))

			if !waitForRecovery(ctx, func() bool { return soak.readAllResults(ctx, caller, job) >= items }) {
				violations = append(violations, fmt.Sprintf("LOST: %s returns %d of %d results of job %s", gatewayName(number), soak.readAllResults(ctx, caller, job), items, job))
			}
		}

		violations = append(violations, soak.checkResults(job, items)...)
	}

	return violations
}

// readAllResults reads the results of a job from the start and returns their number.
func (soak *Soak) readAllResults(ctx context.Context, caller deployer.Caller, job string) int {
	count := 0

	for {
		status, results := caller.ReadResults(ctx, job, count)
		if status != http.StatusOK || len(results) == 0 {
			return count
		}

		soak.history.RecordResults(job, count, results)
		count += len(results)
	}
}

func (soak *Soak) checkResults(job string, items int) []string {
	violations, seen := []string{}, map[string]bool{}

	for _, result := range soak.history.jobResults[job] {
		switch {
		case seen[result.ID]:
			violations = append(violations, "TWICE: "+result.ID+" has two results")
		case result.State == "completed" && !deployer.IsCompleteOutput(result.Output):
			violations = append(violations, fmt.Sprintf("MIXED: item %s has the wrong output %q", result.ID, result.Output))
		}

		seen[result.ID] = true
	}

	if len(seen) > items {
		violations = append(violations, fmt.Sprintf("TWICE: %d results for %d items of job %s", len(seen), items, job))
	}

	return violations
}

// checkRuns compares the requests that ran at backend servers with those that were
// sent, refused or left unanswered.
func (soak *Soak) checkRuns() []string {
	violations := []string{}
	runs := map[string]int{}

	for _, server := range soak.Servers {
		for id, count := range server.RunCounts() {
			runs[id] += count
		}
	}

	for id := range runs {
		// Health checks have no ID.
		if id != "" && !soak.history.sent[id] {
			violations = append(violations, "UNASKED: "+id+" ran but was never sent")
		}
	}

	for _, id := range soak.history.once {
		if runs[id] > 1 {
			violations = append(violations, fmt.Sprintf("TWICE: %s ran %d times", id, runs[id]))
		}
	}

	for _, id := range soak.history.refused {
		if runs[id] > 0 {
			violations = append(violations, "REFUSED: "+id+" ran although its answer said that it has not")
		}
	}

	if soak.PlannedOnly {
		for id, reason := range soak.history.unanswered {
			if runs[id] > 0 {
				violations = append(violations, fmt.Sprintf("LOST: %s ran but got no answer during planned work: %s", id, reason))
			}
		}
	}

	slices.Sort(violations)

	return violations
}
