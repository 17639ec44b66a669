package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/juju/errors"

	"limpetrail/handler"
	"limpetrail/submitter"
)

// maxRefusalBytes limits how much of an error response is shown.
const maxRefusalBytes = 64 << 10

// jobStatus is the part of an entry's answer about a job that the commands use.
type jobStatus struct {
	ID     string    `json:"id"`
	Status string    `json:"status"`
	Counts jobCounts `json:"request_counts"`
	Due    time.Time `json:"Due,omitzero"`
}

type jobCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
	Cancelled int `json:"Cancelled"`
}

// endedItems returns the number of completed, failed and cancelled items.
func (job jobStatus) endedItems() int {
	return job.Counts.Completed + job.Counts.Failed + job.Counts.Cancelled
}

// jobClient calls the batch API of an entry.
type jobClient struct {
	address   string
	workspace string
}

// submit uploads the items and creates a job due at the end of the completion window.
func (client *jobClient) submit(ctx context.Context, items io.Reader, window time.Duration, key string) (jobStatus, error) {
	file := struct {
		ID string `json:"id"`
	}{}
	if err := client.call(ctx, http.MethodPost, "/v1/files", items, "", &file); err != nil {
		return jobStatus{}, errors.Trace(err)
	}

	job := jobStatus{}
	body := fmt.Sprintf(`{"input_file_id":%q,"completion_window":%q}`, file.ID, window)
	err := client.call(ctx, http.MethodPost, "/v1/batches", strings.NewReader(body), key, &job)

	return job, errors.Trace(err)
}

func (client *jobClient) job(ctx context.Context, id string) (jobStatus, error) {
	job := jobStatus{}
	err := client.call(ctx, http.MethodGet, "/v1/batches/"+url.PathEscape(id), http.NoBody, "", &job)

	return job, errors.Trace(err)
}

func (client *jobClient) cancel(ctx context.Context, id string) (jobStatus, error) {
	job := jobStatus{}
	err := client.call(ctx, http.MethodPost, "/v1/batches/"+url.PathEscape(id)+"/cancel", http.NoBody, "", &job)

	return job, errors.Trace(err)
}

func (client *jobClient) list(ctx context.Context) ([]jobStatus, error) {
	answer := struct {
		Data []jobStatus `json:"data"`
	}{}
	err := client.call(ctx, http.MethodGet, "/v1/batches", http.NoBody, "", &answer)

	return answer.Data, errors.Trace(err)
}

func (client *jobClient) results(ctx context.Context, id string, out io.Writer) error {
	response, err := client.send(ctx, http.MethodGet, "/v1/batches/"+url.PathEscape(id)+"/results", http.NoBody, "")
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()

	_, err = io.Copy(out, response.Body)

	return errors.Trace(err)
}

func (client *jobClient) call(ctx context.Context, method, path string, body io.Reader, key string, answer any) error {
	response, err := client.send(ctx, method, path, body, key)
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()

	return errors.Annotate(json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(answer), "reading the answer")
}

// send returns the open response; any status other than 200 is an error.
func (client *jobClient) send(ctx context.Context, method, path string, body io.Reader, key string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+client.address+path, body)
	if err != nil {
		return nil, errors.Trace(err)
	}

	request.Header.Set(handler.WorkspaceHeader, client.workspace)

	if key != "" {
		request.Header.Set(submitter.IdempotencyKeyHeader, key)
	}

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Annotatef(err, "calling entry %s", client.address)
	}

	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()

	detail, _ := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))

	return nil, errors.Errorf("entry answered %s: %s", response.Status, detail)
}
