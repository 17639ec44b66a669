package soaker

import (
	"context"
	"fmt"
	"strings"
	"time"

	"limpetrail/deployer"
	"limpetrail/emulator"
	"limpetrail/kernel"
)

const (
	// firstVersionSeed is the first seed whose servers have several software versions, are replaced
	// by others, and whose callers take up streams that broke off.
	firstVersionSeed = 500
	// versionCount is how many versions there are.
	versionCount = 3
	// maxTakeUps is how often a caller takes up one stream.
	maxTakeUps = 3
	// takeUpPause is about what callers are told to wait if the servers of the version are away.
	takeUpPause = 500 * time.Millisecond
	// maxJoined streams of two versions are allowed, as the users' platform does.
	maxJoined = 2
)

// hasVersions reports whether the servers of the seed have several software versions.
func (soak *Soak) hasVersions() bool {
	return soak.Seed >= firstVersionSeed
}

func versionName(number int) string {
	return fmt.Sprintf("v%d", number%versionCount+1)
}

// giveSoftware gives a server its first version. Two of three servers have the same.
func (soak *Soak) giveSoftware(index int) {
	soak.ReplaceServer(index, versionName(index%2))
}

// releaseServer replaces a server by one with another version under the same ID. Only one server is
// replaced at a time.
func (soak *Soak) releaseServer(_ context.Context) {
	soak.releaseLock.Lock()
	defer soak.releaseLock.Unlock()

	soak.ReplaceServer(soak.random.intN(len(soak.Servers)), versionName(soak.random.intN(versionCount))) //nolint:contextcheck // Servers last as long as the test.
}

// takeUp takes a stream up that broke off after its first event, at any gateway, a few times.
func (soak *Soak) takeUp(ctx context.Context, caller deployer.Caller, id string, answer deployer.Answer) {
	received := wholeEvents(answer.Body)

	for attempt := range maxTakeUps {
		if answer.Status != 200 || received == "" || deployer.IsCompleteStream(received) {
			return
		}

		again := fmt.Sprintf("%s-again-%d", id, attempt)
		caller.Resumes, caller.LastEvent = id, strings.Count(received, "\n\n")-1

		soak.history.RecordRequest(again, false)
		next := caller.RequestStream(ctx, "/stream/x", again)
		soak.history.recordTakeUp(again, received, next)

		if next.Status != 200 {
			kernel.Pause(ctx, takeUpPause)

			continue
		}

		received += wholeEvents(next.Body)
	}
}

// wholeEvents returns the events of a body without one that broke off.
func wholeEvents(body string) string {
	return body[:strings.LastIndex("\n\n"+body, "\n\n")]
}

// recordTakeUp records the answer to a caller that had received a part of the stream.
func (history *History) recordTakeUp(id, received string, answer deployer.Answer) {
	history.mutex.Lock()
	defer history.mutex.Unlock()

	if meansNotRun(answer.Status) {
		history.takeUps++
		history.refused = append(history.refused, id)

		return
	}

	if answer.Status != 200 {
		return
	}

	history.takeUps++
	history.goneOn++

	if whole := received + wholeEvents(answer.Body); !deployer.BeginsStream(whole) {
		history.joined = append(history.joined, fmt.Sprintf("%s after %q: %q", id, emulator.EventText(strings.Count(received, "\n\n")-1), whole))
	}
}

// checkTakeUps checks that streams which callers took up are of one version.
func (soak *Soak) checkTakeUps() []string {
	soak.T.Logf("%d streams were taken up, %d of them went on", soak.history.takeUps, soak.history.goneOn)

	if len(soak.history.joined) <= maxJoined {
		return nil
	}

	return []string{fmt.Sprintf("ORDER: %d of %d streams that were taken up hold two software versions: %v", len(soak.history.joined), soak.history.goneOn, soak.history.joined)}
}
