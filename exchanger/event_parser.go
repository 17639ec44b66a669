package exchanger

import (
	"bytes"
	"strconv"

	"github.com/juju/errors"
)

// maxWriteBytes is the longest part that callers write at once. It is allowed in
// addition to the event limit, so that several complete events in one part do not count
// as a single long one.
const maxWriteBytes = 4 << 10

// Event is one server-sent event (HTML standard).
type Event struct {
	// ID is the event's number, or -1 if it has none.
	ID int
	// Data holds the values of the data lines, joined by line feeds.
	Data []byte
	// Comment is true if the event has only comment lines, which keep the connection open.
	Comment bool
	// Raw is the event as received, including the empty line that ends it.
	Raw []byte
}

// EventParser parses a stream into complete events.
type EventParser struct {
	// limit is the most bytes of an incomplete event.
	limit   int
	pending []byte
}

// NewEventParser returns a parser for events of at most so many bytes.
func NewEventParser(limit int) *EventParser {
	return &EventParser{limit: limit}
}

// Write adds a part of the stream. Call Next until it returns no event before writing
// the next part: complete events that it has not returned yet count towards the limit.
func (parser *EventParser) Write(part []byte) error {
	if len(parser.pending)+len(part) > parser.limit+maxWriteBytes {
		return errors.Annotatef(ErrLimitExceeded, "event of over %d bytes", parser.limit)
	}

	parser.pending = append(parser.pending, part...)

	return nil
}

// Next returns the next complete event. Its bytes are valid until the next Write.
func (parser *EventParser) Next() (Event, bool) {
	end, length := blankLine(parser.pending)
	if end < 0 {
		return Event{}, false
	}

	raw := parser.pending[:end+length]
	parser.pending = parser.pending[end+length:]

	return parseEvent(raw), true
}

// AtEventBoundary reports whether no part of an incomplete event is pending.
func (parser *EventParser) AtEventBoundary() bool {
	return len(parser.pending) == 0
}

// blankLine returns the index of the line ending before the first empty line, and the
// length of both line endings.
func blankLine(text []byte) (int, int) {
	lineFeeds := bytes.Index(text, []byte("\n\n"))
	carriageReturns := bytes.Index(text, []byte("\r\n\r\n"))

	if carriageReturns >= 0 && (lineFeeds < 0 || carriageReturns < lineFeeds) {
		return carriageReturns, len("\r\n\r\n")
	}

	return lineFeeds, len("\n\n")
}

func parseEvent(raw []byte) Event {
	event := Event{ID: -1, Raw: raw, Comment: true}
	dataLines := 0

	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		name, value, _ := bytes.Cut(bytes.TrimSuffix(line, []byte("\r")), []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))

		if len(bytes.TrimSuffix(line, []byte("\r"))) > 0 && len(name) > 0 {
			event.Comment = false
		}

		switch string(name) {
		case "id":
			if id, err := strconv.Atoi(string(value)); err == nil {
				event.ID = id
			}
		case "data":
			if dataLines > 0 {
				event.Data = append(event.Data, '\n')
			}

			event.Data = append(event.Data, value...)
			dataLines++
		}
	}

	return event
}
