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

// Path is the path to which handovers are posted.
const Path = "/v1/jobs/handovers"

// Conveyer hands jobs over to other processes. It implements batcher.Conveyer.
type Conveyer struct {
	kernel.Common
	Client *http.Client

	mutex sync.Mutex
	// addresses maps the IDs of registered processes to their addresses.
	addresses map[string]string
}

var _ batcher.Conveyer = (*Conveyer)(nil)

// NewConveyer returns a conveyer without addresses; see SetMembers.
func NewConveyer(common kernel.Common, client *http.Client) *Conveyer {
	return &Conveyer{Common: common.ForPart("conveyer"), Client: client, addresses: map[string]string{}}
}

// SetMembers replaces the addresses of the registered processes, by process ID.
func (conveyer *Conveyer) SetMembers(addresses map[string]string) {
	conveyer.mutex.Lock()
	defer conveyer.mutex.Unlock()

	conveyer.addresses = addresses
}

// HandOver implements batcher.Conveyer. If the answer is lost it returns false, though
// the process may have accepted the job. Both may then run it; only the owner that the
// head names commits results.
func (conveyer *Conveyer) HandOver(ctx context.Context, process string, handover batcher.Handover) bool {
	conveyer.mutex.Lock()
	address := conveyer.addresses[process]
	conveyer.mutex.Unlock()

	if address == "" {
		return false
	}

	if err := conveyer.send(ctx, address, handover); err != nil {
		conveyer.Log.WithField("JobID", handover.Job.ID).WithField("To", process).WithError(err).Info("Process did not accept the handover of a job.")

		return false
	}

	return true
}

func (conveyer *Conveyer) send(ctx context.Context, address string, handover batcher.Handover) error {
	encoded, err := json.Marshal(handover)
	if err != nil {
		return errors.Trace(err)
	}

	writing, write := kernel.TraceRequestWrite(ctx)

	request, err := http.NewRequestWithContext(writing, http.MethodPost, "http://"+address+Path, bytes.NewReader(encoded))
	if err != nil {
		return errors.Trace(err)
	}

	response, err := conveyer.Client.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()

	if response.StatusCode != http.StatusOK {
		return errors.Errorf("process answered %s", response.Status)
	}

	// A process that has not received the handover cannot accept it.
	return errors.Trace(write.Confirm(ctx))
}
