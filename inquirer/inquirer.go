package inquirer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/librarian"
)

// Path is where owners answer.
const Path = "/v1/jobs/results"

const (
	// answerSlack is how much longer than its wait an answer may take: it comes
	// from memory, and 600 KB pass between data centres within it.
	answerSlack = 300 * time.Millisecond
	// firstProbe and lastProbe bound how often an owner that gave no answer is
	// asked again; its readers go to the key-value service meanwhile. An owner
	// that is gone loses its jobs within a few seconds.
	firstProbe = 500 * time.Millisecond
	lastProbe  = 4 * time.Second
	// maxReadingBytes bounds an answer: a page of at most a megabyte, escaped.
	maxReadingBytes = 4 << 20
)

// question is what a reader wants to know, as it travels.
type question struct {
	JobID string
	After int
	Wait  time.Duration
}

// Inquirer asks owners. It implements librarian.Inquirer.
type Inquirer struct {
	kernel.Common
	Client *http.Client

	mutex sync.Mutex
	// owners holds what is known of each live process, by its name.
	owners map[string]*owner
}

// owner is a process that may own jobs.
type owner struct {
	address string
	breaker *keeper.Breaker
}

var _ librarian.Inquirer = (*Inquirer)(nil)

// NewInquirer returns an inquirer that knows no process.
func NewInquirer(common kernel.Common, client *http.Client) *Inquirer {
	return &Inquirer{Common: common.ForPart("inquirer"), Client: client, owners: map[string]*owner{}}
}

// SetMembers replaces the addresses of live processes by their names.
func (inquirer *Inquirer) SetMembers(addresses map[string]string) {
	inquirer.mutex.Lock()
	defer inquirer.mutex.Unlock()

	before := inquirer.owners
	inquirer.owners = map[string]*owner{}

	for process, address := range addresses {
		known := before[process]
		if known == nil || known.address != address {
			known = &owner{address: address, breaker: keeper.NewBreaker(1, firstProbe, lastProbe)}
		}

		inquirer.owners[process] = known
	}
}

// Ask implements librarian.Inquirer.
func (inquirer *Inquirer) Ask(ctx context.Context, process, job string, after int, wait time.Duration) (librarian.Reading, bool) {
	inquirer.mutex.Lock()
	asked := inquirer.owners[process]
	inquirer.mutex.Unlock()

	if asked == nil || !asked.breaker.Allow() {
		return librarian.Reading{}, false
	}

	bounded, cancel := context.WithTimeout(ctx, wait+answerSlack)
	defer cancel()

	reading, certain, err := inquirer.ask(bounded, asked.address, question{JobID: job, After: after, Wait: wait})
	if err != nil && ctx.Err() != nil {
		// The reader left, which says nothing about the owner.
		return librarian.Reading{}, false
	}

	if asked.breaker.Observe(err == nil) {
		inquirer.Log.WithField("Owner", process).WithField("Answers", err == nil).WithField("Error", err).Info("Owner of jobs changed.")
	}

	inquirer.count(certain, err)

	return reading, certain
}

func (inquirer *Inquirer) count(certain bool, err error) {
	switch {
	case err != nil:
		inquirer.Metrics.Counter("unanswered").Inc(1)
	case certain:
		inquirer.Metrics.Counter("answered").Inc(1)
	default:
		inquirer.Metrics.Counter("uncertain").Inc(1)
	}
}

// ask makes one call. It returns false if the process is not certain to own the
// job.
func (inquirer *Inquirer) ask(ctx context.Context, address string, asked question) (librarian.Reading, bool, error) {
	body, err := json.Marshal(asked)
	if err != nil {
		return librarian.Reading{}, false, errors.Trace(err)
	}

	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(body))
	if err != nil {
		return librarian.Reading{}, false, errors.Trace(err)
	}

	response, err := inquirer.Client.Do(request)
	if err != nil {
		return librarian.Reading{}, false, errors.Trace(err)
	}
	defer response.Body.Close()

	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return librarian.Reading{}, false, nil
	default:
		return librarian.Reading{}, false, errors.Errorf("owner answered %s", response.Status)
	}

	reading := librarian.Reading{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReadingBytes)).Decode(&reading); err != nil {
		return librarian.Reading{}, false, errors.Annotate(err, "reading an owner's answer")
	}

	return reading, true, nil
}
