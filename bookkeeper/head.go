package bookkeeper

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
)

// Head is the stored record that says who owns a job. It is written when a job is
// created, taken over, ended and done. Results are committed on the condition that
// the head has not changed, so each write stops earlier owners from committing.
type Head struct {
	// Owner is the process incarnation that runs the job. It is empty if none does.
	Owner     string
	Host      string
	Total     int
	Submitted time.Time
	Due       time.Time
	GiveUp    time.Time
	// Configuration is the version of the configuration by which the job was accepted, or 0
	// if it was stored without it. An older configuration decides nothing about its items.
	Configuration int64 `json:",omitempty"`
	// Workspace is the workspace whose key submitted the job; empty if there was none.
	Workspace string `json:",omitempty"`
	// Ended is set when the job was ended: no further item starts.
	Ended bool
	// Done is set when all results are committed.
	Done bool
}

// NewHead returns the head of a new job that its owner runs.
func NewHead(job Job) Head {
	return Head{
		Owner: job.Owner, Host: job.Host, Total: len(job.Items),
		Submitted: job.Submitted, Due: job.Due, GiveUp: job.GiveUp, Configuration: job.Configuration, Workspace: job.Workspace,
	}
}

// Job returns the job of the head with the items. It has no owner.
func (head Head) Job(id string, items []Item) Job {
	return Job{
		ID: id, Host: head.Host, Items: items,
		Submitted: head.Submitted, Due: head.Due, GiveUp: head.GiveUp, Configuration: head.Configuration, Workspace: head.Workspace,
	}
}

// IsOpen tells whether items of the job may still run.
func (head Head) IsOpen() bool {
	return !head.Ended && !head.Done
}

// VersionedHead is a head and the revision at which it was written.
type VersionedHead struct {
	Head
	Revision keeper.Revision
}

// DecodeHead decodes a head from the item that stores it.
func DecodeHead(item keeper.Item) (VersionedHead, error) {
	decoded := VersionedHead{Revision: item.Revision}

	return decoded, errors.Annotatef(json.Unmarshal(item.Value, &decoded.Head), "reading %s", item.Key)
}
