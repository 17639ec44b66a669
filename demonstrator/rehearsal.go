package demonstrator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"limpetrail/handler"
)

const (
	readyPatience = 10 * time.Second
	readyPause    = 20 * time.Millisecond
)

// Rehearsal serves one request of each kind and checks what came of it.
type Rehearsal struct {
	Out   io.Writer
	Fleet *Fleet
}

// NewRehearsal returns a rehearsal at a started fleet.
func NewRehearsal(out io.Writer, fleet *Fleet) *Rehearsal {
	return &Rehearsal{Out: out, Fleet: fleet}
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

func (rehearsal *Rehearsal) chat(ctx context.Context) (string, error) {
	body := `{"model":"briefing","max_tokens":8,"messages":[{"role":"user","content":"Pollen in Moshi?"}]}`

	answer, err := rehearsal.eventually(ctx, "/v1/chat/completions", "briefings", body)
	if err != nil {
		return "", errors.Trace(err)
	}

	if !strings.Contains(answer, `"completion_tokens":8`) {
		return "", errors.Errorf("not eight tokens: %s", answer)
	}

	return strings.TrimSpace(answer), nil
}

// order sends the same order through both entries.
func (rehearsal *Rehearsal) order(ctx context.Context) (string, error) {
	headers := map[string]string{handler.WorkspaceHeader: "yard", handler.IdempotencyKeyHeader: "crane-monday"}
	answers := []string{}

	for entry := range rehearsal.Fleet.Addresses.Entries {
		status, answer, err := rehearsal.post(ctx, entry, "/v1/services/order/book", headers, `{"Machine":"crane"}`)
		if err != nil {
			return "", errors.Trace(err)
		}

		if status != http.StatusOK {
			return "", errors.Errorf("status %d: %s", status, answer)
		}

		answers = append(answers, answer)
	}

	if answers[0] != answers[1] {
		return "", errors.Errorf("two answers: %v", answers)
	}

	acts := 0

	for _, service := range rehearsal.Fleet.Services {
		for _, count := range service.Acts() {
			acts += count
		}
	}

	if acts != 1 {
		return "", errors.Errorf("ran %d times", acts)
	}

	return answers[0], nil
}

// eventually posts until the fleet has found itself and answers.
func (rehearsal *Rehearsal) eventually(ctx context.Context, path, workspace, body string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, readyPatience)
	defer cancel()

	for {
		status, answer, err := rehearsal.post(ctx, 0, path, map[string]string{handler.WorkspaceHeader: workspace}, body)
		if err == nil && status == http.StatusOK {
			return answer, nil
		}

		select {
		case <-time.After(readyPause):
		case <-ctx.Done():
			return "", errors.Errorf("status %d, error %v: %s", status, err, answer)
		}
	}
}

// post sends a body to an entry and returns status and answer.
func (rehearsal *Rehearsal) post(ctx context.Context, entry int, path string, headers map[string]string, body string) (int, string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+rehearsal.Fleet.Addresses.Entries[entry]+path, strings.NewReader(body))
	if err != nil {
		return 0, "", errors.Trace(err)
	}

	request.Header.Set("Content-Type", "application/json")

	for name, value := range headers {
		request.Header.Set(name, value)
	}

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", errors.Trace(err)
	}
	defer response.Body.Close()

	answer, err := io.ReadAll(response.Body)

	return response.StatusCode, string(answer), errors.Trace(err)
}
