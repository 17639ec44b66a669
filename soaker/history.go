package soaker

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"limpetrail/deployer"
)

// History records what callers sent and received.
type History struct {
	mutex sync.Mutex
	// sent holds the IDs of all requests and items.
	sent map[string]bool
	// once holds the requests that may run at most once, and refused those whose
	// answer said that they have not run.
	once    []string
	refused []string
	// unanswered holds, by request ID, why a request got no answer.
	unanswered map[string]string
	// acceptedItems is the number of items of each accepted job.
	acceptedItems map[string]int
	// jobResults holds the results of each job by position, as last read.
	jobResults map[string]map[int]deployer.Result
	violations []string
	// moments tells of the last moment that nobody has taken yet.
	moments chan moment
	// deadlyGateways holds the gateway to which each request with the deadly part was sent.
	deadlyGateways map[string]int
	complete       int
	// takeUps counts the streams that callers took up, and goneOn those of them that went on.
	takeUps, goneOn int
	// joined describes the streams whose events come from two software versions.
	joined []string
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{
		sent: map[string]bool{}, unanswered: map[string]string{}, acceptedItems: map[string]int{}, jobResults: map[string]map[int]deployer.Result{},
		deadlyGateways: map[string]int{}, moments: make(chan moment, 1),
	}
}

// RecordViolation records that the system violated a guarantee.
func (history *History) RecordViolation(format string, arguments ...any) {
	history.mutex.Lock()
	defer history.mutex.Unlock()

	history.violations = append(history.violations, fmt.Sprintf(format, arguments...))
}

// Violations returns the violations so far.
func (history *History) Violations() []string {
	history.mutex.Lock()
	defer history.mutex.Unlock()

	return slices.Clone(history.violations)
}

// RecordRequest records a request before it is sent.
func (history *History) RecordRequest(id string, once bool) {
	history.mutex.Lock()
	defer history.mutex.Unlock()

	history.sent[id] = true

	if once {
		history.once = append(history.once, id)
	}
}

// RecordDeadlyRequest records the gateway to which a request with the deadly part is sent.
func (history *History) RecordDeadlyRequest(id string, gateway int) {
	history.mutex.Lock()
	defer history.mutex.Unlock()

	history.deadlyGateways[id] = gateway
}

// RecordAnswer records the answer to a request for an event stream. It records a
// violation if an incomplete answer doesn't end in an error, or if its events aren't
// the first ones of the stream in order.
func (history *History) RecordAnswer(id string, answer deployer.Answer) {
	history.mutex.Lock()
	defer history.mutex.Unlock()

	switch {
	case answer.Status == 0:
		history.unanswered[id] = fmt.Sprint(answer.Err)
	case meansNotRun(answer.Status):
		history.refused = append(history.refused, id)
	case answer.Status != 200:
	case answer.Err == nil && deployer.IsCompleteStream(answer.Body):
		history.complete++
	case answer.Err == nil:
		history.violations = append(history.violations, fmt.Sprintf("MIXED: %s ended without an error, with a wrong body: %q", id, answer.Body))
	case !deployer.BeginsStream(answer.Body):
		history.violations = append(history.violations, fmt.Sprintf("ORDER: %s got missing or reordered events: %q", id, answer.Body))
	}
}

// meansNotRun reports whether a status says that the request has not run and never
// will.
func meansNotRun(status int) bool {
	return slices.Contains([]int{408, 421, 429, 503}, status)
}

// RecordAcceptedJob records an accepted job and its number of items.
func (history *History) RecordAcceptedJob(job string, items int) {
	history.mutex.Lock()
	defer history.mutex.Unlock()

	history.acceptedItems[job] = items
	history.tellMoment(jobAccepted)
}

// RecordResults records results of a job from a position on. It records a violation
// if a result differs from the one read earlier at the same position.
func (history *History) RecordResults(job string, after int, results []deployer.Result) {
	history.mutex.Lock()
	defer history.mutex.Unlock()

	recorded := history.jobResults[job]
	if recorded == nil {
		recorded = map[int]deployer.Result{}
		history.jobResults[job] = recorded
	}

	for index, result := range results {
		position := after + index
		if previous, found := recorded[position]; found && previous != result {
			history.violations = append(history.violations, fmt.Sprintf("TWICE: position %d of job %s changed from item %s to %s", position, job, previous.ID, result.ID))
		}

		recorded[position] = result
	}

	if len(results) > 0 {
		history.tellMoment(resultRead)
	}
}

// ResultCount returns how many results of a job were read.
func (history *History) ResultCount(job string) int {
	history.mutex.Lock()
	defer history.mutex.Unlock()

	return len(history.jobResults[job])
}

// AcceptedJobs returns the IDs of the accepted jobs.
func (history *History) AcceptedJobs() []string {
	history.mutex.Lock()
	defer history.mutex.Unlock()

	return slices.Collect(maps.Keys(history.acceptedItems))
}
