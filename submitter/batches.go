package submitter

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"limpetrail/editor"
	"limpetrail/handler"
	"limpetrail/recorder"
	"limpetrail/scheduler"
)

const (
	maxRequestBytes  = 1 << 20
	maxKeyBytes      = 512
	maxMetadataBytes = 16 << 10
	cancelPoll       = 100 * time.Millisecond
	defaultWindow    = 24 * time.Hour
)

// submission is the body that creates a job.
type submission struct {
	InputFileID string `json:"input_file_id"`
	Endpoint    string `json:"endpoint"`
	// CompletionWindow is a duration such as 24h.
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
	// Due is an addition to the usual shape: the time itself.
	Due time.Time `json:"Due"`
}

// create makes a job of a file. The same submission lands on the same job.
func (submitter *Submitter) create(writer http.ResponseWriter, request *http.Request, workspace editor.Workspace) error {
	wanted := submission{}

	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxRequestBytes))
	if err := decoder.Decode(&wanted); err != nil {
		return faulty("body", "", "send a JSON object: "+err.Error())
	}

	key := request.Header.Get(IdempotencyKeyHeader)
	if len(key) > maxKeyBytes {
		return faulty("Header "+IdempotencyKeyHeader, key[:shownBytes], "use at most "+strconv.Itoa(maxKeyBytes)+" bytes")
	}

	record, err := submitter.record(request.Context(), wanted, workspace)
	if err != nil {
		return errors.Trace(err)
	}

	if key == "" {
		key = record.Content
	}

	record.ID = scheduler.JobID(workspace.Firm, key)

	ctx, cancel := context.WithTimeout(request.Context(), submitter.Settings.CallLimit)
	defer cancel()

	created, err := submitter.Ledger.Create(ctx, record)
	if err != nil {
		return errors.Trace(err)
	}

	submitter.Recorder.Record(recorder.Event{Part: "submitter", Kind: recorder.KindReceived, JobID: record.ID, Details: []string{"Items=" + strconv.Itoa(record.Items)}})

	return answer(writer, newBatch(created))
}

// content identifies what a submission asks for: the lines rather than the
// file, which a resent submission may have uploaded again.
func (wanted submission) content(file scheduler.File) (string, error) {
	wanted.InputFileID = file.Content
	// Metadata encodes with its names in order.
	encoded, err := json.Marshal(wanted)
	sum := sha256.Sum256(encoded)

	return hex.EncodeToString(sum[:]), errors.Trace(err)
}

// record builds the record of a submission, or refuses it with every fault.
func (submitter *Submitter) record(ctx context.Context, wanted submission, workspace editor.Workspace) (scheduler.Record, error) {
	due, err := submitter.due(wanted)
	if err != nil {
		return scheduler.Record{}, errors.Trace(err)
	}

	if encoded, err := json.Marshal(wanted.Metadata); err != nil || len(encoded) > maxMetadataBytes {
		return scheduler.Record{}, faulty("metadata", "", "use at most "+strconv.Itoa(maxMetadataBytes)+" bytes")
	}

	file, err := submitter.file(ctx, wanted.InputFileID, workspace)
	if errors.Is(err, errors.NotFound) {
		return scheduler.Record{}, faulty("input_file_id", wanted.InputFileID, "upload the file first, to /v1/files")
	}

	if err != nil {
		return scheduler.Record{}, errors.Trace(err)
	}

	if wanted.Endpoint != "" && wanted.Endpoint != file.Endpoint {
		return scheduler.Record{}, faulty("endpoint", wanted.Endpoint, "use the url of the file's lines ("+file.Endpoint+")")
	}

	service, remedy := submitter.service(file.Service, file.Endpoint, workspace)
	if remedy != "" {
		return scheduler.Record{}, faulty("model", file.Service, remedy)
	}

	content, err := wanted.content(file)
	if err != nil {
		return scheduler.Record{}, errors.Trace(err)
	}

	return scheduler.Record{
		Content:    content,
		Firm:       workspace.Firm,
		Workspace:  workspace.Name,
		Service:    service.Name,
		Adapter:    service.Adapter,
		Endpoint:   file.Endpoint,
		Path:       backendPath(file.Endpoint),
		Idempotent: service.Idempotent,
		Plain:      service.Kind == editor.ServiceKindPlain,
		FileID:     file.ID,
		Items:      file.Items,
		Created:    time.Now(),
		Due:        due,
		State:      scheduler.Open,
		Done:       scheduler.NewBitmap(file.Items),
		Metadata:   wanted.Metadata,
	}, nil
}

func (submitter *Submitter) due(wanted submission) (time.Time, error) {
	now := time.Now()
	due := now.Add(defaultWindow)

	if wanted.CompletionWindow != "" {
		window, err := time.ParseDuration(wanted.CompletionWindow)
		if err != nil || window <= 0 {
			return due, faulty("completion_window", wanted.CompletionWindow, "give a time from now on, such as 24h")
		}

		due = now.Add(window)
	}

	if !wanted.Due.IsZero() {
		due = wanted.Due
	}

	if !due.After(now) {
		return due, faulty("Due", due.Format(time.RFC3339), "give a time that is not past")
	}

	if due.Sub(now) > submitter.Settings.MaxDue {
		return due, faulty("Due", due.Format(time.RFC3339), "give a time within "+submitter.Settings.MaxDue.String())
	}

	return due, nil
}

// find reads the job that a request names, if it is the workspace's firm's.
func (submitter *Submitter) find(ctx context.Context, id string, workspace editor.Workspace) (scheduler.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, submitter.Settings.CallLimit)
	defer cancel()

	record, _, err := submitter.Ledger.Job(ctx, id)
	if err == nil && record.Firm != workspace.Firm {
		return record, errors.NotFoundf("job %.80s", id)
	}

	return record, unavailable(err)
}

func (submitter *Submitter) show(writer http.ResponseWriter, request *http.Request, workspace editor.Workspace) error {
	record, err := submitter.find(request.Context(), request.PathValue("id"), workspace)
	if err != nil {
		return errors.Trace(err)
	}

	return answer(writer, newBatch(record))
}

// list names the firm's jobs. It says of each only what the index says.
func (submitter *Submitter) list(writer http.ResponseWriter, request *http.Request, workspace editor.Workspace) error {
	ctx, cancel := context.WithTimeout(request.Context(), submitter.Settings.CallLimit)
	defer cancel()

	entries, err := submitter.Ledger.List(ctx, workspace.Firm)
	if err != nil {
		return errors.Trace(err)
	}

	shown := struct {
		Object string  `json:"object"`
		Data   []batch `json:"data"`
	}{Object: "list", Data: []batch{}}

	for _, entry := range entries {
		status := statuses[scheduler.Open]

		switch {
		case !entry.Ended.IsZero():
			status = "ended"
		case entry.Cancelling:
			status = statuses[scheduler.Cancelling]
		}

		shown.Data = append(shown.Data, batch{ID: entry.ID, Object: "batch", Status: status})
	}

	return answer(writer, shown)
}

// cancel records that no further item starts. It is answered once the job's
// owner has ended the job, or as under way when that takes longer. Without a
// record there is no cancellation, and the answer says so.
func (submitter *Submitter) cancel(writer http.ResponseWriter, request *http.Request, workspace editor.Workspace) error {
	id := request.PathValue("id")
	if _, err := submitter.find(request.Context(), id, workspace); err != nil {
		submitter.Canceller.Tell(request.Context(), id, false)

		return errors.Annotate(err, "the cancellation is not recorded")
	}

	submitter.Canceller.Tell(request.Context(), id, false)

	record, err := submitter.recordCancel(request.Context(), id)
	if err != nil {
		return errors.Annotate(err, "the cancellation may not be recorded; send it again")
	}

	submitter.Canceller.Tell(request.Context(), id, true)
	submitter.Recorder.Record(recorder.Event{Part: "submitter", Kind: recorder.KindCancelled, JobID: id})

	deadline := time.Now().Add(submitter.Settings.CancelWait)
	for pause := cancelPoll; !record.State.Ended() && time.Now().Before(deadline); pause *= 2 {
		time.Sleep(pause)

		if later, err := submitter.find(request.Context(), id, workspace); err == nil {
			record = later
		}
	}

	return answer(writer, newBatch(record))
}

func (submitter *Submitter) recordCancel(ctx context.Context, id string) (scheduler.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, submitter.Settings.CallLimit)
	defer cancel()

	return submitter.Ledger.Cancel(ctx, id)
}

func (submitter *Submitter) results(writer http.ResponseWriter, request *http.Request, workspace editor.Workspace) error {
	return submitter.writeResults(writer, request, request.PathValue("id"), workspace)
}

// writeResults sends the recorded results as JSONL, each with the custom_id of
// its item.
func (submitter *Submitter) writeResults(writer http.ResponseWriter, request *http.Request, id string, workspace editor.Workspace) error {
	record, err := submitter.find(request.Context(), id, workspace)
	if err != nil {
		return errors.Trace(err)
	}

	names, err := submitter.customIDs(request.Context(), record)
	if err != nil {
		return errors.Trace(err)
	}

	begun := false
	encoder := json.NewEncoder(writer)

	err = scheduler.Results(request.Context(), submitter.Bulk, record, func(results []scheduler.Result) error {
		if !begun {
			begun = true

			writer.Header().Set("Content-Type", "application/jsonl")
		}

		for _, result := range results {
			if err := encoder.Encode(newOutput(record, names[result.Index], result)); err != nil {
				return errors.Trace(err)
			}
		}

		return nil
	})
	if err != nil && begun {
		// A connection that ends early tells the caller that results lack.
		panic(http.ErrAbortHandler)
	}

	return errors.Trace(err)
}

// customIDs returns the custom_id of each item.
func (submitter *Submitter) customIDs(ctx context.Context, record scheduler.Record) ([]string, error) {
	limited, cancel := context.WithTimeout(ctx, submitter.Settings.CallLimit)
	defer cancel()

	file, err := submitter.Ledger.File(limited, record.FileID)
	if err != nil {
		return nil, errors.Trace(err)
	}

	names := make([]string, 0, record.Items)
	err = submitter.eachChunk(ctx, file, func(data []byte) error {
		lines, err := scheduler.DecodeLines(bytes.Clone(data))
		for _, line := range lines {
			names = append(names, line.CustomID)
		}

		return errors.Trace(err)
	})

	if err == nil && len(names) < record.Items {
		err = errors.NotFoundf("items of job %s", record.ID)
	}

	return names, errors.Trace(err)
}

// output is one line of the results.
type output struct {
	ID       string    `json:"id"`
	CustomID string    `json:"custom_id"`
	Response *response `json:"response"`
	Error    *failure  `json:"error"`
}

type response struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

type failure struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func newOutput(record scheduler.Record, customID string, result scheduler.Result) output {
	id := record.ID + "." + strconv.Itoa(result.Index)
	line := output{ID: id, CustomID: customID}

	if result.Fate != scheduler.ItemAnswered {
		line.Error = &failure{Code: string(result.Fate), Message: result.Reason}

		return line
	}

	line.Response = &response{StatusCode: result.Status, RequestID: id, Body: result.Body}

	switch {
	case !record.Plain:
		line.Response.StatusCode = http.StatusOK
		line.Response.Body = handler.CompletionBody(record.Endpoint, handler.StoredCompletion{
			ID:           id,
			Model:        record.Service,
			Text:         string(result.Body),
			FinishReason: result.FinishReason,
			PromptTokens: result.PromptTokens,
			Tokens:       result.Tokens,
			Created:      record.Created,
		})
	case !json.Valid(result.Body):
		// A body that is no JSON travels as a text.
		line.Response.Body = encodeText(result.Body)
	}

	return line
}

func encodeText(body []byte) json.RawMessage {
	text, err := json.Marshal(string(body))
	if err != nil {
		panic("submitter: text cannot be encoded: " + err.Error())
	}

	return text
}
