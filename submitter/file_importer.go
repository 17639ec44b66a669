package submitter

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"limpetrail/archiver"
	"limpetrail/classifier"
	"limpetrail/scheduler"
)

// maxFaults limits the faults that one refusal lists.
const maxFaults = 20

// maxCustomIDBytes limits the length of a custom_id.
const maxCustomIDBytes = 512

// maxShownValueBytes limits the part of an invalid value that a refusal shows.
const maxShownValueBytes = 80

// fileImporter validates and stores one file line by line. It stores each full
// chunk at once as a segment, so that a large file is never in memory as a whole.
// A refused file leaves segments that no record refers to; they are garbage
// collected.
type fileImporter struct {
	settings     Settings
	segmentStore scheduler.SegmentStore
	// segmentOwner is the key of the file record that will refer to the segments.
	segmentOwner string
	// checkService returns a remedy if the workspace may not call the service at
	// the endpoint, or an empty string.
	checkService func(service, endpoint string) string

	file        scheduler.File
	contentHash hash.Hash
	chunk       bytes.Buffer
	// segmentFirst is the index of the current chunk's first item.
	segmentFirst int
	// linesByCustomID holds the line numbers of the custom_ids so far.
	linesByCustomID map[string]int
	faults          []classifier.Fault
}

func newFileImporter(settings Settings, segmentStore scheduler.SegmentStore, check func(service, endpoint string) string) *fileImporter {
	return &fileImporter{settings: settings, segmentStore: segmentStore, checkService: check, contentHash: sha256.New(), linesByCustomID: map[string]int{}}
}

// importFile imports the whole file. It collects invalid input in faults; an error
// means that the file could not be read or stored.
func (importer *fileImporter) importFile(ctx context.Context, input io.Reader) error {
	scanner := bufio.NewScanner(io.LimitReader(input, importer.settings.MaxFileBytes+1))
	scanner.Buffer(nil, importer.settings.MaxLineBytes)

	number := 0
	for len(importer.faults) < maxFaults && scanner.Scan() {
		number++

		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}

		importer.file.Bytes += int64(len(text)) + 1
		if importer.file.Bytes > importer.settings.MaxFileBytes {
			importer.addFault(number, "", "", "send at most "+strconv.FormatInt(importer.settings.MaxFileBytes, 10)+" bytes in one file")

			return nil
		}

		if err := importer.addLine(ctx, number, text); err != nil {
			return errors.Trace(err)
		}
	}

	switch err := scanner.Err(); {
	case errors.Is(err, bufio.ErrTooLong):
		importer.addFault(number+1, "", "", "send at most "+strconv.Itoa(importer.settings.MaxLineBytes)+" bytes in one line")
	case err != nil:
		return errors.Annotate(err, "reading the file")
	case importer.file.Items == 0 && len(importer.faults) == 0:
		importer.addFault(number, "", "", "send at least one item")
	}

	return errors.Trace(importer.finish(ctx))
}

// addLine validates one line and adds it to the current chunk.
func (importer *fileImporter) addLine(ctx context.Context, number int, text []byte) error {
	line := scheduler.Line{}
	if err := json.Unmarshal(text, &line); err != nil {
		importer.addFault(number, "", string(text), "send one JSON object in each line ("+err.Error()+")")

		return nil //nolint:nilerr // The fault is recorded; reading the file did not fail.
	}

	importer.validate(number, line)

	if importer.file.Items >= importer.settings.MaxItems {
		importer.addFault(number, "", "", "send at most "+strconv.Itoa(importer.settings.MaxItems)+" items in one file")
	}

	if len(importer.faults) > 0 {
		return nil
	}

	importer.file.Items++

	stored, err := json.Marshal(line)
	if err != nil {
		return errors.Trace(err)
	}

	stored = append(stored, '\n')
	importer.contentHash.Write(stored)
	importer.chunk.Write(stored)

	if importer.chunk.Len() < importer.settings.ChunkBytes {
		return nil
	}

	return importer.storeSegment(ctx)
}

// validate records every fault of a line.
func (importer *fileImporter) validate(number int, line scheduler.Line) {
	importer.validateCustomID(number, line)
	importer.validateCall(number, line)
}

// validateCustomID records a missing, too long or duplicate custom_id.
func (importer *fileImporter) validateCustomID(number int, line scheduler.Line) {
	earlier, duplicate := importer.linesByCustomID[line.CustomID]

	switch {
	case line.CustomID == "" || len(line.CustomID) > maxCustomIDBytes:
		importer.addFault(number, "custom_id", line.CustomID, "give each item a custom_id of 1 to "+strconv.Itoa(maxCustomIDBytes)+" bytes")
	case duplicate:
		importer.addFault(number, "custom_id", line.CustomID, "line "+strconv.Itoa(earlier)+" has the same custom_id")
	default:
		importer.linesByCustomID[line.CustomID] = number
	}
}

// validateCall records the faults of a line's method, URL and model. All lines of
// a file must have the same URL and model.
func (importer *fileImporter) validateCall(number int, line scheduler.Line) {
	if line.Method != "" && line.Method != http.MethodPost {
		importer.addFault(number, "method", line.Method, "use POST")
	}

	service := lineService(line)

	switch {
	case !strings.HasPrefix(line.URL, "/") || slices.Contains(strings.Split(line.URL, "/"), ".."):
		importer.addFault(number, "url", line.URL, "name a path, for example /v1/chat/completions")
	case importer.file.Endpoint == "":
		importer.file.Endpoint = line.URL
	case line.URL != importer.file.Endpoint:
		importer.addFault(number, "url", line.URL, "use the same url in all lines ("+importer.file.Endpoint+")")
	}

	if importer.file.Service == "" || service != importer.file.Service {
		if remedy := importer.checkService(service, line.URL); remedy != "" {
			importer.addFault(number, "body.model", service, remedy)

			return
		}
	}

	switch {
	case importer.file.Service == "":
		importer.file.Service = service
	case service != importer.file.Service:
		importer.addFault(number, "body.model", service, "use the same model in all lines ("+importer.file.Service+")")
	}
}

// lineService returns the service that a line calls: the one in its URL for a
// plain service, or else its model.
func lineService(line scheduler.Line) string {
	if rest, found := strings.CutPrefix(line.URL, PlainPrefix); found {
		name, _, _ := strings.Cut(rest, "/")

		return name
	}

	body := struct {
		Model string `json:"model"`
	}{}
	// A body that is not a JSON object has no model.
	_ = json.Unmarshal(line.Body, &body)

	return body.Model
}

// addFault records a fault of a line, or of one of its fields.
func (importer *fileImporter) addFault(number int, field, value, remedy string) {
	if len(value) > maxShownValueBytes {
		value = value[:maxShownValueBytes]
	}

	name := "Line " + strconv.Itoa(number)
	if field != "" {
		name += ", " + field
	}

	importer.faults = append(importer.faults, classifier.Fault{Field: name, Value: value, Remedy: remedy})
}

// storeSegment stores the current chunk as a segment.
func (importer *fileImporter) storeSegment(ctx context.Context) error {
	name, err := importer.segmentStore.Put(ctx, importer.segmentOwner, importer.chunk.Bytes())
	if err != nil {
		return &storageError{cause: err}
	}

	importer.file.Segments = append(importer.file.Segments, scheduler.Segment{
		Name: name, First: importer.segmentFirst, Items: importer.file.Items - importer.segmentFirst,
	})
	importer.segmentFirst = importer.file.Items
	importer.chunk.Reset()

	return nil
}

// finish stores the remaining lines, within the record itself if the file is small.
func (importer *fileImporter) finish(ctx context.Context) error {
	if len(importer.faults) > 0 {
		return nil
	}

	if len(importer.file.Segments) == 0 {
		inline := archiver.Compress(importer.chunk.Bytes())
		if len(inline) <= importer.settings.InlineBytes {
			importer.file.Inline = inline

			return nil
		}
	}

	if importer.chunk.Len() == 0 {
		return nil
	}

	return importer.storeSegment(ctx)
}

// contentID returns a hash that identifies the lines that were read.
func (importer *fileImporter) contentID() string {
	return hex.EncodeToString(importer.contentHash.Sum(nil))
}
