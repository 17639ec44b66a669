package custodian

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"limpetrail/batcher"
	"limpetrail/bookkeeper"
	"limpetrail/kernel"
)

const (
	// dialTimeout allows for many round trips between data centres.
	dialTimeout = 200 * time.Millisecond
	// depositTimeout and queryTimeout allow for a sound custodian that is silent for a while, and for
	// many disk syncs. They do not wait longer for a stalled disk.
	depositTimeout = 2 * time.Second
	queryTimeout   = 2 * time.Second
	// listingTime is how long after the start of the process custodians may be missing from its list: a
	// registration that a loss of power ended is renewed within it.
	listingTime = 10 * time.Second
	// maxIdlePerCustodian is the maximum number of idle connections to each custodian.
	maxIdlePerCustodian = 2
)

// Depositor stores jobs at custodians.
type Depositor struct {
	kernel.Common
	Client *http.Client
	// Copies is the number of custodians that must hold a job: one more than the number
	// of disks that may be lost at once.
	Copies int

	startedAt time.Time

	mutex sync.Mutex
	// custodians maps the names of custodians to their addresses.
	custodians map[string]string
}

var _ batcher.Depositor = (*Depositor)(nil)

// NewDepositor returns a depositor without custodians; see SetCustodians.
func NewDepositor(common kernel.Common, copies int) *Depositor {
	return &Depositor{
		Common:     common.ForPart("custodian"),
		Client:     &http.Client{Transport: kernel.NewTransport(&net.Dialer{Timeout: dialTimeout}, maxIdlePerCustodian)},
		Copies:     copies,
		startedAt:  time.Now(),
		custodians: map[string]string{},
	}
}

// SetCustodians replaces the addresses of the custodians, by name. It ignores an empty
// list, because the key-value service may have lost its keys.
func (depositor *Depositor) SetCustodians(addresses map[string]string) {
	if len(addresses) == 0 {
		return
	}

	depositor.mutex.Lock()
	defer depositor.mutex.Unlock()

	depositor.custodians = addresses
}

// Deposit implements batcher.Depositor. It sends the job to all custodians, and returns
// as soon as enough of them hold it.
func (depositor *Depositor) Deposit(ctx context.Context, job bookkeeper.Job) bookkeeper.Outcome {
	encoded, err := json.Marshal(job)
	if err != nil {
		depositor.Log.WithField("JobID", job.ID).WithError(err).Error("Job could not be encoded.")

		return bookkeeper.NotDone
	}

	addresses := depositor.listAddresses()
	if len(addresses) < depositor.Copies {
		return bookkeeper.NotDone
	}

	ctx, cancel := context.WithTimeout(ctx, depositTimeout)
	outcomes := make(chan bookkeeper.Outcome, len(addresses))
	senders := sync.WaitGroup{}

	for _, address := range addresses {
		senders.Go(func() { outcomes <- depositor.send(ctx, address, encoded) })
	}

	go func() {
		senders.Wait()
		cancel()
	}()

	held, uncertain := 0, false

	for range addresses {
		switch <-outcomes {
		case bookkeeper.OK:
			held++
		case bookkeeper.NotDone:
		default:
			uncertain = true
		}

		if held >= depositor.Copies {
			break
		}
	}

	depositor.Log.WithFields(logrus.Fields{"JobID": job.ID, "Held": held, "Copies": depositor.Copies, "Custodians": len(addresses)}).Info("Job was sent to custodians.")

	switch {
	case held >= depositor.Copies:
		return bookkeeper.OK
	case held > 0 || uncertain:
		return bookkeeper.Unknown
	default:
		return bookkeeper.NotDone
	}
}

// HasJob implements batcher.Depositor. It returns as soon as one custodian holds the job. complete is
// false if none does and one did not answer, or if fewer are listed after the start than hold each job.
func (depositor *Depositor) HasJob(ctx context.Context, id string, reader bookkeeper.Reader) (found, complete bool) {
	query := url.Values{parameterID: {id}}
	if reader.Restricted {
		query.Set(parameterWorkspace, reader.Workspace)
	}

	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()

	addresses := depositor.listAddresses()
	statuses := make(chan int, len(addresses))

	for _, address := range addresses {
		go func() {
			status, err := depositor.call(ctx, http.MethodGet, address, "?"+query.Encode(), nil)
			if err != nil {
				status = 0
			}

			statuses <- status
		}()
	}

	complete = len(addresses) >= depositor.Copies || time.Since(depositor.startedAt) >= listingTime

	for range addresses {
		switch <-statuses {
		case http.StatusOK:
			return true, complete
		case http.StatusNotFound:
		default:
			complete = false
		}
	}

	return false, complete
}

// send sends a job to one custodian. Its outcome is NotDone only if no connection was
// established; after any other failure the custodian may hold the job.
func (depositor *Depositor) send(ctx context.Context, address string, encoded []byte) bookkeeper.Outcome {
	status, err := depositor.call(ctx, http.MethodPost, address, "", encoded)

	dialError := &net.OpError{}

	switch {
	case err == nil && status == http.StatusOK:
		return bookkeeper.OK
	case errors.As(err, &dialError) && dialError.Op == "dial":
		return bookkeeper.NotDone
	default:
		depositor.Log.WithField("Custodian", address).WithField("Status", status).WithError(err).Info("Custodian did not confirm that it holds a job.")

		return bookkeeper.Unknown
	}
}

func (depositor *Depositor) call(ctx context.Context, method, address, query string, body []byte) (int, error) {
	var content io.Reader
	if body != nil {
		content = bytes.NewReader(body)
	}

	writing, write := kernel.TraceRequestWrite(ctx)

	request, err := http.NewRequestWithContext(writing, method, "http://"+address+Path+query, content)
	if err != nil {
		return 0, errors.Trace(err)
	}

	response, err := depositor.Client.Do(request)
	if err != nil {
		return 0, errors.Trace(err)
	}

	if err := response.Body.Close(); err != nil {
		return response.StatusCode, errors.Trace(err)
	}

	// A process that has not received the call cannot confirm it.
	return response.StatusCode, errors.Trace(write.Confirm(ctx))
}

func (depositor *Depositor) listAddresses() []string {
	depositor.mutex.Lock()
	defer depositor.mutex.Unlock()

	addresses := []string{}
	for _, address := range depositor.custodians {
		addresses = append(addresses, address)
	}

	return addresses
}
