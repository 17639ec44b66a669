package custodian

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"limpetrail/archiver"
	"limpetrail/bookkeeper"
	"limpetrail/kernel"
)

const (
	// deliverInterval is how often delivery of the held jobs is tried.
	deliverInterval = 200 * time.Millisecond
	// deliverTimeout bounds the delivery of one job.
	deliverTimeout = 2 * time.Second
	// rejectedPause is how long a job that the key-value service rejects is not offered again.
	rejectedPause = 10 * time.Second
	// folderOwner is the owner under which the folder stores the files of jobs.
	folderOwner = "custodian"
)

// Custodian holds jobs on one disk until they are delivered to the key-value service.
type Custodian struct {
	kernel.Common
	Folder *archiver.Folder
	// CreateJob creates a job in the key-value service unless it exists there.
	CreateJob func(ctx context.Context, job bookkeeper.Job) bookkeeper.Outcome
	// MaxAge is how long after its submission a job may still be delivered. An older job
	// was delivered by another custodian and may have been removed since, so it must not
	// be created again.
	MaxAge time.Duration

	mutex sync.Mutex
	// fileNames maps the IDs of the held jobs to the names of their files.
	fileNames map[string]string
	// workspaces maps the IDs of the held jobs that have a workspace to it.
	workspaces map[string]string
	// rejectedUntil holds when the jobs that the key-value service rejected are offered again.
	rejectedUntil map[string]time.Time
	// leaving is set when the custodian no longer accepts jobs.
	leaving bool
	// wake signals Run that a job was accepted.
	wake chan struct{}
}

// NewCustodian returns a custodian that holds the jobs that an earlier process stored in
// the folder.
func NewCustodian(common kernel.Common, folder *archiver.Folder, maxAge time.Duration, createJob func(context.Context, bookkeeper.Job) bookkeeper.Outcome) (*Custodian, error) {
	custodian := &Custodian{
		Common:    common.ForPart("custodian"),
		Folder:    folder,
		CreateJob: createJob,
		MaxAge:    maxAge,
		fileNames: map[string]string{},

		workspaces:    map[string]string{},
		rejectedUntil: map[string]time.Time{},

		wake: make(chan struct{}, 1),
	}

	names, err := folder.Names()
	if err != nil {
		return nil, errors.Trace(err)
	}

	for _, name := range names {
		job, err := custodian.readFile(name)
		if err != nil {
			// The job of a file that was incomplete at a power failure was not yet
			// acknowledged to its sender.
			custodian.Log.WithField("File", name).WithError(err).Warn("File of a job cannot be read and is deleted.")
			folder.Delete(name)

			continue
		}

		custodian.setHeld(job, name)
	}

	custodian.Log.WithField("Held", len(custodian.fileNames)).Info("Read the held jobs from the folder.")

	return custodian, nil
}

// Accept stores a job on the disk. It returns an error if storing it may have failed.
func (custodian *Custodian) Accept(job bookkeeper.Job) error {
	encoded, err := json.Marshal(job)
	if err != nil {
		return errors.Trace(err)
	}

	custodian.mutex.Lock()
	leaving, held, workspace := custodian.leaving, custodian.fileNames[job.ID] != "", custodian.workspaces[job.ID]
	custodian.mutex.Unlock()

	if held && workspace != "" && workspace != job.Workspace {
		return errors.AlreadyExistsf("job %.80s of another workspace", job.ID)
	}

	// A job with the ID of a held job is a retry of the same submission.
	if held {
		return nil
	}

	if leaving {
		return errors.Forbiddenf("new jobs: %s is being emptied", custodian.Instance)
	}

	name := archiver.SegmentName(encoded)
	if err := custodian.Folder.Store(name, folderOwner, encoded); err != nil {
		return errors.Trace(err)
	}

	custodian.mutex.Lock()
	custodian.setHeld(job, name)
	custodian.mutex.Unlock()

	custodian.Log.WithFields(logrus.Fields{"JobID": job.ID, "Items": len(job.Items)}).Info("Job was stored until it can be delivered to the key-value service.")

	select {
	case custodian.wake <- struct{}{}:
	default:
	}

	return nil
}

// setHeld records that a job is held in the file. The mutex must be held, except at construction.
func (custodian *Custodian) setHeld(job bookkeeper.Job, name string) {
	custodian.fileNames[job.ID] = name

	if job.Workspace != "" {
		custodian.workspaces[job.ID] = job.Workspace
	}
}

// Holds tells whether a job is held here because it may not have been delivered yet.
func (custodian *Custodian) Holds(id string) bool {
	return custodian.HoldsFor(id, bookkeeper.Reader{})
}

// HoldsFor is Holds for a reader, to whom jobs that it may not read do not exist.
func (custodian *Custodian) HoldsFor(id string, reader bookkeeper.Reader) bool {
	custodian.mutex.Lock()
	defer custodian.mutex.Unlock()

	return custodian.fileNames[id] != "" && reader.MayRead(custodian.workspaces[id])
}

// StopAccepting makes the custodian reject new jobs. It still delivers those that it holds;
// see IsEmpty.
func (custodian *Custodian) StopAccepting() {
	custodian.mutex.Lock()
	defer custodian.mutex.Unlock()

	custodian.leaving = true
}

// IsEmpty tells whether all held jobs have been delivered or dropped.
func (custodian *Custodian) IsEmpty() bool {
	custodian.mutex.Lock()
	defer custodian.mutex.Unlock()

	return len(custodian.fileNames) == 0
}

// Run delivers held jobs to the key-value service until the context ends.
func (custodian *Custodian) Run(ctx context.Context) {
	for ctx.Err() == nil {
		custodian.deliverAll(ctx)

		if custodian.IsEmpty() {
			select {
			case <-custodian.wake:
			case <-ctx.Done():
			}

			continue
		}

		select {
		case <-time.After(deliverInterval):
		case <-ctx.Done():
		}
	}
}

func (custodian *Custodian) deliverAll(ctx context.Context) {
	custodian.mutex.Lock()

	fileNames := map[string]string{}
	for id, name := range custodian.fileNames {
		if !time.Now().Before(custodian.rejectedUntil[id]) {
			fileNames[id] = name
		}
	}

	custodian.mutex.Unlock()

	for id, name := range fileNames {
		if !custodian.deliverJob(ctx, id, name) {
			return
		}
	}
}

// deliverJob delivers one job, or drops one that is unreadable or too old. It returns false
// if the key-value service is probably unavailable. A rejected job does not keep the others from
// being delivered.
func (custodian *Custodian) deliverJob(ctx context.Context, id, name string) bool {
	job, err := custodian.readFile(name)
	if err != nil {
		custodian.Log.WithField("JobID", id).WithError(err).Error("Held job cannot be read and is dropped; other custodians hold it.")
		custodian.drop(id, name)

		return true
	}

	if time.Since(job.Submitted) > custodian.MaxAge {
		custodian.Log.WithField("JobID", id).Warn("Held job is too old to be delivered and is dropped.")
		custodian.drop(id, name)

		return true
	}

	ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()

	switch custodian.CreateJob(ctx, job) {
	case bookkeeper.OK:
	case bookkeeper.Rejected:
		custodian.mutex.Lock()
		custodian.rejectedUntil[id] = time.Now().Add(rejectedPause)
		custodian.mutex.Unlock()
		custodian.Log.WithField("JobID", id).Error("Key-value service rejects a held job; it is offered again later.")

		return true
	default:
		return false
	}

	custodian.Log.WithField("JobID", id).Info("Held job was delivered to the key-value service.")
	custodian.drop(id, name)

	return true
}

func (custodian *Custodian) readFile(name string) (bookkeeper.Job, error) {
	job := bookkeeper.Job{}

	stored, err := custodian.Folder.Fetch(name)
	if err != nil {
		return job, errors.Trace(err)
	}

	if err := json.Unmarshal(stored, &job); err != nil {
		return job, errors.Trace(err)
	}

	if job.ID == "" {
		return job, errors.NotValidf("job without an ID")
	}

	return job, nil
}

func (custodian *Custodian) drop(id, name string) {
	custodian.Folder.Delete(name)

	custodian.mutex.Lock()
	defer custodian.mutex.Unlock()

	if custodian.fileNames[id] == name {
		delete(custodian.fileNames, id)
		delete(custodian.rejectedUntil, id)
		delete(custodian.workspaces, id)
	}
}
