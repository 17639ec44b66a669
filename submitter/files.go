package submitter

import (
	"context"
	"io"
	"mime"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"limpetrail/archiver"
	"limpetrail/editor"
	"limpetrail/scheduler"
)

// outputPrefix begins the name of a job's results as a file; the job's ID
// follows.
const outputPrefix = "output-"

// file is a file as callers see it.
type file struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Items     int    `json:"Items"`
}

func newFile(record scheduler.File) file {
	return file{
		ID:        record.ID,
		Object:    "file",
		Bytes:     record.Bytes,
		CreatedAt: record.Created.Unix(),
		Filename:  record.Name,
		Purpose:   "batch",
		Items:     record.Items,
	}
}

// upload takes in a file, as a form like inference clients send it or as the
// plain body.
func (submitter *Submitter) upload(writer http.ResponseWriter, request *http.Request, workspace editor.Workspace) error {
	name, input, err := fileOf(request)
	if err != nil {
		return errors.Trace(err)
	}

	reader := newReader(submitter.Settings, submitter.Bulk, func(service, endpoint string) string {
		_, remedy := submitter.service(service, endpoint, workspace)

		return remedy
	})
	id := scheduler.NewFileID()
	reader.owner = scheduler.FileKey(id)

	if err := reader.read(request.Context(), input); err != nil {
		return errors.Trace(err)
	}

	if len(reader.faults) > 0 {
		return &faultsError{status: http.StatusBadRequest, faults: reader.faults}
	}

	record := reader.file
	record.ID = id
	record.Content = reader.content()
	record.Firm = workspace.Firm
	record.Workspace = workspace.Name
	record.Name = name
	record.Created = time.Now()

	ctx, cancel := context.WithTimeout(request.Context(), submitter.Settings.CallLimit)
	defer cancel()

	if err := submitter.Ledger.CreateFile(ctx, record); err != nil {
		return errors.Trace(err)
	}

	return answer(writer, newFile(record))
}

// fileOf finds the file in a request.
func fileOf(request *http.Request) (string, io.Reader, error) {
	kind, _, _ := mime.ParseMediaType(request.Header.Get("Content-Type"))
	if kind != "multipart/form-data" {
		return "items.jsonl", request.Body, nil
	}

	form, err := request.MultipartReader()
	if err != nil {
		return "", nil, faulty("Header Content-Type", request.Header.Get("Content-Type"), "send a form of parts: "+err.Error())
	}

	for {
		part, err := form.NextPart()
		if err != nil {
			return "", nil, faulty("file", "", "send the lines as a part named file")
		}

		if part.FormName() == "file" {
			return part.FileName(), part, nil
		}
	}
}

func (submitter *Submitter) showFile(writer http.ResponseWriter, request *http.Request, workspace editor.Workspace) error {
	record, err := submitter.findFile(request, workspace)
	if err != nil {
		return errors.Trace(err)
	}

	return answer(writer, newFile(record))
}

// findFile reads the file that a request names, if it is the workspace's
// firm's.
func (submitter *Submitter) findFile(request *http.Request, workspace editor.Workspace) (scheduler.File, error) {
	return submitter.file(request.Context(), request.PathValue("id"), workspace)
}

func (submitter *Submitter) file(ctx context.Context, id string, workspace editor.Workspace) (scheduler.File, error) {
	ctx, cancel := context.WithTimeout(ctx, submitter.Settings.CallLimit)
	defer cancel()

	record, err := submitter.Ledger.File(ctx, id)
	if err == nil && record.Firm != workspace.Firm {
		return record, errors.NotFoundf("file %.80s", id)
	}

	return record, unavailable(err)
}

// fileContent returns the lines of a file, or the results of a job under the
// name that its status gives.
func (submitter *Submitter) fileContent(writer http.ResponseWriter, request *http.Request, workspace editor.Workspace) error {
	if id, found := strings.CutPrefix(request.PathValue("id"), outputPrefix); found {
		return submitter.writeResults(writer, request, id, workspace)
	}

	record, err := submitter.findFile(request, workspace)
	if err != nil {
		return errors.Trace(err)
	}

	writer.Header().Set("Content-Type", "application/jsonl")

	return submitter.eachChunk(request.Context(), record, func(data []byte) error {
		_, err := writer.Write(data)

		return errors.Trace(err)
	})
}

// eachChunk reads the stored lines of a file in order.
func (submitter *Submitter) eachChunk(ctx context.Context, record scheduler.File, yield func(data []byte) error) error {
	if len(record.Segments) == 0 {
		data, err := archiver.Decompress(record.Inline)
		if err != nil {
			return errors.Trace(err)
		}

		return yield(data)
	}

	for _, segment := range record.Segments {
		data, err := submitter.Bulk.Get(ctx, segment.Name, scheduler.FileKey(record.ID))
		if err != nil {
			return errors.Trace(err)
		}

		if err := yield(data); err != nil {
			return errors.Trace(err)
		}
	}

	return nil
}
