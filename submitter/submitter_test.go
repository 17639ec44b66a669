package submitter_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"limpetrail/archiver"
	"limpetrail/classifier"
	"limpetrail/editor"
	"limpetrail/emulator"
	"limpetrail/handler"
	"limpetrail/kernel"
	"limpetrail/publisher"
	"limpetrail/scheduler"
	"limpetrail/submitter"
)

// entry serves the routes of batch jobs over an emulated key-value service.
type entry struct {
	t     *testing.T
	mux   *http.ServeMux
	store *emulator.Store
	// notified holds the recorded argument of each NotifyCancel call.
	notified []bool
}

func (entry *entry) NotifyCancel(_ context.Context, _ string, recorded bool) {
	entry.notified = append(entry.notified, recorded)
}

func newEntry(t *testing.T) *entry {
	t.Helper()

	created := &entry{t: t, mux: http.NewServeMux(), store: emulator.NewStore()}
	documentPublisher := publisher.NewPublisher(kernel.NewDiscardCommon("entry-1"), created.store)
	document, err := json.Marshal(editor.Document{
		Firms:      []editor.Firm{{Name: "kilimanjaro"}, {Name: "arusha"}},
		Workspaces: []editor.Workspace{{Name: "notices", Firm: "kilimanjaro"}, {Name: "other", Firm: "arusha"}},
		Services:   []editor.Service{{Name: "briefing", Kind: editor.ServiceKindModel, Idempotent: true}, {Name: "secret", Firm: "arusha"}},
	})
	require.NoError(t, err)

	_, err = documentPublisher.ApplyUpdate(1, document)
	require.NoError(t, err)

	settings := submitter.DefaultSettings()
	settings.MaxItems = 1000
	settings.MaxLineBytes = 1000
	settings.CancelWait = 0

	archive := archiver.NewArchive(kernel.NewDiscardCommon("entry-1"), nil, func() []archiver.Holder { return nil })
	ledger := scheduler.NewLedger(created.store)
	submitter.NewSubmitter(kernel.NewDiscardCommon("entry-1"), ledger, archive, documentPublisher, created, submitter.WithSettings(settings)).Register(created.mux)

	return created
}

func (entry *entry) send(method, path, body, workspace, key string) (int, string) {
	entry.t.Helper()

	request := httptest.NewRequestWithContext(entry.t.Context(), method, path, strings.NewReader(body))
	request.Header.Set(handler.WorkspaceHeader, workspace)
	request.Header.Set(submitter.IdempotencyKeyHeader, key)

	recorder := httptest.NewRecorder()
	entry.mux.ServeHTTP(recorder, request)

	return recorder.Code, recorder.Body.String()
}

// upload sends the lines and returns the file's ID.
func (entry *entry) upload(lines string) string {
	entry.t.Helper()

	status, body := entry.send(http.MethodPost, "/v1/files", lines, "notices", "")
	require.Equal(entry.t, http.StatusOK, status, body)

	file := struct{ ID string }{}
	require.NoError(entry.t, json.Unmarshal([]byte(body), &file))

	return file.ID
}

func line(id, model string) string {
	return fmt.Sprintf(`{"custom_id":%q,"method":"POST","url":"/v1/completions","body":{"model":%q,"prompt":"x"}}`+"\n", id, model)
}

func lines(count int) string {
	text := strings.Builder{}
	for number := range count {
		text.WriteString(line(fmt.Sprint(number), "briefing"))
	}

	return text.String()
}

func TestInvalidFilesAreRefused(t *testing.T) {
	cases := map[string]struct {
		lines, workspace string
		status           int
		// field and remedy are parts of the first fault.
		field, remedy string
	}{
		"broken line in the middle": {lines(500) + "{broken\n" + lines(5), "notices", 400, "Line 501", "JSON object"},
		"empty":                     {"", "notices", 400, "Line 0", "at least one item"},
		"duplicate custom_id":       {lines(3) + line("1", "briefing"), "notices", 400, "Line 4, custom_id", "line 2 has the same"},
		"no custom_id":              {line("", "briefing"), "notices", 400, "Line 1, custom_id", "1 to 512 bytes"},
		"unknown model":             {lines(2) + line("a", "nothing"), "notices", 400, "Line 3, body.model", "kilimanjaro may use"},
		"another firm's model":      {line("a", "secret"), "notices", 400, "Line 1, body.model", "kilimanjaro may use"},
		"wrong method":              {`{"custom_id":"a","method":"GET","url":"/v1/completions","body":{"model":"briefing"}}`, "notices", 400, "Line 1, method", "POST"},
		"no path":                   {`{"custom_id":"a","url":"x","body":{"model":"briefing"}}`, "notices", 400, "Line 1, url", "name a path"},
		"model as a plain service":  {`{"custom_id":"a","url":"/v1/services/briefing/x","body":{}}`, "notices", 400, "Line 1, body.model", "call a model by"},
		"path with dots":            {`{"custom_id":"a","url":"/v1/services/../x","body":{}}`, "notices", 400, "Line 1, url", "name a path"},
		"two paths":                 {line("a", "briefing") + `{"custom_id":"b","url":"/v1/chat/completions","body":{"model":"briefing"}}`, "notices", 400, "Line 2, url", "same url"},
		"too many items":            {lines(1001), "notices", 400, "Line 1001", "at most 1000 items"},
		"line too long":             {line(strings.Repeat("x", 2000), "briefing"), "notices", 400, "Line 1", "at most 1000 bytes"},
		"unknown workspace":         {lines(1), "nowhere", 403, "Header", "workspace of the document"},
	}

	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			entry := newEntry(t)
			status, body := entry.send(http.MethodPost, "/v1/files", test.lines, test.workspace, "")
			require.Equal(t, test.status, status, body)

			problem := classifier.Problem{}
			require.NoError(t, json.Unmarshal([]byte(body), &problem))
			require.Equal(t, classifier.NotRun, problem.Fate)
			require.Contains(t, problem.Faults[0].Field, test.field)
			require.Contains(t, problem.Faults[0].Remedy, test.remedy)
			require.Zero(t, entry.store.CallCounts()["CompareAndSwap"], "nothing is stored")
		})
	}
}

func TestInvalidBatchesAreRefused(t *testing.T) {
	cases := map[string]struct {
		body, workspace string
		status          int
		want            string
	}{
		"no JSON":             {`{`, "notices", 400, "JSON object"},
		"unknown file":        {`{"input_file_id":"file-x"}`, "notices", 400, "upload the file first"},
		"another firm's file": {`{"input_file_id":"FILE"}`, "other", 400, "upload the file first"},
		"past due":            {`{"input_file_id":"FILE","Due":"2001-01-01T00:00:00Z"}`, "notices", 400, "not past"},
		"due too late":        {`{"input_file_id":"FILE","completion_window":"9000h"}`, "notices", 400, "within"},
		"bad window":          {`{"input_file_id":"FILE","completion_window":"soon"}`, "notices", 400, "such as 24h"},
		"wrong endpoint":      {`{"input_file_id":"FILE","endpoint":"/v1/x"}`, "notices", 400, "url of the file's lines"},
	}

	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			entry := newEntry(t)
			id := entry.upload(lines(3))
			status, body := entry.send(http.MethodPost, "/v1/batches", strings.ReplaceAll(test.body, "FILE", id), test.workspace, "")
			require.Equal(t, test.status, status, body)
			require.Contains(t, body, test.want)
		})
	}
}

func TestResentSubmissionReturnsTheSameJob(t *testing.T) {
	for _, key := range []string{"", "morning"} {
		entry := newEntry(t)
		ids := map[string]bool{}

		for range 2 {
			status, body := entry.send(http.MethodPost, "/v1/batches", fmt.Sprintf(`{"input_file_id":%q}`, entry.upload(lines(3))), "notices", key)
			require.Equal(t, http.StatusOK, status, body)

			job := struct{ ID string }{}
			require.NoError(t, json.Unmarshal([]byte(body), &job))
			ids[job.ID] = true
		}

		require.Len(t, ids, 1)

		if key != "" {
			status, body := entry.send(http.MethodPost, "/v1/batches", fmt.Sprintf(`{"input_file_id":%q}`, entry.upload(lines(4))), "notices", key)
			require.Equal(t, http.StatusConflict, status, body)
		}
	}
}

func TestLargeFileWithoutHoldersIsRefused(t *testing.T) {
	entry := newEntry(t)
	text := strings.Builder{}

	for number := range 1000 {
		text.WriteString(line(archiver.SegmentName([]byte{byte(number), byte(number >> 8)})+archiver.SegmentName([]byte{byte(number)})+archiver.SegmentName([]byte{3, byte(number), byte(number >> 8)}), "briefing"))
	}

	status, body := entry.send(http.MethodPost, "/v1/files", text.String(), "notices", "")
	require.Equal(t, http.StatusInsufficientStorage, status, body)
	require.Contains(t, body, "data centres")
}

func TestCancellationThatCannotBeRecordedIsRefused(t *testing.T) {
	entry := newEntry(t)
	_, body := entry.send(http.MethodPost, "/v1/batches", fmt.Sprintf(`{"input_file_id":%q}`, entry.upload(lines(3))), "notices", "")
	job := struct{ ID string }{}
	require.NoError(t, json.Unmarshal([]byte(body), &job))

	entry.store.Faults.Set(emulator.FaultSwitches{Outage: true})

	status, body := entry.send(http.MethodPost, "/v1/batches/"+job.ID+"/cancel", "", "notices", "")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, body, "the cancellation is not recorded")
	require.Equal(t, []bool{false}, entry.notified, "the owner only pauses the job")

	entry.store.Faults.Set(emulator.FaultSwitches{})

	status, body = entry.send(http.MethodPost, "/v1/batches/"+job.ID+"/cancel", "", "notices", "")
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, "cancelling")

	status, _ = entry.send(http.MethodGet, "/v1/batches/"+job.ID, "", "other", "")
	require.Equal(t, http.StatusNotFound, status, "another firm's job")
}
