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

// maxFaults bounds the faults that one refusal lists.
const maxFaults = 20

// maxCustomIDBytes bounds a custom_id.
const maxCustomIDBytes = 512

// shownBytes bounds the part of a bad value that a refusal shows.
const shownBytes = 80

// reader takes in one file line by line. Full chunks are stored as they come,
// so that a large file is never in memory whole; a refused file leaves
// segments that no record names, which are collected.
type reader struct {
	settings Settings
	bulk     scheduler.Bulk
	// owner is the key of the record that is going to name the segments.
	owner string
	// check returns the faults of a line's service, by its name.
	check func(service, endpoint string) string

	file   scheduler.File
	sum    hash.Hash
	chunk  bytes.Buffer
	first  int
	ids    map[string]int
	faults []classifier.Fault
}

func newReader(settings Settings, bulk scheduler.Bulk, check func(service, endpoint string) string) *reader {
	return &reader{settings: settings, bulk: bulk, check: check, sum: sha256.New(), ids: map[string]int{}}
}

// read takes in the whole file. Faults of the input are in faults; an error
// means that it could not be read or stored.
func (reader *reader) read(ctx context.Context, input io.Reader) error {
	scanner := bufio.NewScanner(io.LimitReader(input, reader.settings.MaxFileBytes+1))
	scanner.Buffer(nil, reader.settings.MaxLineBytes)

	number := 0
	for len(reader.faults) < maxFaults && scanner.Scan() {
		number++

		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}

		reader.file.Bytes += int64(len(text)) + 1
		if reader.file.Bytes > reader.settings.MaxFileBytes {
			reader.fault(number, "", "", "send at most "+strconv.FormatInt(reader.settings.MaxFileBytes, 10)+" bytes in one file")

			return nil
		}

		if err := reader.line(ctx, number, text); err != nil {
			return errors.Trace(err)
		}
	}

	switch err := scanner.Err(); {
	case errors.Is(err, bufio.ErrTooLong):
		reader.fault(number+1, "", "", "send at most "+strconv.Itoa(reader.settings.MaxLineBytes)+" bytes in one line")
	case err != nil:
		return errors.Annotate(err, "reading the file")
	case reader.file.Items == 0 && len(reader.faults) == 0:
		reader.fault(number, "", "", "send at least one item")
	}

	return errors.Trace(reader.finish(ctx))
}

// line takes in one line, or notes its faults.
func (reader *reader) line(ctx context.Context, number int, text []byte) error {
	line := scheduler.Line{}
	if err := json.Unmarshal(text, &line); err != nil {
		reader.fault(number, "", string(text), "send one JSON object in each line ("+err.Error()+")")

		return nil //nolint:nilerr // The fault is noted; the file was read all the same.
	}

	reader.validate(number, line)

	if reader.file.Items >= reader.settings.MaxItems {
		reader.fault(number, "", "", "send at most "+strconv.Itoa(reader.settings.MaxItems)+" items in one file")
	}

	if len(reader.faults) > 0 {
		return nil
	}

	reader.file.Items++

	stored, err := json.Marshal(line)
	if err != nil {
		return errors.Trace(err)
	}

	stored = append(stored, '\n')
	reader.sum.Write(stored)
	reader.chunk.Write(stored)

	if reader.chunk.Len() < reader.settings.ChunkBytes {
		return nil
	}

	return reader.cut(ctx)
}

// validate notes every fault of a line.
func (reader *reader) validate(number int, line scheduler.Line) {
	reader.validateID(number, line)
	reader.validateCall(number, line)
}

// validateID notes a missing or doubled custom_id.
func (reader *reader) validateID(number int, line scheduler.Line) {
	earlier, doubled := reader.ids[line.CustomID]

	switch {
	case line.CustomID == "" || len(line.CustomID) > maxCustomIDBytes:
		reader.fault(number, "custom_id", line.CustomID, "give each item a custom_id of 1 to "+strconv.Itoa(maxCustomIDBytes)+" bytes")
	case doubled:
		reader.fault(number, "custom_id", line.CustomID, "line "+strconv.Itoa(earlier)+" has the same custom_id")
	default:
		reader.ids[line.CustomID] = number
	}
}

// validateCall notes the faults of what a line calls.
func (reader *reader) validateCall(number int, line scheduler.Line) {
	if line.Method != "" && line.Method != http.MethodPost {
		reader.fault(number, "method", line.Method, "use POST")
	}

	service := serviceOf(line)

	switch {
	case !strings.HasPrefix(line.URL, "/") || slices.Contains(strings.Split(line.URL, "/"), ".."):
		reader.fault(number, "url", line.URL, "name a path, for example /v1/chat/completions")
	case reader.file.Endpoint == "":
		reader.file.Endpoint = line.URL
	case line.URL != reader.file.Endpoint:
		reader.fault(number, "url", line.URL, "use the same url in all lines ("+reader.file.Endpoint+")")
	}

	if reader.file.Service == "" || service != reader.file.Service {
		if remedy := reader.check(service, line.URL); remedy != "" {
			reader.fault(number, "body.model", service, remedy)

			return
		}
	}

	switch {
	case reader.file.Service == "":
		reader.file.Service = service
	case service != reader.file.Service:
		reader.fault(number, "body.model", service, "use the same model in all lines ("+reader.file.Service+")")
	}
}

// serviceOf returns the service that a line calls: that of its path for a
// plain service, or its model.
func serviceOf(line scheduler.Line) string {
	if rest, found := strings.CutPrefix(line.URL, PlainPrefix); found {
		name, _, _ := strings.Cut(rest, "/")

		return name
	}

	body := struct {
		Model string `json:"model"`
	}{}
	// A body that is no JSON object names no model.
	_ = json.Unmarshal(line.Body, &body)

	return body.Model
}

func (reader *reader) fault(number int, field, value, remedy string) {
	if len(value) > shownBytes {
		value = value[:shownBytes]
	}

	name := "Line " + strconv.Itoa(number)
	if field != "" {
		name += ", " + field
	}

	reader.faults = append(reader.faults, classifier.Fault{Field: name, Value: value, Remedy: remedy})
}

// cut stores the lines so far as a segment.
func (reader *reader) cut(ctx context.Context) error {
	name, err := reader.bulk.Put(ctx, reader.owner, reader.chunk.Bytes())
	if err != nil {
		return &storageError{cause: err}
	}

	reader.file.Segments = append(reader.file.Segments, scheduler.Segment{
		Name: name, First: reader.first, Items: reader.file.Items - reader.first,
	})
	reader.first = reader.file.Items
	reader.chunk.Reset()

	return nil
}

// finish stores the rest: in the record itself where the file is small.
func (reader *reader) finish(ctx context.Context) error {
	if len(reader.faults) > 0 {
		return nil
	}

	if len(reader.file.Segments) == 0 {
		inline := archiver.Compress(reader.chunk.Bytes())
		if len(inline) <= reader.settings.InlineBytes {
			reader.file.Inline = inline

			return nil
		}
	}

	if reader.chunk.Len() == 0 {
		return nil
	}

	return reader.cut(ctx)
}

// content identifies the lines that were read.
func (reader *reader) content() string {
	return hex.EncodeToString(reader.sum.Sum(nil))
}
