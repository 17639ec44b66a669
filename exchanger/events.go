package exchanger

import (
	"bytes"
	"strconv"

	"github.com/juju/errors"
)

// maxRead is the most that is written at once, so that several whole events in it
// are not taken for a long one.
const maxRead = 4 << 10

// Event is one event of a stream (HTML standard, server-sent events).
type Event struct {
	// ID is the event's number, or -1 if it has none.
	ID int
	// Data is the lines of data, joined by line feeds.
	Data []byte
	// Raw is the event as it came, with the empty line that ends it.
	Raw []byte
}

// Events cuts a stream into whole events.
type Events struct {
	// limit bounds an event that has not ended.
	limit   int
	pending []byte
}

// NewEvents returns a cutter of streams whose events have at most so many bytes.
func NewEvents(limit int) *Events {
	return &Events{limit: limit}
}

// Write adds bytes of the stream. They count once the whole events before them are
// taken.
func (events *Events) Write(read []byte) error {
	if len(events.pending)+len(read) > events.limit+maxRead {
		return errors.Annotatef(ErrTooLong, "event of over %d bytes", events.limit)
	}

	events.pending = append(events.pending, read...)

	return nil
}

// Next returns the next whole event. Its bytes are valid until the next Write.
func (events *Events) Next() (Event, bool) {
	end, length := blankLine(events.pending)
	if end < 0 {
		return Event{}, false
	}

	raw := events.pending[:end+length]
	events.pending = events.pending[end+length:]

	return parse(raw), true
}

// Empty tells whether the stream stopped between two events.
func (events *Events) Empty() bool {
	return len(events.pending) == 0
}

// blankLine finds the first empty line, and its length with the end of the
// line before it.
func blankLine(text []byte) (int, int) {
	plain := bytes.Index(text, []byte("\n\n"))
	windows := bytes.Index(text, []byte("\r\n\r\n"))

	if windows >= 0 && (plain < 0 || windows < plain) {
		return windows, len("\r\n\r\n")
	}

	return plain, len("\n\n")
}

func parse(raw []byte) Event {
	event := Event{ID: -1, Raw: raw}
	lines := 0

	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		name, value, _ := bytes.Cut(bytes.TrimSuffix(line, []byte("\r")), []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))

		switch string(name) {
		case "id":
			if number, err := strconv.Atoi(string(value)); err == nil {
				event.ID = number
			}
		case "data":
			if lines > 0 {
				event.Data = append(event.Data, '\n')
			}

			event.Data = append(event.Data, value...)
			lines++
		}
	}

	return event
}
