package bookkeeper

import (
	"net/url"
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

// Job is a batch of requests that run in the background.
type Job struct {
	ID    string
	Host  string
	Items []Item
	// Submitted is when the job was first received.
	Submitted time.Time
	// Due is when all results should be available.
	Due time.Time
	// GiveUp is when unfinished items may be given up.
	GiveUp time.Time
	// Configuration is the version of the configuration by which the job was accepted. It is
	// 0 for jobs that were stored without it.
	Configuration int64 `json:",omitempty"`
	// Workspace is the workspace whose key submitted the job; empty if there was none.
	Workspace string `json:",omitempty"`
	// Owner is the process that runs the job while the key-value service is
	// unavailable. It is empty if none does.
	Owner string `json:",omitempty"`
}

const (
	// maxIDLength is the maximum length of a job's ID.
	maxIDLength = 64
	// maxEscapedIDLength is its maximum length with escapes, as a part of a key of at most
	// 200 bytes.
	maxEscapedIDLength = 160
)

// Validate returns an error if a submitted job is not valid. The error says how to
// correct the job.
func (job Job) Validate() error {
	if job.ID == "" || len(job.ID) > maxIDLength {
		return errors.NotValidf("ID of the job: give one of 1 to %d characters; %q", maxIDLength, job.ID)
	}

	if len(url.QueryEscape(job.ID)) > maxEscapedIDLength {
		return errors.NotValidf("ID of the job: give one of at most %d bytes in URL encoding; %q", maxEscapedIDLength, job.ID)
	}

	if len(job.Items) == 0 {
		return errors.NotValidf("items: give at least one; no item")
	}

	seen := map[string]bool{}

	for _, item := range job.Items {
		if item.ID == "" || seen[item.ID] {
			return errors.NotValidf("items: give each an ID of its own; item %q", item.ID)
		}

		if !strings.HasPrefix(item.Target, "/") {
			return errors.NotValidf("items: give each a path that begins with a slash; item %q with %q", item.ID, item.Target)
		}

		// Another character would end the request line.
		if strings.ContainsFunc(item.Target, func(char rune) bool { return char <= ' ' || char == 0x7f }) {
			return errors.NotValidf("items: escape spaces and control characters in each path; item %q with %q", item.ID, item.Target)
		}

		seen[item.ID] = true
	}

	return nil
}
