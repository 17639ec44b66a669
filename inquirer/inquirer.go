package inquirer

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
	"limpetrail/kernel"
	"limpetrail/librarian"
)

// Path is the path to which queries are posted.
const Path = "/v1/jobs/results"

const (
	// answerMargin is how much longer than the query's wait an answer may take. Answers
	// come from memory, and 600 KB are transferred between data centres in less time.
	answerMargin = 300 * time.Millisecond
	// firstProbe and lastProbe are the first and the longest pause before an owner that
	// did not answer is asked again. Meanwhile its readers use the key-value service. The
	// jobs of an owner that has gone are taken over within a few seconds.
	firstProbe = 500 * time.Millisecond
	lastProbe  = 4 * time.Second
	// maxAnswerBytes is the maximum size of an answer: a page of at most a megabyte, with
	// escapes.
	maxAnswerBytes = 4 << 20
	// longAnswers is how many long answers are read at a time.
	longAnswers = 4
)

// resultsQuery is the JSON body of a query for the results of a job.
type resultsQuery struct {
	JobID string
	After int
	Wait  time.Duration
}

// Inquirer asks the owners of jobs for results. It implements librarian.Inquirer.
type Inquirer struct {
	kernel.Common
	Client *http.Client

	answers *kernel.AnswerLimiter

	mutex sync.Mutex
	// peers maps the IDs of registered processes to their addresses and breakers.
	peers map[string]*peer
}

// peer is another process, which may own jobs.
type peer struct {
	address string
	breaker *keeper.Breaker
}

var _ librarian.Inquirer = (*Inquirer)(nil)

// NewInquirer returns an inquirer without peers; see SetMembers.
func NewInquirer(common kernel.Common, client *http.Client) *Inquirer {
	return &Inquirer{Common: common.ForPart("inquirer"), Client: client, answers: kernel.NewAnswerLimiter(maxAnswerBytes, longAnswers), peers: map[string]*peer{}}
}

// SetMembers replaces the addresses of the registered processes, by process ID. A process
// whose address has not changed keeps its breaker.
func (inquirer *Inquirer) SetMembers(addresses map[string]string) {
	inquirer.mutex.Lock()
	defer inquirer.mutex.Unlock()

	previous := inquirer.peers
	inquirer.peers = map[string]*peer{}

	for process, address := range addresses {
		current := previous[process]
		if current == nil || current.address != address {
			current = &peer{address: address, breaker: keeper.NewBreaker(1, firstProbe, lastProbe)}
		}

		inquirer.peers[process] = current
	}
}

// AskOwner implements librarian.Inquirer.
func (inquirer *Inquirer) AskOwner(ctx context.Context, process, job string, after int, wait time.Duration) (librarian.ResultsPage, bool) {
	inquirer.mutex.Lock()
	owner := inquirer.peers[process]
	inquirer.mutex.Unlock()

	if owner == nil || !owner.breaker.Allow() {
		return librarian.ResultsPage{}, false
	}

	callCtx, cancel := context.WithTimeout(ctx, wait+answerMargin)
	defer cancel()

	page, complete, err := inquirer.sendQuery(callCtx, owner.address, resultsQuery{JobID: job, After: after, Wait: wait})
	if err != nil && ctx.Err() != nil {
		// The reader disconnected. That is no failure of the owner.
		return librarian.ResultsPage{}, false
	}

	if owner.breaker.RecordResult(err == nil) {
		inquirer.Log.WithField("Owner", process).WithField("Answers", err == nil).WithField("Error", err).Info("Owner of jobs started or stopped answering queries for results.")
	}

	inquirer.count(complete, err)

	return page, complete
}

func (inquirer *Inquirer) count(complete bool, err error) {
	switch {
	case err != nil:
		inquirer.Metrics.Counter("unanswered").Inc(1)
	case complete:
		inquirer.Metrics.Counter("answered").Inc(1)
	default:
		inquirer.Metrics.Counter("uncertain").Inc(1)
	}
}

// sendQuery sends one query to a process. It returns false if the process may not know all
// results of the job, or has too many queries already.
func (inquirer *Inquirer) sendQuery(ctx context.Context, address string, query resultsQuery) (librarian.ResultsPage, bool, error) {
	body, err := json.Marshal(query)
	if err != nil {
		return librarian.ResultsPage{}, false, errors.Trace(err)
	}

	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(body))
	if err != nil {
		return librarian.ResultsPage{}, false, errors.Trace(err)
	}

	response, err := inquirer.Client.Do(request)
	if err != nil {
		return librarian.ResultsPage{}, false, errors.Trace(err)
	}
	defer response.Body.Close()

	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return librarian.ResultsPage{}, false, nil
	default:
		return librarian.ResultsPage{}, false, errors.Errorf("owner answered %s", response.Status)
	}

	page := librarian.ResultsPage{}

	limited := inquirer.answers.Limit(ctx, response.Body)
	defer limited.Close()

	if err := json.NewDecoder(limited).Decode(&page); err != nil {
		return librarian.ResultsPage{}, false, errors.Annotate(err, "decoding the owner's answer")
	}

	return page, true, nil
}
