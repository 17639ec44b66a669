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
	// deliverInterval is how often held jobs are offered to the service.
	deliverInterval = 200 * time.Millisecond
	// deliverTimeout bounds one offer.
	deliverTimeout = 2 * time.Second
	// owner names the jobs' files for the folder.
	owner = "custodian"
)

// Custodian holds jobs on one disk.
type Custodian struct {
	kernel.Common
	Folder *archiver.Folder
	// Create brings a job into the service, unless it is there.
	Create func(ctx context.Context, job bookkeeper.Job) bookkeeper.Outcome
	// Lifetime is how long after its submission a job may still be created. One
	// that is older was created by another custodian and removed since.
	Lifetime time.Duration

	mutex sync.Mutex
	// held maps the IDs of jobs to the names of their files.
	held map[string]string
	// leaving custodians accept nothing.
	leaving bool
	// accepted asks for an offer to the service.
	accepted chan struct{}
}

// NewCustodian opens the folder and reads what an earlier process left.
func NewCustodian(common kernel.Common, folder *archiver.Folder, lifetime time.Duration, create func(context.Context, bookkeeper.Job) bookkeeper.Outcome) (*Custodian, error) {
	custodian := &Custodian{
		Common:   common.ForPart("custodian"),
		Folder:   folder,
		Create:   create,
		Lifetime: lifetime,
		held:     map[string]string{},
		accepted: make(chan struct{}, 1),
	}

	names, err := folder.Names()
	if err != nil {
		return nil, errors.Trace(err)
	}

	for _, name := range names {
		job, err := custodian.read(name)
		if err != nil {
			// A file that was being written at a loss of power was not acknowledged.
			custodian.Log.WithField("File", name).WithError(err).Warn("File of a job cannot be read and is dropped.")
			folder.Drop(name)

			continue
		}

		custodian.held[job.ID] = name
	}

	custodian.Log.WithField("Held", len(custodian.held)).Info("Folder was read.")

	return custodian, nil
}

// Accept makes a job durable here. It returns an error if that is not certain.
func (custodian *Custodian) Accept(job bookkeeper.Job) error {
	encoded, err := json.Marshal(job)
	if err != nil {
		return errors.Trace(err)
	}

	custodian.mutex.Lock()
	leaving, held := custodian.leaving, custodian.held[job.ID] != ""
	custodian.mutex.Unlock()

	// A job that comes again is the one that is held.
	if held {
		return nil
	}

	if leaving {
		return errors.Forbiddenf("new jobs: %s is being emptied", custodian.Instance)
	}

	name := archiver.Name(encoded)
	if err := custodian.Folder.Store(name, owner, encoded); err != nil {
		return errors.Trace(err)
	}

	custodian.mutex.Lock()
	custodian.held[job.ID] = name
	custodian.mutex.Unlock()

	custodian.Log.WithFields(logrus.Fields{"JobID": job.ID, "Items": len(job.Items)}).Info("Job is held.")

	select {
	case custodian.accepted <- struct{}{}:
	default:
	}

	return nil
}

// Holds tells whether a job is here that the service may not have yet.
func (custodian *Custodian) Holds(id string) bool {
	custodian.mutex.Lock()
	defer custodian.mutex.Unlock()

	return custodian.held[id] != ""
}

// Leave stops accepting. Empty tells whether nothing is held any more.
func (custodian *Custodian) Leave() {
	custodian.mutex.Lock()
	defer custodian.mutex.Unlock()

	custodian.leaving = true
}

// Empty tells whether the service has everything that was held here.
func (custodian *Custodian) Empty() bool {
	custodian.mutex.Lock()
	defer custodian.mutex.Unlock()

	return len(custodian.held) == 0
}

// Run offers held jobs to the service until the context ends.
func (custodian *Custodian) Run(ctx context.Context) {
	for ctx.Err() == nil {
		custodian.deliver(ctx)

		if custodian.Empty() {
			select {
			case <-custodian.accepted:
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

func (custodian *Custodian) deliver(ctx context.Context) {
	custodian.mutex.Lock()

	held := map[string]string{}
	for id, name := range custodian.held {
		held[id] = name
	}

	custodian.mutex.Unlock()

	for id, name := range held {
		if !custodian.deliverOne(ctx, id, name) {
			return
		}
	}
}

// deliverOne brings one job into the service. It returns false if the service
// is away.
func (custodian *Custodian) deliverOne(ctx context.Context, id, name string) bool {
	job, err := custodian.read(name)
	if err != nil {
		custodian.Log.WithField("JobID", id).WithError(err).Error("Held job cannot be read; other custodians have it.")
		custodian.drop(id, name)

		return true
	}

	if time.Since(job.Submitted) > custodian.Lifetime {
		custodian.Log.WithField("JobID", id).Warn("Held job is too old to be created.")
		custodian.drop(id, name)

		return true
	}

	ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()

	if custodian.Create(ctx, job) != bookkeeper.OK {
		return false
	}

	custodian.Log.WithField("JobID", id).Info("Held job is in the service.")
	custodian.drop(id, name)

	return true
}

func (custodian *Custodian) read(name string) (bookkeeper.Job, error) {
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
	custodian.Folder.Drop(name)

	custodian.mutex.Lock()
	defer custodian.mutex.Unlock()

	if custodian.held[id] == name {
		delete(custodian.held, id)
	}
}
