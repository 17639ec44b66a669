package soaker

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"limpetrail/stager"
)

// History is what callers sent and got.
type History struct {
	mutex sync.Mutex
	// sent holds the IDs of all requests and items.
	sent map[string]bool
	// once holds the requests that may run once, refused those that were told
	// that they have not run.
	once    []string
	refused []string
	// unanswered requests got nothing, by the reason.
	unanswered map[string]string
	// acceptedItems is the number of items of each accepted job.
	acceptedItems map[string]int
	// results holds the results of each job at their positions, as first seen.
	results    map[string]map[int]stager.Result
	violations []string
	complete   int
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{
		sent: map[string]bool{}, unanswered: map[string]string{}, acceptedItems: map[string]int{}, results: map[string]map[int]stager.Result{},
	}
}

// RecordViolation notes a broken promise.
func (history *History) RecordViolation(format string, arguments ...any) {
	history.mutex.Lock()
	defer history.mutex.Unlock()

	history.violations = append(history.violations, fmt.Sprintf(format, arguments...))
}

// Violations returns the broken promises so far.
func (history *History) Violations() []string {
	history.mutex.Lock()
	defer history.mutex.Unlock()

	return slices.Clone(history.violations)
}

// RecordRequest notes a request before it is sent.
func (history *History) RecordRequest(id string, once bool) {
	history.mutex.Lock()
	defer history.mutex.Unlock()

	history.sent[id] = true

	if once {
		history.once = append(history.once, id)
	}
}

// RecordAnswer notes what a request for events got. An answer is whole, or shows that
// it is not; what came of it are the first events in their order.
func (history *History) RecordAnswer(id string, answer stager.Answer) {
	history.mutex.Lock()
	defer history.mutex.Unlock()

	switch {
	case answer.Status == 0:
		history.unanswered[id] = fmt.Sprint(answer.Err)
	case meansNotRun(answer.Status):
		history.refused = append(history.refused, id)
	case answer.Status != 200:
	case answer.Err == nil && answer.Body == stager.WholeStream():
		history.complete++
	case answer.Err == nil:
		history.violations = append(history.violations, fmt.Sprintf("MIXED: %s ended as if it were whole: %q", id, answer.Body))
	case !strings.HasPrefix(stager.WholeStream(), answer.Body):
		history.violations = append(history.violations, fmt.Sprintf("ORDER: %s got %q", id, answer.Body))
	}
}

// meansNotRun tells whether a status says that the request has not run and
// never will.
func meansNotRun(status int) bool {
	return slices.Contains([]int{408, 421, 429, 503}, status)
}

// RecordAcceptedJob notes an accepted job.
func (history *History) RecordAcceptedJob(job string, items int) {
	history.mutex.Lock()
	defer history.mutex.Unlock()

	history.acceptedItems[job] = items
}

// RecordResults notes results from a position on. A result stays as it was first seen.
func (history *History) RecordResults(job string, after int, results []stager.Result) {
	history.mutex.Lock()
	defer history.mutex.Unlock()

	known := history.results[job]
	if known == nil {
		known = map[int]stager.Result{}
		history.results[job] = known
	}

	for index, result := range results {
		position := after + index
		if before, seen := known[position]; seen && before != result {
			history.violations = append(history.violations, fmt.Sprintf("TWICE: position %d of %s was %s and is %s", position, job, before.ID, result.ID))
		}

		known[position] = result
	}
}

// ResultCount returns how many results of a job were seen.
func (history *History) ResultCount(job string) int {
	history.mutex.Lock()
	defer history.mutex.Unlock()

	return len(history.results[job])
}
