package conveyer

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/juju/errors"

	"limpetrail/batcher"
	"limpetrail/kernel"
)

// Path is where processes take jobs.
const Path = "/v1/jobs/handovers"

// Conveyer hands jobs to other processes. It implements batcher.Conveyer.
type Conveyer struct {
	kernel.Common
	Client *http.Client

	mutex sync.Mutex
	// addresses of live processes, by their names.
	addresses map[string]string
}

var _ batcher.Conveyer = (*Conveyer)(nil)

// NewConveyer returns a conveyer that knows no process.
func NewConveyer(common kernel.Common, client *http.Client) *Conveyer {
	return &Conveyer{Common: common.ForPart("conveyer"), Client: client, addresses: map[string]string{}}
}

// SetMembers replaces the addresses of live processes by their names.
func (conveyer *Conveyer) SetMembers(addresses map[string]string) {
	conveyer.mutex.Lock()
	defer conveyer.mutex.Unlock()

	conveyer.addresses = addresses
}

// HandOver implements batcher.Conveyer. Where the answer is lost the process may work on
// the job all the same; its head decides.
func (conveyer *Conveyer) HandOver(ctx context.Context, process string, handover batcher.Handover) bool {
	conveyer.mutex.Lock()
	address := conveyer.addresses[process]
	conveyer.mutex.Unlock()

	if address == "" {
		return false
	}

	if err := conveyer.send(ctx, address, handover); err != nil {
		conveyer.Log.WithField("JobID", handover.Job.ID).WithField("To", process).WithError(err).Info("Process does not take a job.")

		return false
	}

	return true
}

func (conveyer *Conveyer) send(ctx context.Context, address string, handover batcher.Handover) error {
	encoded, err := json.Marshal(handover)
	if err != nil {
		return errors.Trace(err)
	}

	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(encoded))
	if err != nil {
		return errors.Trace(err)
	}

	response, err := conveyer.Client.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()

	if response.StatusCode != http.StatusOK {
		return errors.Errorf("it answered %s", response.Status)
	}

	return nil
}
