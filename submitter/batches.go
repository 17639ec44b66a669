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
	maxRequestBytes         = 1 << 20
	maxIdempotencyKeyBytes  = 512
	maxMetadataBytes        = 16 << 10
	cancelPollInterval      = 100 * time.Millisecond
	defaultCompletionWindow = 24 * time.Hour
)

// submission is the request body that creates a job.
type submission struct {
	InputFileID string `json:"input_file_id"`
	Endpoint    string `json:"endpoint"`
	// CompletionWindow is a duration such as 24h.
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
	// Due extends the usual format: the deadline as a time. It overrides
	// CompletionWindow.
	Due time.Time `json:"Due"`
}

// createJob creates a job from a file. A resent submission returns the same job.
func (submitter *Submitter) createJob(writer http.ResponseWriter, request *http.Request, workspace editor.Workspace) error {
	requested := submission{}

	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxRequestBytes))
	if err := decoder.Decode(&requested); err != nil {
		return newInvalidInputError("body", "", "send a JSON object: "+err.Error())
	}

	key := request.Header.Get(IdempotencyKeyHeader)
	if len(key) > maxIdempotencyKeyBytes {
		return newInvalidInputError("Header "+IdempotencyKeyHeader, key[:maxShownValueBytes], "use at most "+strconv.Itoa(maxIdempotencyKeyBytes)+" bytes")
	}

	record, err := submitter.buildRecord(request.Context(), requested, workspace)
	if err != nil {
		return errors.Trace(err)
	}

	if key == "" {
		key = record.Content
	}

	record.ID = scheduler.JobID(workspace.Firm, key)

	ctx, cancel := context.WithTimeout(request.Context(), submitter.Settings.CallLimit)
	defer cancel()

	created, err := submitter.Ledger.CreateJob(ctx, record)
	if err != nil {
		return errors.Trace(err)
	}

	submitter.Recorder.Record(recorder.Event{Part: "submitter", Kind: recorder.KindReceived, JobID: record.ID, Details: []string{"Items=" + strconv.Itoa(record.Items)}})

	return writeJSON(writer, newBatch(created))
}

// contentID returns a hash that identifies what is submitted. It covers the file's
// lines rather than its ID, since a resent submission may have uploaded the file
// again.
func (requested submission) contentID(file scheduler.File) (string, error) {
	requested.InputFileID = file.Content
	// Maps are encoded in the order of their keys, so the hash is stable.
	encoded, err := json.Marshal(requested)
	sum := sha256.Sum256(encoded)

	return hex.EncodeToString(sum[:]), errors.Trace(err)
}

// buildRecord validates a submission and builds its job's record.
func (submitter *Submitter) buildRecord(ctx context.Context, requested submission, workspace editor.Workspace) (scheduler.Record, error) {
	due, err := submitter.parseDue(requested)
	if err != nil {
		return scheduler.Record{}, errors.Trace(err)
	}

	if encoded, err := json.Marshal(requested.Metadata); err != nil || len(encoded) > maxMetadataBytes {
		return scheduler.Record{}, newInvalidInputError("metadata", "", "use at most "+strconv.Itoa(maxMetadataBytes)+" bytes")
	}

	file, err := submitter.readFile(ctx, requested.InputFileID, workspace)
	if errors.Is(err, errors.NotFound) {
		return scheduler.Record{}, newInvalidInputError("input_file_id", requested.InputFileID, "upload the file first, to /v1/files")
	}

	if err != nil {
		return scheduler.Record{}, errors.Trace(err)
	}

	if requested.Endpoint != "" && requested.Endpoint != file.Endpoint {
		return scheduler.Record{}, newInvalidInputError("endpoint", requested.Endpoint, "use the url of the file's lines ("+file.Endpoint+")")
	}

	service, remedy := submitter.findService(file.Service, file.Endpoint, workspace)
	if remedy != "" {
		return scheduler.Record{}, newInvalidInputError("model", file.Service, remedy)
	}

	content, err := requested.contentID(file)
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
		Metadata:   requested.Metadata,
	}, nil
}

// parseDue returns the job's deadline.
func (submitter *Submitter) parseDue(requested submission) (time.Time, error) {
	now := time.Now()
	due := now.Add(defaultCompletionWindow)

	if requested.CompletionWindow != "" {
		window, err := time.ParseDuration(requested.CompletionWindow)
		if err != nil || window <= 0 {
			return due, newInvalidInputError("completion_window", requested.CompletionWindow, "give a time from now on, such as 24h")
		}

		due = now.Add(window)
	}

	if !requested.Due.IsZero() {
		due = requested.Due
	}

	if !due.After(now) {
		return due, newInvalidInputError("Due", due.Format(time.RFC3339), "give a time that is not past")
	}

	if due.Sub(now) > submitter.Settings.MaxDue {
		return due, newInvalidInputError("Due", due.Format(time.RFC3339), "give a time within "+submitter.Settings.MaxDue.String())
	}

	return due, nil
}

// findJob reads a job's record. Jobs of other firms are reported as not found.
func (submitter *Submitter) findJob(ctx context.Context, id string, workspace editor.Workspace) (scheduler.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, submitter.Settings.CallLimit)
	defer cancel()

	record, _, err := submitter.Ledger.Job(ctx, id)
	if err == nil && record.Firm != workspace.Firm {
		return record, errors.NotFoundf("job %.80s", id)
	}

	return record, notYetAvailable(err)
}

func (submitter *Submitter) showJob(writer http.ResponseWriter, request *http.Request, workspace editor.Workspace) error {
	record, err := submitter.findJob(request.Context(), request.PathValue("id"), workspace)
	if err != nil {
		return errors.Trace(err)
	}

	return writeJSON(writer, newBatch(record))
}

// listJobs lists the firm's jobs, with only their ID and the status that the index
// holds.
func (submitter *Submitter) listJobs(writer http.ResponseWriter, request *http.Request, workspace editor.Workspace) error {
	ctx, cancel := context.WithTimeout(request.Context(), submitter.Settings.CallLimit)
	defer cancel()

	entries, err := submitter.Ledger.ListJobs(ctx, workspace.Firm)
	if err != nil {
		return errors.Trace(err)
	}

	shown := struct {
		Object string  `json:"object"`
		Data   []batch `json:"data"`
	}{Object: "list", Data: []batch{}}

	for _, entry := range entries {
		status := batchStatuses[scheduler.Open]

		switch {
		case !entry.Ended.IsZero():
			status = "ended"
		case entry.Cancelling:
			status = batchStatuses[scheduler.Cancelling]
		}

		shown.Data = append(shown.Data, batch{ID: entry.ID, Object: "batch", Status: status})
	}

	return writeJSON(writer, shown)
}

// cancelJob records a cancellation, after which no further item starts. It answers
// once the job's owner has ended the job, or with the status cancelling if that
// takes longer than CancelWait. A cancellation that is not recorded has no effect
// other than a short pause of the job, and the answer says so.
func (submitter *Submitter) cancelJob(writer http.ResponseWriter, request *http.Request, workspace editor.Workspace) error {
	id := request.PathValue("id")
	if _, err := submitter.findJob(request.Context(), id, workspace); err != nil {
		submitter.Canceller.NotifyCancel(request.Context(), id, false)

		return errors.Annotate(err, "the cancellation is not recorded")
	}

	submitter.Canceller.NotifyCancel(request.Context(), id, false)

	record, err := submitter.recordCancel(request.Context(), id)
	if err != nil {
		return errors.Annotate(err, "the cancellation may not be recorded; send it again")
	}

	submitter.Canceller.NotifyCancel(request.Context(), id, true)
	submitter.Recorder.Record(recorder.Event{Part: "submitter", Kind: recorder.KindCancelled, JobID: id})

	deadline := time.Now().Add(submitter.Settings.CancelWait)
	for interval := cancelPollInterval; !record.State.Ended() && time.Now().Before(deadline); interval *= 2 {
		time.Sleep(interval)

		if latest, err := submitter.findJob(request.Context(), id, workspace); err == nil {
			record = latest
		}
	}

	return writeJSON(writer, newBatch(record))
}

func (submitter *Submitter) recordCancel(ctx context.Context, id string) (scheduler.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, submitter.Settings.CallLimit)
	defer cancel()

	return submitter.Ledger.RecordCancellation(ctx, id)
}

func (submitter *Submitter) jobResults(writer http.ResponseWriter, request *http.Request, workspace editor.Workspace) error {
	return submitter.writeResults(writer, request, request.PathValue("id"), workspace)
}

// writeResults writes the recorded results as JSONL, each with its item's
// custom_id.
func (submitter *Submitter) writeResults(writer http.ResponseWriter, request *http.Request, id string, workspace editor.Workspace) error {
	record, err := submitter.findJob(request.Context(), id, workspace)
	if err != nil {
		return errors.Trace(err)
	}

	itemIDs, err := submitter.customIDs(request.Context(), record)
	if err != nil {
		return errors.Trace(err)
	}

	started := false
	encoder := json.NewEncoder(writer)

	err = scheduler.ReadResults(request.Context(), submitter.SegmentStore, record, func(results []scheduler.Result) error {
		if !started {
			started = true

			writer.Header().Set("Content-Type", "application/jsonl")
		}

		for _, result := range results {
			if err := encoder.Encode(newOutput(record, itemIDs[result.Index], result)); err != nil {
				return errors.Trace(err)
			}
		}

		return nil
	})
	if err != nil && started {
		// Abort the connection, so that the caller notices the missing results.
		panic(http.ErrAbortHandler)
	}

	return errors.Trace(err)
}

// customIDs returns the custom_id of each item, in the order of the items.
func (submitter *Submitter) customIDs(ctx context.Context, record scheduler.Record) ([]string, error) {
	fileContext, cancel := context.WithTimeout(ctx, submitter.Settings.CallLimit)
	defer cancel()

	file, err := submitter.Ledger.File(fileContext, record.FileID)
	if err != nil {
		return nil, errors.Trace(err)
	}

	itemIDs := make([]string, 0, record.Items)
	err = submitter.eachChunk(ctx, file, func(data []byte) error {
		lines, err := scheduler.DecodeLines(bytes.Clone(data))
		for _, line := range lines {
			itemIDs = append(itemIDs, line.CustomID)
		}

		return errors.Trace(err)
	})

	if err == nil && len(itemIDs) < record.Items {
		err = errors.NotFoundf("items of job %s", record.ID)
	}

	return itemIDs, errors.Trace(err)
}

// output is one line of the results file.
type output struct {
	ID       string          `json:"id"`
	CustomID string          `json:"custom_id"`
	Response *outputResponse `json:"response"`
	Error    *outputError    `json:"error"`
}

type outputResponse struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

type outputError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func newOutput(record scheduler.Record, customID string, result scheduler.Result) output {
	id := record.ID + "." + strconv.Itoa(result.Index)
	line := output{ID: id, CustomID: customID}

	if result.Fate != scheduler.ItemAnswered {
		line.Error = &outputError{Code: string(result.Fate), Message: result.Reason}

		return line
	}

	line.Response = &outputResponse{StatusCode: result.Status, RequestID: id, Body: result.Body}

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
		// A body that is not JSON is sent as a JSON string.
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
