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

// recoveryTime is how long after the last trouble everything has to be whole
// again; the users' platform grants twelve seconds.
const recoveryTime = 12 * time.Second

// watchVersions checks that no process goes back to an older configuration.
func (soak *Soak) watchVersions(ctx context.Context) {
	// The newest version of each process, which is a new one after a restart.
	newest := map[*stager.Process]int64{}

	for kernel.Pause(ctx, statusInterval) {
		for number := range gateways {
			process := soak.gateway(number)

			version, known := versionOf(ctx, process)
			if !known {
				continue
			}

			if version < newest[process] {
				soak.history.Break("CONFIG: %s went from version %d back to %d", process.Name, newest[process], version)
			}

			newest[process] = version
		}
	}
}

// versionOf asks a process for the version in force.
func versionOf(ctx context.Context, process *stager.Process) (int64, bool) {
	ctx, cancel := context.WithTimeout(ctx, statusInterval)
	defer cancel()

	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+process.Operations+"/v1/status", nil)
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

// judge looks at the whole after everything was healed.
func (soak *Soak) judge(ctx context.Context) []string {
	broken := soak.judgeRecovery(ctx)
	broken = append(broken, soak.judgeJobs(ctx)...)

	return append(broken, soak.judgeRuns()...)
}

// within waits for a condition up to the time of recovery.
func within(ctx context.Context, condition func() bool) bool {
	until := time.Now().Add(recoveryTime)

	for !condition() {
		if time.Now().After(until) || !kernel.Pause(ctx, statusInterval) {
			return false
		}
	}

	return true
}

// judgeRecovery asks each gateway for a stream and for the newest configuration.
func (soak *Soak) judgeRecovery(ctx context.Context) []string {
	broken := []string{}

	for number := range gateways {
		process, tries := soak.gateway(number), 0

		if !within(ctx, func() bool {
			tries++
			id := fmt.Sprintf("last-%d-%d", number, tries)
			soak.history.Send(id, false)

			return stager.To(process).Stream(ctx, "/stream/x", id).Body == stager.WholeStream()
		}) {
			broken = append(broken, fmt.Sprintf("RECOVER: %s serves nothing", process.Name))
		}

		if !within(ctx, func() bool {
			version, known := versionOf(ctx, process)

			return known && version == soak.version.Load()
		}) {
			broken = append(broken, fmt.Sprintf("CONFIG: %s has not the newest version", process.Name))
		}
	}

	return broken
}

// judgeJobs reads all accepted jobs at all gateways: each item is listed once
// and whole.
func (soak *Soak) judgeJobs(ctx context.Context) []string {
	broken := []string{}

	for job, items := range soak.history.accepted {
		for number := range gateways {
			caller := stager.To(soak.gateway(number))

			if !within(ctx, func() bool { return soak.readWhole(ctx, caller, job) >= items }) {
				broken = append(broken, fmt.Sprintf("LOST: %s lists %d of %d items of %s", gatewayName(number), soak.readWhole(ctx, caller, job), items, job))
			}
		}

		broken = append(broken, soak.judgeResults(job, items)...)
	}

	return broken
}

// readWhole reads a job from the start and returns how many items are listed.
func (soak *Soak) readWhole(ctx context.Context, caller stager.Caller, job string) int {
	read := 0

	for {
		status, results := caller.Read(ctx, job, read)
		if status != http.StatusOK || len(results) == 0 {
			return read
		}

		soak.history.Read(job, read, results)
		read += len(results)
	}
}

func (soak *Soak) judgeResults(job string, items int) []string {
	broken, seen := []string{}, map[string]bool{}

	for _, result := range soak.history.listed[job] {
		switch {
		case seen[result.ID]:
			broken = append(broken, "TWICE: "+result.ID+" is listed twice")
		case result.State == "completed" && result.Output != stager.WholeOutput():
			broken = append(broken, fmt.Sprintf("MIXED: %s has the output %q", result.ID, result.Output))
		}

		seen[result.ID] = true
	}

	if len(seen) > items {
		broken = append(broken, fmt.Sprintf("TWICE: %d results of %d items of %s", len(seen), items, job))
	}

	return broken
}

// judgeRuns compares what was sent, refused and unanswered with what ran.
func (soak *Soak) judgeRuns() []string {
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

	if soak.Planned {
		for id, reason := range soak.history.unanswered {
			if runs[id] > 0 {
				broken = append(broken, fmt.Sprintf("LOST: %s ran and got no answer in planned work: %s", id, reason))
			}
		}
	}

	slices.Sort(broken)

	return broken
}
