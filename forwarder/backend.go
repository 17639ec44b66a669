package forwarder

import (
	"context"
	"time"

	"limpetrail/exchanger"
	"limpetrail/placer"
)

// Attempt is how a call is sent to one backend server.
type Attempt struct {
	// Left is the time that the server gets for it.
	Left time.Duration
	// FirstBy is when the answer should have begun.
	FirstBy time.Time
	// GiveUp is asked when FirstBy has passed; nil to end the attempt then.
	GiveUp func() bool
	// Withdrawn is asked before anything is sent; the server may have begun to
	// leave while a connection was made. It is nil for an attempt that stands.
	Withdrawn func() bool
	// After is the number of the last event that need not come again, or -1.
	After int
	// Repeatable calls may use connections that have been idle for long.
	Repeatable bool
}

// Sense is what an answer means.
type Sense int

// Senses.
const (
	// Served answers are the server's own, good or bad.
	Served Sense = iota
	// Full answers say that the server had no place and has not run the call.
	Full
	// Misdirected answers come from another server, which has not run the call.
	Misdirected
	// Foreign answers belong to another call or are no answers.
	Foreign
)

// Reply is an answer and what it means. A reply that is not served needs no Close.
type Reply struct {
	Sense  Sense
	Answer *exchanger.Answer
	// Leaving tells that the server said that it leaves.
	Leaving bool
}

// Backend is how backend servers are spoken to. An error is an
// exchanger.FailureError.
type Backend interface {
	Send(ctx context.Context, server placer.Server, call *Call, attempt Attempt) (Reply, error)
}
