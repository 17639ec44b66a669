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
	// accepted is the number of items of each accepted job.
	accepted map[string]int
	// listed holds the results of each job at their positions, as first seen.
	listed map[string]map[int]stager.Result
	broken []string
	whole  int
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{
		sent: map[string]bool{}, unanswered: map[string]string{}, accepted: map[string]int{}, listed: map[string]map[int]stager.Result{},
	}
}

// Break notes a broken promise.
func (history *History) Break(format string, arguments ...any) {
	history.mutex.Lock()
	defer history.mutex.Unlock()

	history.broken = append(history.broken, fmt.Sprintf(format, arguments...))
}

// Broken returns the broken promises so far.
func (history *History) Broken() []string {
	history.mutex.Lock()
	defer history.mutex.Unlock()

	return slices.Clone(history.broken)
}

// Send notes a request before it is sent.
func (history *History) Send(id string, once bool) {
	history.mutex.Lock()
	defer history.mutex.Unlock()

	history.sent[id] = true

	if once {
		history.once = append(history.once, id)
	}
}

// Answer notes what a request for events got. An answer is whole, or shows that
// it is not; what came of it are the first events in their order.
func (history *History) Answer(id string, answer stager.Answer) {
	history.mutex.Lock()
	defer history.mutex.Unlock()

	switch {
	case answer.Status == 0:
		history.unanswered[id] = fmt.Sprint(answer.Err)
	case promisesNotRun(answer.Status):
		history.refused = append(history.refused, id)
	case answer.Status != 200:
	case answer.Err == nil && answer.Body == stager.WholeStream():
		history.whole++
	case answer.Err == nil:
		history.broken = append(history.broken, fmt.Sprintf("MIXED: %s ended as if it were whole: %q", id, answer.Body))
	case !strings.HasPrefix(stager.WholeStream(), answer.Body):
		history.broken = append(history.broken, fmt.Sprintf("ORDER: %s got %q", id, answer.Body))
	}
}

// promisesNotRun tells whether a status says that the request has not run and
// never will.
func promisesNotRun(status int) bool {
	return slices.Contains([]int{408, 421, 429, 503}, status)
}

// Accept notes an accepted job.
func (history *History) Accept(job string, items int) {
	history.mutex.Lock()
	defer history.mutex.Unlock()

	history.accepted[job] = items
}

// Read notes results from a position on. A result stays as it was first seen.
func (history *History) Read(job string, after int, results []stager.Result) {
	history.mutex.Lock()
	defer history.mutex.Unlock()

	known := history.listed[job]
	if known == nil {
		known = map[int]stager.Result{}
		history.listed[job] = known
	}

	for index, result := range results {
		position := after + index
		if before, seen := known[position]; seen && before != result {
			history.broken = append(history.broken, fmt.Sprintf("TWICE: position %d of %s was %s and is %s", position, job, before.ID, result.ID))
		}

		known[position] = result
	}
}

// Known returns how many results of a job were seen.
func (history *History) Known(job string) int {
	history.mutex.Lock()
	defer history.mutex.Unlock()

	return len(history.listed[job])
}
