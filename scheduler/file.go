package scheduler

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// File is the record of an uploaded input file, one item a line. It never changes.
type File struct {
	ID        string
	Firm      string
	Workspace string
	Name      string
	Bytes     int64
	Items     int
	// Service and Endpoint are the same for all items.
	Service  string
	Endpoint string
	Created  time.Time
	// Content identifies the content of the lines.
	Content string
	// Segments store the lines in order; empty when Inline stores them.
	Segments []Segment `json:",omitempty"`
	// Inline is the compressed lines of a small file.
	Inline []byte `json:",omitempty"`
}

// Line is one line of a file: the request of one item.
type Line struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// Segment returns the segment that contains the item.
func (file File) Segment(index int) (Segment, error) {
	for _, segment := range file.Segments {
		if index >= segment.First && index < segment.First+segment.Items {
			return segment, nil
		}
	}

	return Segment{}, errors.NotFoundf("item %d of %s", index, file.ID)
}
