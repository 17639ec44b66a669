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

// takeover is past the leases of a job's owner and of a sidecar's items, which
// are 30 s each.
const takeover = 3 * patience

// noticeBody is the body of one item of notices.
func noticeBody(number int) string {
	return fmt.Sprintf(`{"model":"briefing","max_tokens":3,"messages":[{"role":"user","content":"Notice %d"}]}`, number)
}

// read records one reading of a job's results.
func (caller *caller) read(history *checker.History, entry, id string, reading int) {
	caller.t.Helper()

	results := caller.get(entry, "/v1/batches/"+id+"/results")
	require.Equal(caller.t, http.StatusOK, results.status, results.body)

	for scanner := bufio.NewScanner(strings.NewReader(results.body)); scanner.Scan(); {
		line := struct {
			CustomID string `json:"custom_id"`
		}{}
		require.NoError(caller.t, json.Unmarshal(scanner.Bytes(), &line))
		history.Add(checker.Event{Kind: checker.KindItemRead, Job: id, Request: line.CustomID, Text: scanner.Text(), ReadNumber: reading})
	}
}

// Processes and the key-value service fail while a job is under way.
func TestItemsHaveOneResultWhenProcessesFail(t *testing.T) {
	const items = 400

	for name, fault := range map[string]processFault{
		"the key-value service loses answers":          {store: emulator.FaultSwitches{DropAnswers: 6}},
		"the key-value service is down for a while":    {store: emulator.FaultSwitches{Outage: true}},
		"a sidecar is frozen and wakes":                {signals: map[string]syscall.Signal{"sidecar-1": syscall.SIGSTOP}},
		"an entry is frozen and wakes":                 {signals: map[string]syscall.Signal{"entry-1": syscall.SIGSTOP}},
		"an entry and a sidecar are killed for good":   {signals: map[string]syscall.Signal{"entry-1": syscall.SIGKILL, "sidecar-1": syscall.SIGKILL}},
		"an entry is killed and answers are lost then": {store: emulator.FaultSwitches{DropAnswers: 6}, signals: map[string]syscall.Signal{"entry-1": syscall.SIGKILL}},
	} {
		t.Run(name, func(t *testing.T) {
			// Most of the time goes into waiting for leases.
			t.Parallel()

			fleet := newFleet(t, exampleDocument())
			fleet.sidecar("sidecar-1", "Engine", "briefing")
			fleet.sidecar("sidecar-2", "Engine", "briefing")
			fleet.entry("entry-1")
			fleet.entry("entry-2")
			fleet.warm("entry-1", "entry-2")

			for _, sidecar := range []string{"sidecar-1", "sidecar-2"} {
				fleet.faults(sidecar+"-backend", emulator.FaultSwitches{Delay: 20 * time.Millisecond})
			}

			caller := newCaller(fleet, "briefings")
			history := checker.NewHistory()
			job := caller.submit("entry-1", "entry-2", notices(items))

			for number := range items {
				history.Add(checker.Event{Kind: checker.KindItemAccepted, Job: job.ID, Request: fmt.Sprintf("school-%d", number), Idempotent: true})
			}

			require.Eventually(t, func() bool { return fleet.streams("sidecar-1") > 0 }, patience, time.Millisecond)
			fault.bring(fleet)
			// The fault lasts for some online requests.
			for range 5 {
				caller.eventually(http.StatusOK, "entry-2", "/v1/completions", loadBody)
			}

			fault.end(fleet)

			require.Eventually(t, func() bool {
				answer := caller.get("entry-2", "/v1/batches/"+job.ID)

				return answer.status == http.StatusOK && parse[batchStatus](t, answer).Status == "completed"
			}, takeover, 100*time.Millisecond)

			caller.read(history, "entry-2", job.ID, 1)
			caller.read(history, "entry-2", job.ID, 2)
			require.Empty(t, checker.Check(history, checker.DefaultBounds()))
			requireNotices(t, history, items)
		})
	}
}

// streams is how many streams the engine beside the sidecar runs now.
func (fleet *fleet) streams(sidecar string) int {
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

// requireNotices checks that each result is the whole answer to its item.
func requireNotices(t *testing.T, history *checker.History, items int) {
	t.Helper()

	texts := map[string]string{}

	for _, event := range history.Events() {
		if event.Kind == checker.KindItemRead {
			texts[event.Request] = event.Text
		}
	}

	for number := range items {
		require.Contains(t, texts[fmt.Sprintf("school-%d", number)], wanted(noticeBody(number), 3))
	}
}

// A job of orders is cancelled while it runs. What a later job of the same
// service needs is past anything that the cancelled one had under way.
func TestNothingStartsOnceACancellationIsAnswered(t *testing.T) {
	orders := func(name string, count int) string {
		lines := strings.Builder{}
		for number := range count {
			fmt.Fprintf(&lines, `{"custom_id":"%s-%d","url":"/v1/services/order/hire","body":{"Depot":%d}}`+"\n", name, number, number)
		}

		return lines.String()
	}

	fleet := newFleet(t, exampleDocument())
	fleet.sidecar("sidecar-1", "Service", "order")
	fleet.entry("entry-1")
	fleet.entry("entry-2")

	for _, entry := range []string{"entry-1", "entry-2"} {
		newCaller(fleet, "nowhere").eventually(http.StatusForbidden, entry, "/v1/files", notices(1))
	}

	fleet.faults("sidecar-1-backend", emulator.FaultSwitches{Delay: 50 * time.Millisecond})

	caller := newCaller(fleet, "briefings")
	job := caller.submit("entry-1", "entry-2", orders("cancelled", 1000))
	actsOfJob := func() int {
		total := 0

		for id, count := range fleet.actsOf("sidecar-1") {
			if strings.HasPrefix(id, job.ID) {
				total += count
			}
		}

		return total
	}

	require.Eventually(t, func() bool { return actsOfJob() > 0 }, patience, 10*time.Millisecond)

	answer := caller.post("entry-2", "/v1/batches/"+job.ID+"/cancel", "")
	require.Equal(t, http.StatusOK, answer.status, answer.body)
	// The answer may come while the owner still ends the job.
	caller.untilEnded("entry-1", job.ID, "cancelled")

	acted := actsOfJob()
	later := caller.submit("entry-2", "entry-1", orders("later", 20))
	caller.untilEnded("entry-2", later.ID, "completed")

	require.Equal(t, acted, actsOfJob())
	require.Less(t, acted, 1000)
	require.Equal(t, acted, parse[batchStatus](t, caller.get("entry-1", "/v1/batches/"+job.ID)).RequestCounts.Completed)
}
