package verifier

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/checker"
	"limpetrail/driver"
	"limpetrail/emulator"
)

// takeoverTimeout is longer than the leases of a job's owner and of a sidecar's
// items, which are 6 s each in these tests; see startEntry.
const takeoverTimeout = 3 * waitTimeout

// noticeBody returns the request body of one item of noticeLines.
func noticeBody(number int) string {
	return fmt.Sprintf(`{"model":"briefing","max_tokens":3,"messages":[{"role":"user","content":"Notice %d"}]}`, number)
}

// recordResults reads a job's results and records each in the history.
func (client *client) recordResults(history *checker.History, entry, id string, readNumber int) {
	client.t.Helper()

	results := client.get(entry, "/v1/batches/"+id+"/results")
	require.Equal(client.t, http.StatusOK, results.status, results.body)

	for scanner := bufio.NewScanner(strings.NewReader(results.body)); scanner.Scan(); {
		line := struct {
			CustomID string `json:"custom_id"`
		}{}
		require.NoError(client.t, json.Unmarshal(scanner.Bytes(), &line))
		history.Add(checker.Event{Kind: checker.KindItemRead, Job: id, Request: line.CustomID, Text: scanner.Text(), ReadNumber: readNumber})
	}
}

// Each item of a job has exactly one result, although processes or the key-value
// service fail while the job runs.
func TestItemsHaveOneResultWhenProcessesFail(t *testing.T) {
	const items = 400

	for name, fault := range map[string]processFault{
		"the key-value service loses answers":                 {store: emulator.FaultSwitches{DropAnswers: 6}},
		"the key-value service is down temporarily":           {store: emulator.FaultSwitches{Outage: true}},
		"a sidecar is frozen and resumes":                     {signals: map[string]syscall.Signal{"sidecar-1": syscall.SIGSTOP}},
		"an entry is frozen and resumes":                      {signals: map[string]syscall.Signal{"entry-1": syscall.SIGSTOP}},
		"an entry and a sidecar are killed and not restarted": {signals: map[string]syscall.Signal{"entry-1": syscall.SIGKILL, "sidecar-1": syscall.SIGKILL}},
		"an entry is killed and then answers are lost":        {store: emulator.FaultSwitches{DropAnswers: 6}, signals: map[string]syscall.Signal{"entry-1": syscall.SIGKILL}},
	} {
		t.Run(name, func(t *testing.T) {
			// The test mostly waits for leases to expire.
			t.Parallel()

			fleet := newFleet(t, exampleDocument())
			fleet.startSidecar("sidecar-1", "Engine", "briefing")
			fleet.startSidecar("sidecar-2", "Engine", "briefing")
			fleet.startEntry("entry-1")
			fleet.startEntry("entry-2")
			fleet.awaitSidecarsKnown("entry-1", "entry-2")

			for _, sidecar := range []string{"sidecar-1", "sidecar-2"} {
				fleet.setFaults(sidecar+"-backend", emulator.FaultSwitches{Delay: 20 * time.Millisecond})
			}

			client := newClient(fleet, "briefings")
			history := checker.NewHistory()
			job := client.submitJob("entry-1", "entry-2", noticeLines(items))

			for number := range items {
				history.Add(checker.Event{Kind: checker.KindItemAccepted, Job: job.ID, Request: fmt.Sprintf("school-%d", number), Idempotent: true})
			}

			require.Eventually(t, func() bool { return fleet.runningStreams("sidecar-1") > 0 }, waitTimeout, time.Millisecond)
			fault.inject(fleet)
			// The fault lasts as long as these online requests take.
			for range 5 {
				client.postUntil(http.StatusOK, "entry-2", "/v1/completions", loadBody)
			}

			fault.undo(fleet)

			require.Eventually(t, func() bool {
				answer := client.get("entry-2", "/v1/batches/"+job.ID)

				return answer.status == http.StatusOK && decode[batchStatus](t, answer).Status == "completed"
			}, takeoverTimeout, 100*time.Millisecond)

			client.recordResults(history, "entry-2", job.ID, 1)
			client.recordResults(history, "entry-2", job.ID, 2)
			require.Empty(t, checker.Check(history, checker.DefaultBounds()))
			requireCompleteNotices(t, history, items)
		})
	}
}

// runningStreams returns how many streams the sidecar's engine is running.
func (fleet *fleet) runningStreams(sidecar string) int {
	fleet.t.Helper()

	request, err := http.NewRequestWithContext(fleet.t.Context(), http.MethodPost, "http://"+fleet.addresses[sidecar+"-backend"]+driver.PathLoad, strings.NewReader("{}"))
	require.NoError(fleet.t, err)

	response, err := http.DefaultClient.Do(request)
	require.NoError(fleet.t, err)
	defer response.Body.Close()

	load := driver.Load{}
	require.NoError(fleet.t, json.NewDecoder(response.Body).Decode(&load))

	return load.Running
}

// requireCompleteNotices checks that each result has the complete text for its
// item.
func requireCompleteNotices(t *testing.T, history *checker.History, items int) {
	t.Helper()

	texts := map[string]string{}

	for _, event := range history.Events() {
		if event.Kind == checker.KindItemRead {
			texts[event.Request] = event.Text
		}
	}

	for number := range items {
		require.Contains(t, texts[fmt.Sprintf("school-%d", number)], expectedText(noticeBody(number), 3))
	}
}

// A job of orders is cancelled while it runs. The items that the cancelled job had
// started have ended by the time a later job of the same service completes.
func TestNothingStartsOnceACancellationIsAnswered(t *testing.T) {
	orders := func(name string, count int) string {
		lines := strings.Builder{}
		for number := range count {
			fmt.Fprintf(&lines, `{"custom_id":"%s-%d","url":"/v1/services/order/hire","body":{"Depot":%d}}`+"\n", name, number, number)
		}

		return lines.String()
	}

	fleet := newFleet(t, exampleDocument())
	fleet.startSidecar("sidecar-1", "Service", "order")
	fleet.startEntry("entry-1")
	fleet.startEntry("entry-2")

	for _, entry := range []string{"entry-1", "entry-2"} {
		newClient(fleet, "nowhere").postUntil(http.StatusForbidden, entry, "/v1/files", noticeLines(1))
	}

	fleet.setFaults("sidecar-1-backend", emulator.FaultSwitches{Delay: 50 * time.Millisecond})

	client := newClient(fleet, "briefings")
	job := client.submitJob("entry-1", "entry-2", orders("cancelled", 1000))
	startedItems := func() int {
		total := 0

		for id, count := range fleet.runsByRequest("sidecar-1") {
			if strings.HasPrefix(id, job.ID) {
				total += count
			}
		}

		return total
	}

	require.Eventually(t, func() bool { return startedItems() > 0 }, waitTimeout, 10*time.Millisecond)

	answer := client.post("entry-2", "/v1/batches/"+job.ID+"/cancel", "")
	require.Equal(t, http.StatusOK, answer.status, answer.body)
	// The request may be answered while the owner is still ending the job.
	client.awaitStatus("entry-1", job.ID, "cancelled")

	started := startedItems()
	later := client.submitJob("entry-2", "entry-1", orders("later", 20))
	client.awaitStatus("entry-2", later.ID, "completed")

	require.Equal(t, started, startedItems())
	require.Less(t, started, 1000)
	require.Equal(t, started, decode[batchStatus](t, client.get("entry-1", "/v1/batches/"+job.ID)).RequestCounts.Completed)
}
