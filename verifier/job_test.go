package verifier

import (
	"bufio"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
	"limpetrail/locator"
)

// batchStatus has the fields of a job's status that the tests use.
type batchStatus struct {
	ID            string `json:"id"`
	Status        string `json:"status"`
	RequestCounts struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// noticeLines returns the lines of a job with that many chat requests.
func noticeLines(count int) string {
	lines := strings.Builder{}
	for number := range count {
		fmt.Fprintf(&lines, `{"custom_id":"school-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"briefing","max_tokens":3,"messages":[{"role":"user","content":"Notice %d"}]}}`+"\n", number, number)
	}

	return lines.String()
}

// decode requires status 200 and parses the JSON body.
func decode[T any](t *testing.T, answer answer) T {
	t.Helper()
	require.Equal(t, http.StatusOK, answer.status, answer.body)

	var value T

	require.NoError(t, json.Unmarshal([]byte(answer.body), &value))

	return value
}

// submitJob uploads the lines through one entry and creates the job through another.
func (client *client) submitJob(uploadEntry, submitEntry, lines string) batchStatus {
	client.t.Helper()

	file := decode[struct{ ID string }](client.t, client.postUntil(http.StatusOK, uploadEntry, "/v1/files", lines))

	return decode[batchStatus](client.t, client.post(submitEntry, "/v1/batches", fmt.Sprintf(`{"input_file_id":%q,"completion_window":"1h"}`, file.ID)))
}

func (client *client) get(entry, path string) answer {
	client.t.Helper()

	return client.do(http.MethodGet, entry, path, "")
}

// awaitStatus waits until the entry reports the status for the job.
func (client *client) awaitStatus(entry, id, status string) batchStatus {
	client.t.Helper()

	last := batchStatus{}

	require.Eventually(client.t, func() bool {
		last = decode[batchStatus](client.t, client.get(entry, "/v1/batches/"+id))

		return last.Status == status
	}, waitTimeout, 100*time.Millisecond, "job did not reach status %s", status)

	return last
}

func TestBatchJobThroughSeparateProcesses(t *testing.T) {
	fleet := newFleet(t, exampleDocument())
	fleet.startSidecar("sidecar-1", "Engine", "briefing")
	fleet.startSidecar("sidecar-2", "Engine", "briefing")
	fleet.startEntry("entry-1")
	fleet.startEntry("entry-2")

	client := newClient(fleet, "briefings")
	broken := `{"custom_id":"broken","url":"/v1/chat/completions","body":{"model":"briefing","prompt":"` + emulator.TextUncompletable + `"}}` + "\n"

	client.postUntil(http.StatusOK, "entry-2", "/v1/files", noticeLines(1))

	job := client.submitJob("entry-1", "entry-2", noticeLines(40)+broken)
	resubmitted := client.submitJob("entry-2", "entry-1", noticeLines(40)+broken)
	require.Equal(t, job.ID, resubmitted.ID, "a repeated submission must return the same job")

	finalStatus := client.awaitStatus("entry-1", job.ID, "completed")
	require.Equal(t, 40, finalStatus.RequestCounts.Completed)
	require.Equal(t, 1, finalStatus.RequestCounts.Failed)

	results := client.get("entry-2", "/v1/batches/"+job.ID+"/results")
	require.Equal(t, http.StatusOK, results.status, results.body)

	seen := map[string]bool{}
	scanner := bufio.NewScanner(strings.NewReader(results.body))

	for scanner.Scan() {
		line := struct {
			CustomID string `json:"custom_id"`
		}{}
		require.NoError(t, json.Unmarshal(scanner.Bytes(), &line))
		require.False(t, seen[line.CustomID], "two results for %s", line.CustomID)
		seen[line.CustomID] = true
	}

	require.Len(t, seen, 41)
	require.Contains(t, results.body, emulator.TokenText(emulator.AnswerSeed([]byte(`{"model":"briefing","max_tokens":3,"messages":[{"role":"user","content":"Notice 7"}]}`)), 0))
}

func TestBatchJobRunsEachOrderOnce(t *testing.T) {
	fleet := newFleet(t, exampleDocument())
	fleet.startSidecar("sidecar-1", "Service", "order")
	fleet.startEntry("entry-1")
	newClient(fleet, "nowhere").postUntil(http.StatusForbidden, "entry-1", "/v1/files", noticeLines(1))

	lines := strings.Builder{}
	for number := range 20 {
		fmt.Fprintf(&lines, `{"custom_id":"order-%d","url":"/v1/services/order/hire","body":{"Depot":%d}}`+"\n", number, number)
	}

	client := newClient(fleet, "briefings")
	job := client.submitJob("entry-1", "entry-1", lines.String())
	finalStatus := client.awaitStatus("entry-1", job.ID, "completed")
	require.Equal(t, 20, finalStatus.RequestCounts.Completed)

	response, err := http.Get("http://" + fleet.addresses["sidecar-1-backend"] + "/acts") //nolint:noctx // The stand-in responds immediately.
	require.NoError(t, err)
	defer response.Body.Close()

	runs := map[string]int{}
	require.NoError(t, json.NewDecoder(response.Body).Decode(&runs))
	require.Len(t, runs, 20)

	for id, count := range runs {
		require.Equal(t, 1, count, id)
	}
}

// startEntryWithDisk starts an entry that stores bulk data on its disk, in the data
// centre.
func (fleet *fleet) startEntryWithDisk(name, centre string) {
	fleet.t.Helper()

	address, peers := fleet.freeAddress(), fleet.freeAddress()
	fleet.startRole("entry", name, fmt.Sprintf(`
[Instance]
Name = %s
DataCentre = %s
[Listen]
Callers = %s
Peers = %s
[KeyValue]
Address = %s
[Instances]
Address = %s
[Data]
Folder = %s
`, name, centre, address, peers, fleet.addresses["kv"], fleet.addresses["instances"], fleet.t.TempDir()))
	fleet.addresses[name] = address
	fleet.instances = append(fleet.instances, locator.Instance{Name: name, Address: peers, DataCentre: centre, Entry: true})
	fleet.publishInstances()
}

func TestJobDataSurvivesLossOfOneHolder(t *testing.T) {
	fleet := newFleet(t, exampleDocument())
	fleet.startSidecar("sidecar-1", "Engine", "briefing")
	fleet.startEntryWithDisk("entry-1", "dc1")
	fleet.startEntryWithDisk("entry-2", "dc2")

	// Hashes can't be compressed, so the file is too large to be stored in its
	// record, and is stored as bulk data at the holders.
	lines := strings.Builder{}
	for number := range 2000 {
		fmt.Fprintf(&lines, `{"custom_id":"%d","url":"/v1/completions","body":{"model":"briefing","max_tokens":1,"prompt":"%x"}}`+"\n", number, sha256.Sum256([]byte{byte(number), byte(number >> 8)}))
	}

	client := newClient(fleet, "briefings")
	job := client.submitJob("entry-1", "entry-2", lines.String())
	finalStatus := client.awaitStatus("entry-2", job.ID, "completed")
	require.Equal(t, 2000, finalStatus.RequestCounts.Completed)

	fleet.signal("entry-1", syscall.SIGKILL)

	results := client.get("entry-2", "/v1/batches/"+job.ID+"/results")
	require.Equal(t, http.StatusOK, results.status, results.body)
	require.Equal(t, 2000, strings.Count(results.body, "\n"))
}
