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

// batchStatus is what these tests read of a job's status.
type batchStatus struct {
	ID            string `json:"id"`
	Status        string `json:"status"`
	RequestCounts struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

func notices(count int) string {
	lines := strings.Builder{}
	for number := range count {
		fmt.Fprintf(&lines, `{"custom_id":"school-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"briefing","max_tokens":3,"messages":[{"role":"user","content":"Notice %d"}]}}`+"\n", number, number)
	}

	return lines.String()
}

func parse[T any](t *testing.T, answer answer) T {
	t.Helper()
	require.Equal(t, http.StatusOK, answer.status, answer.body)

	var value T

	require.NoError(t, json.Unmarshal([]byte(answer.body), &value))

	return value
}

// submit uploads the lines through one entry and creates the job at another.
func (caller *caller) submit(entry, other, lines string) batchStatus {
	caller.t.Helper()

	file := parse[struct{ ID string }](caller.t, caller.eventually(http.StatusOK, entry, "/v1/files", lines))

	return parse[batchStatus](caller.t, caller.post(other, "/v1/batches", fmt.Sprintf(`{"input_file_id":%q,"completion_window":"1h"}`, file.ID)))
}

func (caller *caller) get(entry, path string) answer {
	caller.t.Helper()

	return caller.do(http.MethodGet, entry, path, "")
}

// untilEnded waits until the job has the status.
func (caller *caller) untilEnded(entry, id, status string) batchStatus {
	caller.t.Helper()

	last := batchStatus{}

	require.Eventually(caller.t, func() bool {
		last = parse[batchStatus](caller.t, caller.get(entry, "/v1/batches/"+id))

		return last.Status == status
	}, patience, 100*time.Millisecond, "job never was %s", status)

	return last
}

func TestBatchJobThroughSeparateProcesses(t *testing.T) {
	fleet := newFleet(t, exampleDocument())
	fleet.sidecar("sidecar-1", "Engine", "briefing")
	fleet.sidecar("sidecar-2", "Engine", "briefing")
	fleet.entry("entry-1")
	fleet.entry("entry-2")

	caller := newCaller(fleet, "briefings")
	broken := `{"custom_id":"broken","url":"/v1/chat/completions","body":{"model":"briefing","prompt":"` + emulator.TextUncompletable + `"}}` + "\n"

	caller.eventually(http.StatusOK, "entry-2", "/v1/files", notices(1))

	job := caller.submit("entry-1", "entry-2", notices(40)+broken)
	again := caller.submit("entry-2", "entry-1", notices(40)+broken)
	require.Equal(t, job.ID, again.ID, "a resent submission is the same job")

	ended := caller.untilEnded("entry-1", job.ID, "completed")
	require.Equal(t, 40, ended.RequestCounts.Completed)
	require.Equal(t, 1, ended.RequestCounts.Failed)

	results := caller.get("entry-2", "/v1/batches/"+job.ID+"/results")
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

func TestBatchJobOfOrdersRunsEachOnce(t *testing.T) {
	fleet := newFleet(t, exampleDocument())
	fleet.sidecar("sidecar-1", "Service", "order")
	fleet.entry("entry-1")
	newCaller(fleet, "nowhere").eventually(http.StatusForbidden, "entry-1", "/v1/files", notices(1))

	lines := strings.Builder{}
	for number := range 20 {
		fmt.Fprintf(&lines, `{"custom_id":"order-%d","url":"/v1/services/order/hire","body":{"Depot":%d}}`+"\n", number, number)
	}

	caller := newCaller(fleet, "briefings")
	job := caller.submit("entry-1", "entry-1", lines.String())
	ended := caller.untilEnded("entry-1", job.ID, "completed")
	require.Equal(t, 20, ended.RequestCounts.Completed)

	response, err := http.Get("http://" + fleet.addresses["sidecar-1-backend"] + "/acts") //nolint:noctx // The stand-in answers at once.
	require.NoError(t, err)
	defer response.Body.Close()

	acts := map[string]int{}
	require.NoError(t, json.NewDecoder(response.Body).Decode(&acts))
	require.Len(t, acts, 20)

	for id, count := range acts {
		require.Equal(t, 1, count, id)
	}
}

// holder starts an entry with a disk in the data centre.
func (fleet *fleet) holder(name, centre string) {
	fleet.t.Helper()

	address, peers := fleet.freeAddress(), fleet.freeAddress()
	fleet.role("entry", name, fmt.Sprintf(`
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
	fleet.list()
}

func TestBulkDataOfAJobOutlivesOneHolder(t *testing.T) {
	fleet := newFleet(t, exampleDocument())
	fleet.sidecar("sidecar-1", "Engine", "briefing")
	fleet.holder("entry-1", "dc1")
	fleet.holder("entry-2", "dc2")

	// Hashes do not compress, so the file is too large for its record.
	lines := strings.Builder{}
	for number := range 2000 {
		fmt.Fprintf(&lines, `{"custom_id":"%d","url":"/v1/completions","body":{"model":"briefing","max_tokens":1,"prompt":"%x"}}`+"\n", number, sha256.Sum256([]byte{byte(number), byte(number >> 8)}))
	}

	caller := newCaller(fleet, "briefings")
	job := caller.submit("entry-1", "entry-2", lines.String())
	ended := caller.untilEnded("entry-2", job.ID, "completed")
	require.Equal(t, 2000, ended.RequestCounts.Completed)

	fleet.signal("entry-1", syscall.SIGKILL)

	results := caller.get("entry-2", "/v1/batches/"+job.ID+"/results")
	require.Equal(t, http.StatusOK, results.status, results.body)
	require.Equal(t, 2000, strings.Count(results.body, "\n"))
}
