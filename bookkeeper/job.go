package bookkeeper

import (
	"strings"
	"time"

	"github.com/juju/errors"
)

// Item is one request of a job.
type Item struct {
	ID     string
	Target string
	Header map[string]string
	Body   []byte
}

// Job is many requests that run later.
type Job struct {
	ID    string
	Host  string
	Items []Item
	// Submitted is when the job was first seen here.
	Submitted time.Time
	// Due is when all results are wanted.
	Due time.Time
	// GiveUp is from when items may be given up.
	GiveUp time.Time
	// Owner is the process that works on the job while the service is away, or empty.
	Owner string `json:",omitempty"`
}

// maxID bounds an ID, which becomes part of a key of at most 200 bytes.
const maxID = 64

// Validate tells what is wrong with a job that came from outside, and how to
// mend it.
func (job Job) Validate() error {
	if job.ID == "" || len(job.ID) > maxID {
		return errors.NotValidf("ID of the job: give one of 1 to %d characters; %q", maxID, job.ID)
	}

	if len(job.Items) == 0 {
		return errors.NotValidf("items: give at least one; no item")
	}

	known := map[string]bool{}

	for _, item := range job.Items {
		if item.ID == "" || known[item.ID] {
			return errors.NotValidf("items: give each an ID of its own; item %q", item.ID)
		}

		if !strings.HasPrefix(item.Target, "/") {
			return errors.NotValidf("items: give each a path that begins with a slash; item %q with %q", item.ID, item.Target)
		}

		known[item.ID] = true
	}

	return nil
}
