package router

import "time"

// Replica is one backend server as seen through its sidecar.
type Replica struct {
	Name string
	// Address is the sidecar's host and port.
	Address    string
	DataCentre string
	// Service is the name of the model or plain service it serves.
	Service string
	// Leaving is set once the platform lists the server as leaving, which may be
	// late.
	Leaving bool
}

// Criteria selects a replica for Router.Pick.
type Criteria struct {
	Service string
	// PrefixKeys are hashes of the prompt's leading blocks at growing depths;
	// see the function PrefixKeys. Empty if cache locality does not matter.
	PrefixKeys []uint64
	// Exclude holds the names of replicas that this request already tried.
	Exclude []string
}

// Load is the load that a sidecar reported.
type Load struct {
	RunningOnline int
	QueuedOnline  int
	RunningBatch  int
	Limit         int
	FirstToken    time.Duration
	Draining      bool
}

// Result is the outcome of an attempt at a replica, as far as it matters for
// ejection.
type Result int

// Results of attempts.
const (
	ResultAnswered Result = iota
	// ResultRefused means that the sidecar refused the request. It counts as a
	// sign of health.
	ResultRefused
	// ResultFailed means that the replica gave no answer or an incomplete one.
	ResultFailed
)
