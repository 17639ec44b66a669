package batcher

import (
	"net/url"
	"time"

	"limpetrail/keeper"
)

// Prefixes of the keys of jobs.
const (
	// PrefixHeads has one key for each job; all gateways follow it.
	PrefixHeads   = "limpetrail/jobs/heads/"
	prefixItems   = "limpetrail/jobs/items/"
	prefixResults = "limpetrail/jobs/results/"
)

// Item is one request of a job.
type Item struct {
	ID     string
	Target string
	Header map[string]string
	Body   []byte
}

// Job is many requests that run later.
type Job struct {
	ID    string
	Host  string
	Items []Item
	// Submitted is when the job was first seen here.
	Submitted time.Time
	// Due is when all results are wanted.
	Due time.Time
	// GiveUp is from when items may be given up.
	GiveUp time.Time
}

// Head is the record that says who runs a job. It changes when a job is
// created, taken over, ended and done, and each change ends the right of an
// earlier owner to list results.
type Head struct {
	// Owner is the incarnation that runs the job, or empty.
	Owner     string
	Host      string
	Total     int
	Submitted time.Time
	Due       time.Time
	GiveUp    time.Time
	// Ended jobs run no further item.
	Ended bool
	// Done jobs have all their results listed.
	Done bool
}

// Open tells whether items may still run.
func (head Head) Open() bool {
	return !head.Ended && !head.Done
}

// State is what became of an item.
type State int

// States of items.
const (
	// Completed items have their whole output.
	Completed State = iota
	// GivenUp items will never be done.
	GivenUp
)

// Result is a listed item.
type Result struct {
	ID     string
	State  State
	Output string
}

// segment is results that were listed together.
type segment struct {
	// First is the position of the first result.
	First   int
	Results []Result
}

// Outcome tells what became of a call about jobs.
type Outcome int

// Outcomes.
const (
	// OK means that the call is done, and lasts.
	OK Outcome = iota
	// NotFound means that there is no such job or item.
	NotFound
	// NotDone means that nothing was done and nothing will be.
	NotDone
	// Unknown means that the call may have taken effect.
	Unknown
)

// String names the outcome in logs.
func (outcome Outcome) String() string {
	return [...]string{"OK", "NotFound", "NotDone", "Unknown"}[outcome]
}

func headKey(id string) string {
	return PrefixHeads + url.QueryEscape(id)
}

func itemsPrefix(id string) string {
	return prefixItems + url.QueryEscape(id) + "/"
}

func resultsPrefix(id string) string {
	return prefixResults + url.QueryEscape(id) + "/"
}

// version is a head with its revision.
type version struct {
	Head
	revision keeper.Revision
}
