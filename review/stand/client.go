package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	host    = "ficu95.example"
	service = "huvo11a"
	// expiry is expiryS of all batch routes.
	expiry = 60 * time.Second
)

// call makes a request on a new channel.
func call(method, url string, header map[string]string, body []byte, timeout time.Duration) (int, []byte, error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	check(err)

	request.Host = host
	for name, value := range header {
		request.Header.Set(name, value)
	}

	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()

	content, err := io.ReadAll(response.Body)

	return response.StatusCode, content, err
}

// job is a batch job of a client.
type job struct {
	id     string
	prefix string
	items  []string
	body   []byte
}

// newJob returns a job with items whose bodies have so many bytes. They share the first part of
// their prompts.
func newJob(id, prefix string, items, bodyBytes int) *job {
	created := &job{id: id, prefix: prefix}
	rows := []any{}

	for number := range items {
		name := fmt.Sprintf("%s%04d", id[:12], number)
		created.items = append(created.items, name)
		rows = append(rows, map[string]any{
			"id": name, "path": prefix + "3/91c4", "body": base64.StdEncoding.EncodeToString(bytes.Repeat([]byte("prompt "), bodyBytes/7)), "tokens": 940,
			"headers": map[string]string{"X-Limpetrail-Model": "m", "X-Limpetrail-Token-Usage": "540,400", "X-Limpetrail-Prompt-Prefix": "9c2e41:300," + name[8:] + ":240"},
		})
	}

	var err error
	created.body, err = json.Marshal(map[string]any{"items": rows})
	check(err)

	return created
}

// submit sends the job to a gateway once.
func (job *job) submit(fleet *fleet, gateway *process) int {
	status, _, err := call(http.MethodPost, "http://"+gateway.callers+job.prefix+job.id[:6], map[string]string{
		"X-Limpetrail-Attempt-Id": job.id, "Content-Type": "application/json", "X-Limpetrail-Deadline-Ms": "4000",
	}, job.body, 4*time.Second)
	fleet.record.line("client: job %s of %d items (%d bytes) to %s: %s", job.id, len(job.items), len(job.body), gateway.name, outcome(status, err))

	return status
}

// result is a row of the job's results.
type result struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
}

// read reads all results of the job from the start. The status is that of the last call.
func (job *job) read(fleet *fleet, gateway *process) ([]result, int) {
	results := []result{}

	for {
		status, content, err := call(http.MethodGet, "http://"+gateway.callers+"/limpetrail/lots/"+job.id+"?after="+strconv.Itoa(len(results)), nil, nil, 2500*time.Millisecond)
		page := struct {
			Total   int      `json:"total"`
			Next    int      `json:"next"`
			Results []result `json:"results"`
		}{}

		if status != http.StatusOK || json.Unmarshal(content, &page) != nil || len(page.Results) == 0 {
			fleet.record.line("client: results of %s from %d at %s: %s, total %d", job.id, len(results), gateway.name, outcome(status, err), page.Total)

			return results, status
		}

		for _, row := range page.Results {
			fleet.record.line("client: result of %s at %s: item %s is %s with %d bytes", job.id, gateway.name, row.ID, row.State, len(row.Output))
		}

		results = append(results, page.Results...)
	}
}

// output is the whole output of an item.
func output(item string) string {
	texts := []string{}
	for number := range eventCount {
		texts = append(texts, eventText(item, number))
	}

	return strings.Join(texts, "\n")
}

func outcome(status int, err error) string {
	if err != nil {
		return "no answer (" + err.Error() + ")"
	}

	return strconv.Itoa(status)
}
