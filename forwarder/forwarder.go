package forwarder

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"limpetrail/kernel"
	"limpetrail/placer"
)

// Forwarder takes calls to backend servers.
type Forwarder struct {
	kernel.Common
	Placer  *placer.Placer
	Backend Backend
}

// NewForwarder returns a forwarder.
func NewForwarder(common kernel.Common, places *placer.Placer, backend Backend) *Forwarder {
	return &Forwarder{Common: common.ForPart("forwarder"), Placer: places, Backend: backend}
}

// Forward takes a call to its end. What the sink has taken when the call ends
// as Broken is not a whole answer, and its connection has to be broken too.
func (forwarder *Forwarder) Forward(ctx context.Context, call *Call, sink Sink) Result {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()

	journey := &journey{
		forwarder: forwarder,
		call:      call,
		sink:      sink,
		begun:     time.Now(),
		after:     call.After,
	}

	for {
		if result, ended := journey.step(ctx); ended {
			return journey.end(ctx, result)
		}
	}
}

// log returns the line of a decision about a call.
func (forwarder *Forwarder) log(call *Call, fields logrus.Fields) *logrus.Entry {
	return forwarder.Log.WithField("RequestID", call.ID).WithField("Route", call.Route.Name).WithFields(fields)
}
