package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"limpetrail/exchanger"
	"limpetrail/matcher"
	"limpetrail/resumer"
)

const (
	// softwareGoneRetryAfter is when a caller may try to take up a stream whose software version
	// no server has any more, or nobody knows. It only comes back with a rollback.
	softwareGoneRetryAfter = 30 * time.Second
	// originUnknownRetryAfter is when a holder that did not answer may.
	originUnknownRetryAfter = 500 * time.Millisecond
	// soleSoftwareTimeouts is for how many times the route's timeout all servers must have had one
	// version, for a stream of unknown origin to have begun there.
	soleSoftwareTimeouts = 2
	// readListTimeout bounds how long a stream of unknown origin waits for the list of servers.
	readListTimeout = 300 * time.Millisecond
	// attestTimeout bounds how long a stream waits for its server's start, unless the server is silent
	// as a whole. Servers answer within a few milliseconds.
	attestTimeout = 60 * time.Millisecond
	// defaultStreamTime applies to routes without a timeout.
	defaultStreamTime = 30 * time.Second
)

// Origins knows where streams began, also at other entries.
type Origins interface {
	Record(id string, origin resumer.Origin)
	// Find returns an error of the type NotFound if nobody knows.
	Find(ctx context.Context, id string) (resumer.Origin, error)
	// SoleSoftware returns the version at which all streams of a service began in the period, and
	// false if that is not certain.
	SoleSoftware(ctx context.Context, service string, period time.Duration) (string, bool)
}

// ServerList reads the platform's list of backend servers.
type ServerList interface {
	// Software returns the versions of the service's servers, as they are listed after the call.
	Software(ctx context.Context, service string) ([]string, error)
}

// isContinuation reports whether the next attempt must go on after an event.
func (delivery *delivery) isContinuation() bool {
	return delivery.lastEventID >= 0 && delivery.call.Route.Kind == matcher.Stream
}

// resolveOrigin finds out where the stream began that the caller takes up, and directs the call
// there. It returns false and the result of the call if the stream cannot go on. What two software
// versions write does not fit together, and servers do not check it.
func (delivery *delivery) resolveOrigin(ctx context.Context) (Result, bool) {
	if !delivery.isContinuation() {
		return Result{}, true
	}

	origin, err := delivery.forwarder.Origins.Find(ctx, delivery.call.Resumes)
	if err != nil {
		software, sole := delivery.soleSoftware(ctx)
		if !sole {
			return delivery.refuseContinuation(origin, retryAfterUnknown(err), "It is not known which software version began the stream; request it from the start.")
		}

		origin = resumer.Origin{Service: delivery.call.Service, Software: software}
	}

	if !delivery.serves(origin.Service) {
		return delivery.refuseContinuation(origin, softwareGoneRetryAfter, "The route no longer leads to the service that began the stream; request it from the start.")
	}

	if !delivery.forwarder.Placer.HasSoftware(origin.Service, origin.Software) {
		return delivery.refuseContinuation(origin, softwareGoneRetryAfter, "No backend server has the software version that began the stream any more; request it from the start.")
	}

	delivery.origin, delivery.call.Service = origin, origin.Service

	return Result{}, true
}

func retryAfterUnknown(err error) time.Duration {
	if errors.Is(err, errors.NotFound) {
		return softwareGoneRetryAfter
	}

	return originUnknownRetryAfter
}

// soleSoftware returns the only version at which a stream of the service can have begun: by the list
// of servers, or by what the holders were told. An entry that was cut off or stood still has an old
// list, so that it counts only together with one that is read now.
func (delivery *delivery) soleSoftware(ctx context.Context) (string, bool) {
	period := soleSoftwareTimeouts * defaultStreamTime
	if delivery.call.Route.Timeout > 0 {
		period = soleSoftwareTimeouts * delivery.call.Route.Timeout
	}

	if software, sole := delivery.forwarder.Placer.SoleSoftware(delivery.call.Service, period); sole && delivery.isListed(ctx, software) {
		return software, true
	}

	return delivery.forwarder.Origins.SoleSoftware(ctx, delivery.call.Service, period)
}

// isListed reads the list of servers anew and reports whether it names no other version.
func (delivery *delivery) isListed(ctx context.Context, software string) bool {
	if delivery.forwarder.ServerList == nil {
		return true
	}

	ctx, cancel := context.WithTimeout(ctx, readListTimeout)
	defer cancel()

	versions, err := delivery.forwarder.ServerList.Software(ctx, delivery.call.Service)
	delivery.forwarder.log(delivery.call, logrus.Fields{"Software": software, "Listed": versions}).WithError(err).Info("Read the list of servers for a stream of unknown origin.")

	return err == nil && !slices.ContainsFunc(versions, func(version string) bool { return version != software })
}

func (delivery *delivery) serves(service string) bool {
	return slices.ContainsFunc(delivery.call.Route.Shares, func(share matcher.Share) bool { return share.Service == service })
}

func (delivery *delivery) refuseContinuation(origin resumer.Origin, retryAfter time.Duration, reason string) (Result, bool) {
	delivery.forwarder.log(delivery.call, logrus.Fields{
		"Resumes": delivery.call.Resumes, "After": delivery.call.LastEventID, "Service": origin.Service, "Software": origin.Software, "RetryAfter": retryAfter, "Reason": reason,
	}).Info("Stream cannot be taken up.")

	return Result{Outcome: Refused, RetryAfter: retryAfter, Reason: reason}, false
}

// attestStart finds out whether the server that answers is the start that is listed, and so has the
// software version of the list. If it is not certain, a new stream may not go on elsewhere later,
// as what began it is not known. It returns an error if a stream must not go on at this server.
func (attempt *attempt) attestStart(ctx context.Context) error {
	delivery, server := attempt.delivery, attempt.grant.Server
	if !delivery.call.Route.Repeatable() || server.Software == "" {
		return nil
	}

	err := delivery.forwarder.Attester.ConfirmWhile(ctx, server, attempt.answer.ConnectedAt, attestTimeout, attempt.answer.IsSilent)
	if err == nil {
		return nil
	}

	continues, restarted := attempt.lastEventID >= 0, errors.Is(err, exchanger.ErrRestarted)
	delivery.forwarder.log(delivery.call, logrus.Fields{
		"BackendServer": server.ID, "Software": server.Software, "Restarted": restarted, "Continues": continues, "Reason": err.Error(),
	}).Info("The software version of the server that answers is not certain.")

	if !continues {
		attempt.software = ""
	}

	if continues && restarted {
		return errors.Trace(err)
	}

	return nil
}

// recordOrigin records where the stream began, before its first event is passed on.
func (delivery *delivery) recordOrigin(software string) {
	delivery.origin = resumer.Origin{Service: delivery.call.Service, Software: software}

	if delivery.call.Route.Repeatable() {
		delivery.forwarder.Origins.Record(delivery.call.ID, delivery.origin)
	}
}
