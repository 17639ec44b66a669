package kernel

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// requestWriteTime is how long an answer that arrived before its request was written waits for that.
const requestWriteTime = time.Second

// RequestWrite tells whether an HTTP client has written a request completely. A server that answers
// before it has read the request, and resets the connection, has not confirmed the request.
type RequestWrite struct {
	// ended holds the outcome of the newest try to write the request.
	ended chan httptrace.WroteRequestInfo
	// connected is set once the client has a connection. A transport without connections traces nothing.
	connected atomic.Bool
}

// TraceRequestWrite returns a context whose request is traced.
func TraceRequestWrite(ctx context.Context) (context.Context, *RequestWrite) {
	write := &RequestWrite{ended: make(chan httptrace.WroteRequestInfo, 1)}

	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			write.connected.Store(true)
			write.discard()
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			write.discard()
			write.ended <- info
		},
	}), write
}

// discard forgets an earlier try: the client may send a request again on another connection.
func (write *RequestWrite) discard() {
	select {
	case <-write.ended:
	default:
	}
}

// Confirm returns an error if the request was not written completely. It may be called once, after
// the client has returned an answer.
func (write *RequestWrite) Confirm(ctx context.Context) error {
	if !write.connected.Load() {
		return nil
	}

	timer := time.NewTimer(requestWriteTime)
	defer timer.Stop()

	select {
	case info := <-write.ended:
		return errors.Annotate(info.Err, "the answer came before the request was written")
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-timer.C:
		return errors.Timeoutf("writing a request that was answered before")
	}
}
