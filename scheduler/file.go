package scheduler

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// File is an uploaded list of items in the key-value service. It never changes.
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
	// Content identifies the lines.
	Content string
	// Segments hold the lines in order; empty when Inline holds them.
	Segments []Segment `json:",omitempty"`
	// Inline is the compressed lines of a small file.
	Inline []byte `json:",omitempty"`
}

// Line is one line of a file.
type Line struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// Segment returns the segment that holds the item.
func (file File) Segment(index int) (Segment, error) {
	for _, segment := range file.Segments {
		if index >= segment.First && index < segment.First+segment.Items {
			return segment, nil
		}
	}

	return Segment{}, errors.NotFoundf("item %d of %s", index, file.ID)
}
