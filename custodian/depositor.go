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
	// dialTimeout is many round trips between data centres.
	dialTimeout = 200 * time.Millisecond
	// depositTimeout is many syncs of a disk; a stalled one is not waited for.
	depositTimeout = time.Second
	// askTimeout of the question whether a job is held.
	askTimeout = 300 * time.Millisecond
	// idlePerCustodian keeps a connection for the next job.
	idlePerCustodian = 2
)

// Depositor hands jobs to custodians.
type Depositor struct {
	kernel.Common
	Client *http.Client
	// Copies is how many custodians must hold a job: one more than disks may be
	// lost at once.
	Copies int

	mutex sync.Mutex
	// custodians are the addresses by name.
	custodians map[string]string
}

var _ batcher.Depositor = (*Depositor)(nil)

// NewDepositor returns a depositor that knows no custodians.
func NewDepositor(common kernel.Common, copies int) *Depositor {
	return &Depositor{
		Common: common.ForPart("custodian"),
		Client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: idlePerCustodian,
			DisableCompression:  true,
		}},
		Copies:     copies,
		custodians: map[string]string{},
	}
}

// SetCustodians replaces the addresses, by name. Those of an empty list stay:
// the service may have lost its keys.
func (depositor *Depositor) SetCustodians(addresses map[string]string) {
	if len(addresses) == 0 {
		return
	}

	depositor.mutex.Lock()
	defer depositor.mutex.Unlock()

	depositor.custodians = addresses
}

// Deposit implements batcher.Depositor: it hands the job to all custodians, and
// returns when enough hold it.
func (depositor *Depositor) Deposit(ctx context.Context, job bookkeeper.Job) bookkeeper.Outcome {
	encoded, err := json.Marshal(job)
	if err != nil {
		depositor.Log.WithField("JobID", job.ID).WithError(err).Error("Job cannot be written as text.")

		return bookkeeper.NotDone
	}

	addresses := depositor.addresses()
	if len(addresses) < depositor.Copies {
		return bookkeeper.NotDone
	}

	ctx, cancel := context.WithTimeout(ctx, depositTimeout)
	outcomes := make(chan bookkeeper.Outcome, len(addresses))
	sending := sync.WaitGroup{}

	for _, address := range addresses {
		sending.Go(func() { outcomes <- depositor.send(ctx, address, encoded) })
	}

	go func() {
		sending.Wait()
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

	depositor.Log.WithFields(logrus.Fields{"JobID": job.ID, "Held": held, "Copies": depositor.Copies, "Custodians": len(addresses)}).Info("Job was handed to custodians.")

	switch {
	case held >= depositor.Copies:
		return bookkeeper.OK
	case held > 0 || uncertain:
		return bookkeeper.Unknown
	default:
		return bookkeeper.NotDone
	}
}

// HasJob implements batcher.Depositor. Sure is false if some custodian did not
// answer.
func (depositor *Depositor) HasJob(ctx context.Context, id string) (held, sure bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()

	addresses := depositor.addresses()
	statuses := make(chan int, len(addresses))

	for _, address := range addresses {
		go func() {
			status, err := depositor.call(ctx, http.MethodGet, address, "?id="+url.QueryEscape(id), nil)
			if err != nil {
				status = 0
			}

			statuses <- status
		}()
	}

	sure = true

	for range addresses {
		switch <-statuses {
		case http.StatusOK:
			held = true
		case http.StatusNotFound:
		default:
			sure = false
		}
	}

	return held, sure
}

// send hands a job to one custodian. Only a connection that was not made is
// certain to have brought nothing.
func (depositor *Depositor) send(ctx context.Context, address string, encoded []byte) bookkeeper.Outcome {
	status, err := depositor.call(ctx, http.MethodPost, address, "", encoded)

	dialling := &net.OpError{}

	switch {
	case err == nil && status == http.StatusOK:
		return bookkeeper.OK
	case errors.As(err, &dialling) && dialling.Op == "dial":
		return bookkeeper.NotDone
	default:
		depositor.Log.WithField("Custodian", address).WithField("Status", status).WithError(err).Info("Custodian does not hold a job.")

		return bookkeeper.Unknown
	}
}

func (depositor *Depositor) call(ctx context.Context, method, address, query string, body []byte) (int, error) {
	var content io.Reader
	if body != nil {
		content = bytes.NewReader(body)
	}

	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+Path+query, content)
	if err != nil {
		return 0, errors.Trace(err)
	}

	response, err := depositor.Client.Do(request)
	if err != nil {
		return 0, errors.Trace(err)
	}

	return response.StatusCode, errors.Trace(response.Body.Close())
}

func (depositor *Depositor) addresses() []string {
	depositor.mutex.Lock()
	defer depositor.mutex.Unlock()

	addresses := []string{}
	for _, address := range depositor.custodians {
		addresses = append(addresses, address)
	}

	return addresses
}
