package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/juju/errors"

	"limpetrail/editor"
	"limpetrail/emulator"
	"limpetrail/handler"
	"limpetrail/keeper"
	"limpetrail/presenter"
)

// completableItems is how many items of the self-check's job can be completed.
const completableItems = 20

// SelfCheck sends one request of each kind to a fleet and checks the results.
type SelfCheck struct {
	Out   io.Writer
	Fleet *Fleet

	client client
}

// NewSelfCheck returns a self-check of a started fleet.
func NewSelfCheck(out io.Writer, fleet *Fleet) *SelfCheck {
	return &SelfCheck{Out: out, Fleet: fleet, client: client{entries: fleet.Addresses.Entries}}
}

// step is one check of the self-check.
type step struct {
	name string
	run  func(ctx context.Context) (string, error)
}

// Run runs every step and prints its result. The error names the steps that
// failed.
func (check *SelfCheck) Run(ctx context.Context) error {
	failed := []string{}

	for _, step := range []step{
		{"a chat request is answered whole", check.checkChat},
		{"an order sent twice with the same key runs once", check.checkOrder},
		{"a job with an item that can never be completed completes the others", check.checkJob},
		{"a change of configuration is in force at every entry", check.checkConfiguration},
	} {
		result, err := step.run(ctx)
		if err != nil {
			failed = append(failed, step.name)
			result = "FAILED: " + err.Error()
		}

		fmt.Fprintf(check.Out, "%s\n    %s\n", step.name, result)
	}

	if len(failed) > 0 {
		return errors.Errorf("failed checks: %s", strings.Join(failed, "; "))
	}

	return nil
}

// checkChat requests eight tokens from each entry. It retries until the entries
// have discovered the sidecars.
func (check *SelfCheck) checkChat(ctx context.Context) (string, error) {
	last := ""

	for entry := range check.client.entries {
		answer, err := check.client.sendUntil(ctx, call{
			entry:   entry,
			method:  http.MethodPost,
			path:    "/v1/chat/completions",
			headers: workspaceHeaders("briefings"),
			body:    `{"model":"briefing","max_tokens":8,"messages":[{"role":"user","content":"Pollen in Moshi?"}]}`,
		}, func(string) bool { return true })
		if err != nil {
			return "", errors.Trace(err)
		}

		if !strings.Contains(answer, `"completion_tokens":8`) {
			return "", errors.Errorf("response does not have eight tokens: %s", answer)
		}

		last = strings.TrimSpace(answer)
	}

	return last, nil
}

// checkOrder sends the same order with the same idempotency key through both
// entries, and checks that it ran once.
func (check *SelfCheck) checkOrder(ctx context.Context) (string, error) {
	headers := workspaceHeaders("yard")
	headers[handler.IdempotencyKeyHeader] = "crane-monday"
	answers := []string{}

	for entry := range check.client.entries {
		answer, err := check.client.send(ctx, call{
			entry:   entry,
			method:  http.MethodPost,
			path:    "/v1/services/order/book",
			headers: headers,
			body:    `{"Machine":"crane"}`,
		})
		if err != nil {
			return "", errors.Trace(err)
		}

		answers = append(answers, answer)
	}

	if answers[0] != answers[1] {
		return "", errors.Errorf("the entries returned different answers: %v", answers)
	}

	if runs := check.countRuns(); runs != 1 {
		return "", errors.Errorf("order ran %d times instead of once", runs)
	}

	return answers[0], nil
}

// countRuns returns how many orders the plain services have run in total.
func (check *SelfCheck) countRuns() int {
	runs := 0

	for _, service := range check.Fleet.Services {
		for _, count := range service.CallCounts() {
			runs += count
		}
	}

	return runs
}

// checkJob submits a batch job with one item that can never be completed.
func (check *SelfCheck) checkJob(ctx context.Context) (string, error) {
	lines := strings.Builder{}
	for number := range completableItems {
		lines.WriteString(jobLine(fmt.Sprintf("school-%d", number), "Notice"))
	}

	lines.WriteString(jobLine("broken", emulator.TextUncompletable))

	answer, err := check.client.send(ctx, call{method: http.MethodPost, path: "/v1/files", headers: workspaceHeaders("briefings"), body: lines.String()})
	if err != nil {
		return "", errors.Trace(err)
	}

	file, err := decode[struct{ ID string }](answer)
	if err != nil {
		return "", errors.Trace(err)
	}

	answer, err = check.client.send(ctx, call{
		method:  http.MethodPost,
		path:    "/v1/batches",
		headers: workspaceHeaders("briefings"),
		body:    fmt.Sprintf(`{"input_file_id":%q,"completion_window":"1h"}`, file.ID),
	})
	if err != nil {
		return "", errors.Trace(err)
	}

	job, err := decode[struct{ ID string }](answer)
	if err != nil {
		return "", errors.Trace(err)
	}

	return check.awaitJob(ctx, job.ID)
}

// awaitJob waits until the other entry reports the job as completed, and checks its
// counts.
func (check *SelfCheck) awaitJob(ctx context.Context, id string) (string, error) {
	answer, err := check.client.sendUntil(ctx, call{entry: 1, method: http.MethodGet, path: "/v1/batches/" + id, headers: workspaceHeaders("briefings")},
		func(answer string) bool { return strings.Contains(answer, `"status":"completed"`) })
	if err != nil {
		return "", errors.Trace(err)
	}

	status, err := decode[struct {
		Counts struct{ Completed, Failed int } `json:"request_counts"`
	}](answer)
	if err != nil {
		return "", errors.Trace(err)
	}

	if status.Counts.Completed != completableItems || status.Counts.Failed != 1 {
		return "", errors.Errorf("counts %+v", status.Counts)
	}

	return fmt.Sprintf("%d completed, %d failed", status.Counts.Completed, status.Counts.Failed), nil
}

// jobLine returns the JSON line of one item of a job.
func jobLine(id, text string) string {
	return fmt.Sprintf(`{"custom_id":%q,"method":"POST","url":"/v1/completions","body":{"model":"briefing","max_tokens":4,"prompt":%q}}`+"\n", id, text)
}

// checkConfiguration changes a firm's share through one entry and waits until every
// entry uses it.
func (check *SelfCheck) checkConfiguration(ctx context.Context) (string, error) {
	answer, err := check.client.send(ctx, call{method: http.MethodGet, path: presenter.ConfigurationPath})
	if err != nil {
		return "", errors.Trace(err)
	}

	current, err := decode[presenter.Configuration](answer)
	if err != nil {
		return "", errors.Trace(err)
	}

	current.Document.Firms[0].Share = 2

	body, err := json.Marshal(presenter.EditRequest{Revision: current.Revision, Document: *current.Document, Mark: "rehearsal"})
	if err != nil {
		return "", errors.Trace(err)
	}

	answer, err = check.client.send(ctx, call{
		method:  http.MethodPost,
		path:    presenter.ConfigurationPath,
		headers: map[string]string{presenter.OperatorHeader: "ops"},
		body:    string(body),
	})
	if err != nil {
		return "", errors.Trace(err)
	}

	result, err := decode[editor.Result](answer)
	if err != nil {
		return "", errors.Trace(err)
	}

	return check.awaitRevision(ctx, result.Revision)
}

// awaitRevision waits until every entry reports the new share and at least the
// revision.
func (check *SelfCheck) awaitRevision(ctx context.Context, revision keeper.Revision) (string, error) {
	for entry := range check.client.entries {
		_, err := check.client.sendUntil(ctx, call{entry: entry, method: http.MethodGet, path: presenter.ConfigurationPath}, func(answer string) bool {
			shown, err := decode[presenter.Configuration](answer)

			return err == nil && shown.Revision >= revision && shown.Document.Firms[0].Share == 2
		})
		if err != nil {
			return "", errors.Trace(err)
		}
	}

	return fmt.Sprintf("revision %d at %d entries", revision, len(check.client.entries)), nil
}

func workspaceHeaders(name string) map[string]string {
	return map[string]string{handler.WorkspaceHeader: name}
}
