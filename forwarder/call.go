package forwarder

import (
	"net/http"
	"time"

	"limpetrail/matcher"
)

// Call is a caller's request.
type Call struct {
	ID     string
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	// Header holds the end-to-end headers.
	Header http.Header
	Body   []byte
	Route  *matcher.Route
	// Service is the one of the route's services that was picked.
	Service string
	// Deadline is when the caller or the route gives up.
	Deadline time.Time
	// Prefix is the hash of the shared part of the prompt; 0 for none.
	Prefix uint64
	// After is the number of the last event that the caller has, or -1.
	After int
}

// Sink takes the answer.
type Sink interface {
	// Begin takes the head. Length is -1 where it is not known.
	Begin(status int, header http.Header, length int64)
	// Write takes a part of the body and passes it on at once.
	Write(part []byte) error
}
