package forwarder

import (
	"net/http"
	"time"

	"limpetrail/matcher"
)

// Call is a caller's request and the decisions made about it on arrival.
type Call struct {
	ID     string
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	// Caller identifies who sent the call, by the credentials in it; empty if it has none.
	Caller string
	// Workspace is the workspace of the caller's key; empty if it has none.
	Workspace string
	// Authenticated is set if the configuration has workspaces. Then the caller's key is not sent to
	// backend servers, and Workspace replaces the workspace that the caller names.
	Authenticated bool
	// WorkspacePriority is the priority of the workspace; nil if that of the route applies.
	WorkspacePriority *int
	// Header holds the end-to-end headers.
	Header http.Header
	Body   []byte
	Route  *matcher.Route
	// Service is the service chosen from those of the route.
	Service string
	// Deadline is the earlier of the caller's and the route's deadline.
	Deadline time.Time
	// PrefixHash is the hash of the part of the prompt that is shared with other calls;
	// 0 if there is none.
	PrefixHash uint64
	// LastEventID is the number of the last event that the caller has received, or -1.
	LastEventID int
	// Buffer reserves memory for an answer that is read before it is passed on, and returns false if
	// there is none. Nil always allows it.
	Buffer func(bytes int64) bool
	// Resumes is the ID of the call that brought the first event, if LastEventID is set.
	Resumes string
}

// Priority returns the priority of the call; 0 is the most urgent.
func (call *Call) Priority() int {
	if call.WorkspacePriority != nil {
		return *call.WorkspacePriority
	}

	return call.Route.Priority
}

// mayBuffer reserves memory for more of an answer.
func (call *Call) mayBuffer(bytes int64) bool {
	return call.Buffer == nil || call.Buffer(bytes)
}

// Sink receives the answer for the caller.
type Sink interface {
	// WriteHead writes the head of the answer. Length is -1 if it is not known.
	WriteHead(status int, header http.Header, length int64)
	// Write writes a part of the body and flushes it.
	Write(part []byte) error
}
