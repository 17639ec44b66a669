package checker

import (
	"time"

	"limpetrail/classifier"
)

// Kind is the kind of an observation.
type Kind string

// Observations of callers.
const (
	// KindSent is a request that a caller sends.
	KindSent Kind = "Sent"
	// KindAnswered is an answer read to its end.
	KindAnswered Kind = "Answered"
	// KindRefused is a refusal, with the fate of the request.
	KindRefused Kind = "Refused"
	// KindConnectionLost is a request whose connection broke before it was answered or
	// refused.
	KindConnectionLost Kind = "Cut"
	// KindItemAccepted is a batch item whose job was acknowledged.
	KindItemAccepted Kind = "ItemAccepted"
	// KindItemRead is the result of an item in one read of its job's results.
	KindItemRead Kind = "ItemRead"
	// KindCancelAcknowledged is a job whose cancellation was acknowledged.
	KindCancelAcknowledged Kind = "CancelAcknowledged"
)

// Observations of backend servers.
const (
	// KindStarted is a request that reached a backend server.
	KindStarted Kind = "Started"
	// KindOrdered is an operator's order that a backend server executed.
	KindOrdered Kind = "Ordered"
)

// Events of processes and of the configuration.
const (
	// KindLeaving is a process that began a planned stop.
	KindLeaving Kind = "Leaving"
	// KindKilled is a process that was killed or has ended.
	KindKilled Kind = "Killed"
	// KindEditAcknowledged is a configuration whose acceptance was acknowledged
	// to an operator.
	KindEditAcknowledged Kind = "EditAcknowledged"
	// KindInForce is the configuration that a process was observed to use.
	KindInForce Kind = "InForce"
)

// Event is one observation.
type Event struct {
	Kind Kind
	// Timestamp is the time of the observation by the test's clock.
	Timestamp time.Time
	// Request is the ID of one copy of a request, or of one batch item.
	Request string
	// Operation is the idempotency key that copies of one request share. A
	// request without a key is an operation of its own.
	Operation string
	// Job is the job of a batch item.
	Job string
	// Idempotent is set for KindSent and KindItemAccepted if the operation may
	// run more than once.
	Idempotent bool
	// ExpectedAnswer is the complete expected answer, or empty if it is not known when
	// the request is sent.
	ExpectedAnswer string
	// Text is the answer or result that was read.
	Text string
	// Fate is the fate that a refusal stated.
	Fate classifier.Fate
	// ReadNumber numbers the reads of a job's results, from 1 on.
	ReadNumber int
	// BackendServer is where a request started or an order was executed.
	BackendServer string
	// Process is the process that leaves, was killed, uses a configuration or
	// held the lost connection of a request.
	Process string
	// Fence is the fencing number of an order.
	Fence uint64
	// Revision is the revision of a configuration.
	Revision uint64
}
