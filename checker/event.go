package checker

import (
	"time"

	"limpetrail/classifier"
)

// Kind is what was observed.
type Kind string

// What callers saw.
const (
	// KindSent is a request that a caller sends.
	KindSent Kind = "Sent"
	// KindAnswered is an answer read to its end.
	KindAnswered Kind = "Answered"
	// KindRefused is a refusal with its fate.
	KindRefused Kind = "Refused"
	// KindCut is a request whose connection broke with no word about it.
	KindCut Kind = "Cut"
	// KindItemAccepted is a batch item whose job was acknowledged.
	KindItemAccepted Kind = "ItemAccepted"
	// KindItemRead is the result of an item in one reading of its job's results.
	KindItemRead Kind = "ItemRead"
	// KindCancelAcknowledged is a job whose cancellation was acknowledged.
	KindCancelAcknowledged Kind = "CancelAcknowledged"
)

// What backend servers saw.
const (
	// KindStarted is a request that reached a backend server.
	KindStarted Kind = "Started"
	// KindOrdered is an operator's order that a backend server obeyed.
	KindOrdered Kind = "Ordered"
)

// What happened to processes and to the configuration.
const (
	// KindLeaving is a process that was told to stop in good order.
	KindLeaving Kind = "Leaving"
	// KindKilled is a process that was lost.
	KindKilled Kind = "Killed"
	// KindEditAcknowledged is a configuration that an operator was told is
	// accepted.
	KindEditAcknowledged Kind = "EditAcknowledged"
	// KindInForce is the configuration that a process was seen to work by.
	KindInForce Kind = "InForce"
)

// Event is one observation.
type Event struct {
	Kind Kind
	// At is when it was observed, by the one clock of the test.
	At time.Time
	// Request is one copy of a request, or one batch item.
	Request string
	// Operation is what copies of one request have in common: the firm's
	// idempotency key. A request without one is an operation of its own.
	Operation string
	// Job is the job of a batch item.
	Job string
	// Idempotent is set on Sent and ItemAccepted where running twice does no
	// harm.
	Idempotent bool
	// Wanted is the whole answer, where it is known when the request is sent.
	Wanted string
	// Text is the answer or result as it was read.
	Text string
	// Fate is what a refusal said.
	Fate classifier.Fate
	// Reading tells apart the readings of a job's results, from 1 on.
	Reading int
	// BackendServer is where a request started or an order was obeyed.
	BackendServer string
	// Process is the process that left, was lost, worked by a configuration or
	// had the connection of a cut request.
	Process string
	// Fence is the fencing number of an order.
	Fence uint64
	// Revision is that of a configuration.
	Revision uint64
}
