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

// goodItems is how many items of the rehearsal's job can be completed.
const goodItems = 20

// Rehearsal serves one request of each kind and checks what came of it.
type Rehearsal struct {
	Out   io.Writer
	Fleet *Fleet

	caller caller
}

// NewRehearsal returns a rehearsal at a started fleet.
func NewRehearsal(out io.Writer, fleet *Fleet) *Rehearsal {
	return &Rehearsal{Out: out, Fleet: fleet, caller: caller{entries: fleet.Addresses.Entries}}
}

// step is one part of the rehearsal.
type step struct {
	name string
	run  func(ctx context.Context) (string, error)
}

// Run runs every step and prints its result. The error names the steps whose
// result was not as promised.
func (rehearsal *Rehearsal) Run(ctx context.Context) error {
	failed := []string{}

	for _, step := range []step{
		{"a chat request is answered whole", rehearsal.chat},
		{"an order sent twice with the same key runs once", rehearsal.order},
		{"a job with an item that can never be completed completes the others", rehearsal.job},
		{"a change of configuration is in force at every entry", rehearsal.configuration},
	} {
		result, err := step.run(ctx)
		if err != nil {
			failed = append(failed, step.name)
			result = "FAILED: " + err.Error()
		}

		fmt.Fprintf(rehearsal.Out, "%s\n    %s\n", step.name, result)
	}

	if len(failed) > 0 {
		return errors.Errorf("not as promised: %s", strings.Join(failed, "; "))
	}

	return nil
}

// chat asks for eight tokens, at both entries, once the fleet has found itself.
func (rehearsal *Rehearsal) chat(ctx context.Context) (string, error) {
	last := ""

	for entry := range rehearsal.caller.entries {
		answer, err := rehearsal.caller.until(ctx, call{
			entry:   entry,
			method:  http.MethodPost,
			path:    "/v1/chat/completions",
			headers: workspace("briefings"),
			body:    `{"model":"briefing","max_tokens":8,"messages":[{"role":"user","content":"Pollen in Moshi?"}]}`,
		}, func(string) bool { return true })
		if err != nil {
			return "", errors.Trace(err)
		}

		if !strings.Contains(answer, `"completion_tokens":8`) {
			return "", errors.Errorf("not eight tokens: %s", answer)
		}

		last = strings.TrimSpace(answer)
	}

	return last, nil
}

// order sends the same order through both entries.
func (rehearsal *Rehearsal) order(ctx context.Context) (string, error) {
	headers := workspace("yard")
	headers[handler.IdempotencyKeyHeader] = "crane-monday"
	answers := []string{}

	for entry := range rehearsal.caller.entries {
		answer, err := rehearsal.caller.send(ctx, call{
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
		return "", errors.Errorf("two answers: %v", answers)
	}

	if acts := rehearsal.acts(); acts != 1 {
		return "", errors.Errorf("ran %d times", acts)
	}

	return answers[0], nil
}

// acts is how often the plain services acted, all together.
func (rehearsal *Rehearsal) acts() int {
	acts := 0

	for _, service := range rehearsal.Fleet.Services {
		for _, count := range service.CallCounts() {
			acts += count
		}
	}

	return acts
}

// job submits one batch job with an item that can never be completed.
func (rehearsal *Rehearsal) job(ctx context.Context) (string, error) {
	lines := strings.Builder{}
	for number := range goodItems {
		lines.WriteString(item(fmt.Sprintf("school-%d", number), "Notice"))
	}

	lines.WriteString(item("broken", emulator.TextUncompletable))

	answer, err := rehearsal.caller.send(ctx, call{method: http.MethodPost, path: "/v1/files", headers: workspace("briefings"), body: lines.String()})
	if err != nil {
		return "", errors.Trace(err)
	}

	file, err := decode[struct{ ID string }](answer)
	if err != nil {
		return "", errors.Trace(err)
	}

	answer, err = rehearsal.caller.send(ctx, call{
		method:  http.MethodPost,
		path:    "/v1/batches",
		headers: workspace("briefings"),
		body:    fmt.Sprintf(`{"input_file_id":%q,"completion_window":"1h"}`, file.ID),
	})
	if err != nil {
		return "", errors.Trace(err)
	}

	job, err := decode[struct{ ID string }](answer)
	if err != nil {
		return "", errors.Trace(err)
	}

	return rehearsal.counts(ctx, job.ID)
}

// counts waits at the other entry for the job's end and checks its counts.
func (rehearsal *Rehearsal) counts(ctx context.Context, id string) (string, error) {
	answer, err := rehearsal.caller.until(ctx, call{entry: 1, method: http.MethodGet, path: "/v1/batches/" + id, headers: workspace("briefings")},
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

	if status.Counts.Completed != goodItems || status.Counts.Failed != 1 {
		return "", errors.Errorf("counts %+v", status.Counts)
	}

	return fmt.Sprintf("%d completed, %d failed", status.Counts.Completed, status.Counts.Failed), nil
}

// item is one line of a job.
func item(id, text string) string {
	return fmt.Sprintf(`{"custom_id":%q,"method":"POST","url":"/v1/completions","body":{"model":"briefing","max_tokens":4,"prompt":%q}}`+"\n", id, text)
}

// configuration changes a firm's share through one entry.
func (rehearsal *Rehearsal) configuration(ctx context.Context) (string, error) {
	answer, err := rehearsal.caller.send(ctx, call{method: http.MethodGet, path: presenter.ConfigurationPath})
	if err != nil {
		return "", errors.Trace(err)
	}

	read, err := decode[presenter.Configuration](answer)
	if err != nil {
		return "", errors.Trace(err)
	}

	read.Document.Firms[0].Share = 2

	body, err := json.Marshal(presenter.EditRequest{Revision: read.Revision, Document: *read.Document, Mark: "rehearsal"})
	if err != nil {
		return "", errors.Trace(err)
	}

	answer, err = rehearsal.caller.send(ctx, call{
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

	return rehearsal.inForce(ctx, result.Revision)
}

// inForce waits until every entry shows at least the revision.
func (rehearsal *Rehearsal) inForce(ctx context.Context, revision keeper.Revision) (string, error) {
	for entry := range rehearsal.caller.entries {
		_, err := rehearsal.caller.until(ctx, call{entry: entry, method: http.MethodGet, path: presenter.ConfigurationPath}, func(answer string) bool {
			shown, err := decode[presenter.Configuration](answer)

			return err == nil && shown.Revision >= revision && shown.Document.Firms[0].Share == 2
		})
		if err != nil {
			return "", errors.Trace(err)
		}
	}

	return fmt.Sprintf("revision %d at %d entries", revision, len(rehearsal.caller.entries)), nil
}

func workspace(name string) map[string]string {
	return map[string]string{handler.WorkspaceHeader: name}
}
