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

// outputPrefix is the prefix of the ID of a job's results file; the job's ID
// follows.
const outputPrefix = "output-"

// file is a file's representation in the API.
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

// upload stores a file. It is sent as a multipart form, as inference clients do, or as
// the plain body.
func (submitter *Submitter) upload(writer http.ResponseWriter, request *http.Request, workspace editor.Workspace) error {
	name, input, err := requestFile(request)
	if err != nil {
		return errors.Trace(err)
	}

	importer := newFileImporter(submitter.Settings, submitter.SegmentStore, func(service, endpoint string) string {
		_, remedy := submitter.findService(service, endpoint, workspace)

		return remedy
	})
	id := scheduler.NewFileID()
	importer.segmentOwner = scheduler.FileKey(id)

	if err := importer.importFile(request.Context(), input); err != nil {
		return errors.Trace(err)
	}

	if len(importer.faults) > 0 {
		return &invalidInputError{status: http.StatusBadRequest, faults: importer.faults}
	}

	record := importer.file
	record.ID = id
	record.Content = importer.contentID()
	record.Firm = workspace.Firm
	record.Workspace = workspace.Name
	record.Name = name
	record.Created = time.Now()

	ctx, cancel := context.WithTimeout(request.Context(), submitter.Settings.CallLimit)
	defer cancel()

	if err := submitter.Ledger.CreateFile(ctx, record); err != nil {
		return errors.Trace(err)
	}

	return writeJSON(writer, newFile(record))
}

// requestFile returns the name and content of the file in a request.
func requestFile(request *http.Request) (string, io.Reader, error) {
	kind, _, _ := mime.ParseMediaType(request.Header.Get("Content-Type"))
	if kind != "multipart/form-data" {
		return "items.jsonl", request.Body, nil
	}

	form, err := request.MultipartReader()
	if err != nil {
		return "", nil, newInvalidInputError("Header Content-Type", request.Header.Get("Content-Type"), "send a form of parts: "+err.Error())
	}

	for {
		part, err := form.NextPart()
		if err != nil {
			return "", nil, newInvalidInputError("file", "", "send the lines as a part named file")
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

	return writeJSON(writer, newFile(record))
}

// findFile reads the record of the file in the request's path.
func (submitter *Submitter) findFile(request *http.Request, workspace editor.Workspace) (scheduler.File, error) {
	return submitter.readFile(request.Context(), request.PathValue("id"), workspace)
}

// readFile reads a file's record. Files of other firms are reported as not found.
func (submitter *Submitter) readFile(ctx context.Context, id string, workspace editor.Workspace) (scheduler.File, error) {
	ctx, cancel := context.WithTimeout(ctx, submitter.Settings.CallLimit)
	defer cancel()

	record, err := submitter.Ledger.File(ctx, id)
	if err == nil && record.Firm != workspace.Firm {
		return record, errors.NotFoundf("file %.80s", id)
	}

	return record, notYetAvailable(err)
}

// fileContent returns the lines of a file, or the results of a job if the ID is
// that of its output file.
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

// eachChunk calls yield with each stored chunk of a file's lines, in order.
func (submitter *Submitter) eachChunk(ctx context.Context, record scheduler.File, yield func(data []byte) error) error {
	if len(record.Segments) == 0 {
		data, err := archiver.Decompress(record.Inline)
		if err != nil {
			return errors.Trace(err)
		}

		return yield(data)
	}

	for _, segment := range record.Segments {
		data, err := submitter.SegmentStore.Get(ctx, segment.Name, scheduler.FileKey(record.ID))
		if err != nil {
			return errors.Trace(err)
		}

		if err := yield(data); err != nil {
			return errors.Trace(err)
		}
	}

	return nil
}
