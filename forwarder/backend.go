package forwarder

import (
	"context"
	"net/http"
	"time"

	"limpetrail/exchanger"
	"limpetrail/placer"
	"limpetrail/throttler"
)

// Attempt holds the parameters of sending a call to one backend server.
type Attempt struct {
	// Remaining is the time that the server has for the call.
	Remaining time.Duration
	// Withdrawn is called before anything is sent, and returns whether the server has
	// begun to leave while a connection was made; then nothing is sent. It may be nil.
	Withdrawn func() bool
	// LastEventID is the number of the last event that was received before, or -1. The
	// server continues after it.
	LastEventID int
	// Repeatable calls may be sent on connections that have been idle for longer: a
	// call that such a connection loses can be retried.
	Repeatable bool
}

// ReplyKind is how an answer is to be treated.
type ReplyKind int

// Kinds of replies.
const (
	// Served answers are the server's own answer to the call, a success or an error.
	Served ReplyKind = iota
	// Full answers say that the server had no free place and has not run the call.
	Full
	// Misdirected answers come from another server than the one addressed, which
	// has not run the call.
	Misdirected
	// Mismatched answers belong to another call, such as a late second answer on a
	// reused connection, or are not valid.
	Mismatched
)

// Reply is an answer and how to treat it. The answer must be closed only if it is
// Served.
type Reply struct {
	Kind   ReplyKind
	Answer *exchanger.Answer
	// Leaving is true if the server announced that it is shutting down.
	Leaving bool
	// Statement is what the server says of the requests that it takes; nil if the answer
	// says nothing of it that can be relied on.
	Statement *throttler.Statement
}

// RecordAnnouncements records what the answer to a request says of the server itself.
func (reply Reply) RecordAnnouncements(grant *placer.Grant, requestID string) {
	if reply.Leaving {
		grant.RecordDeparture(requestID)
	}

	if reply.Statement != nil {
		grant.RecordStatement(*reply.Statement, requestID)
	}
}

// Backend sends calls to backend servers in their protocol. Its errors are of the
// type exchanger.FailureError.
type Backend interface {
	Send(ctx context.Context, server placer.Server, call *Call, attempt Attempt) (Reply, error)
	// SharedParts returns the IDs of the parts of a call's prompt that other calls may
	// share, in their order.
	SharedParts(header http.Header) []string
	// HasEnded reports whether the server's process has certainly ended: nothing listens
	// at its address.
	HasEnded(ctx context.Context, server placer.Server) bool
	// ReportStart returns the start that the server names, or 0 if it names none.
	ReportStart(ctx context.Context, server placer.Server) (int64, error)
}
