package forwarder

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"limpetrail/exchanger"
	"limpetrail/matcher"
	"limpetrail/placer"
	"limpetrail/quarantiner"
	"limpetrail/resumer"
)

// delivery is the state of one call over all of its attempts. An attempt that is silent goes on until
// another one has proved that it can take its place: a sound server may be silent for a while.
type delivery struct {
	forwarder *Forwarder
	call      *Call
	sink      Sink
	startedAt time.Time
	// spentBefore is the estimated time that the caller had used up before the call
	// arrived.
	spentBefore time.Duration

	// quarantineRequest describes the call by what it has in common with others.
	quarantineRequest quarantiner.Request

	// running holds the attempts that have not ended, the oldest first. More than one run only while
	// the older ones are silent.
	running []*attempt
	reports chan report
	// race decides when a further attempt is made beside silent ones.
	race race

	// triedServers holds the IDs of the servers that are not tried again.
	triedServers []string
	// attempts is how many servers may have run the call.
	attempts int
	// rejections is how many servers have certainly not run the call: they refused
	// it, or it was not sent.
	rejections int
	// headSent is true once the head of an answer was passed on. From then on the
	// answer can only be continued, not replaced.
	headSent bool
	// streamStarted is true once a server sent the head of a stream.
	streamStarted bool
	// lastEventID is the number of the last event that was passed on, or -1.
	lastEventID int
	status      int
	eventCount  int
	// wholeEvents counts the events that are not comments, which a slow server may send instead.
	wholeEvents     int
	timeToFirstByte time.Duration
	queueTime       time.Duration
	// serverID is of the server that was tried last, or whose answer was passed on.
	serverID string
	// origin is where the stream began, once an event was passed on or if the caller takes the
	// stream up.
	origin resumer.Origin
}

// deliver makes attempts until the call has ended.
func (delivery *delivery) deliver(ctx context.Context) Result {
	if refused, possible := delivery.resolveOrigin(ctx); !possible {
		return refused
	}

	call := delivery.call
	delivery.quarantineRequest = quarantiner.Request{
		ID: call.ID, Service: call.Service, Parts: delivery.forwarder.Backend.SharedParts(call.Header),
		Fingerprint: fingerprint(call),
	}

	defer delivery.closeOthers(nil)
	defer delivery.race.stop()

	for {
		if result, ended := delivery.next(ctx); ended {
			return result
		}
	}
}

// fingerprint identifies the call among all attempts at it. The keys of a workspace are those of one
// caller: a retry may come with another one.
func fingerprint(call *Call) string {
	if call.Workspace == "" {
		return quarantiner.Fingerprint(call.Body, call.Caller, call.Method, call.Host, call.Target)
	}

	return quarantiner.Fingerprint(call.Body, call.Workspace, call.Caller, call.Method, call.Host, call.Target)
}

// next makes an attempt if none runs, and waits for the next step. It returns false if the call goes
// on.
func (delivery *delivery) next(ctx context.Context) (Result, bool) {
	if len(delivery.running) == 0 {
		if block, isBlocked := delivery.forwarder.Quarantiner.Check(delivery.quarantineRequest); isBlocked {
			return delivery.resultOfBlock(block), true
		}

		delivery.start(ctx, delivery.placementRequest())
	}

	select {
	case reported := <-delivery.reports:
		return delivery.handleReport(ctx, reported)
	case <-delivery.race.wake(delivery.nextDecision()):
		delivery.handleSilence(ctx)

		return Result{}, false
	case <-ctx.Done():
		return Result{Outcome: Cancelled, Reason: "The caller disconnected or the call's time ended."}, true
	}
}

func (delivery *delivery) start(ctx context.Context, work placer.Work) {
	delivery.running = append(delivery.running, newAttempt(ctx, delivery, work))
}

func (delivery *delivery) placementRequest() placer.Work {
	work := placer.Work{
		RequestID: delivery.call.ID,
		Service:   delivery.call.Service,
		Workspace: delivery.call.Workspace,
		Priority:  delivery.call.Priority(),
		MaxWait:   min(fraction(queueShare, latencyTarget(delivery.call.Route)), time.Until(delivery.call.Deadline)),
		Elapsed:   delivery.spentBefore,
		Prefix:    delivery.call.PrefixHash,
		// An attempt in the queue keeps its own list.
		Exclude: slices.Clone(delivery.triedServers),
	}

	if delivery.isContinuation() {
		work.Continues, work.Software = true, delivery.origin.Software
	}

	if delivery.streamStarted || delivery.isContinuation() {
		// Goes ahead of the calls of all routes: this caller has waited longest, and an
		// incomplete answer is of no use to it.
		work.Priority, work.MaxWait = -1, resumeQueueLimit
	}

	return work
}

// handleReport goes on after a step of an attempt. It returns false if the call has not ended.
func (delivery *delivery) handleReport(ctx context.Context, reported report) (Result, bool) {
	current := reported.attempt

	switch reported.step {
	case unplaced:
		return delivery.handleUnplaced(ctx, current, reported.decision)
	case blocked:
		return delivery.handleBlock(current, reported.block)
	case placed:
		delivery.handlePlaced(current, reported.decision)

		return Result{}, false
	case failed:
		return delivery.handleFailure(ctx, current, reported.err)
	case answered:
		return delivery.handleReply(current, reported)
	default:
		return delivery.handlePart(ctx, current, reported)
	}
}

// handlePlaced counts an attempt that is being sent: from now on its server may run the call.
func (delivery *delivery) handlePlaced(current *attempt, decision placer.Decision) {
	if len(delivery.running) == 1 {
		delivery.queueTime += decision.Waited
	}

	delivery.attempts++
	delivery.serverID = current.grant.Server.ID
	delivery.race.charged = false

	current.sentAt = time.Now()
	current.silentAt = current.sentAt.Add(fraction(firstByteShare, latencyTarget(delivery.call.Route)))

	if delivery.isContinuation() {
		delivery.logEntry(current, "").WithFields(logrus.Fields{"Software": current.grant.Server.Software, "Resumes": delivery.call.Resumes, "TakenUp": delivery.call.LastEventID >= 0}).Info("Continuing a stream.")
	}
}

// handleUnplaced ends a call without a place, unless another attempt of it runs. An attempt that was
// made beside a silent one has waited while that one was not over yet: the wait begins anew.
func (delivery *delivery) handleUnplaced(ctx context.Context, current *attempt, decision placer.Decision) (Result, bool) {
	delivery.end(current)

	if len(delivery.running) == 0 && !current.work.Spare {
		return delivery.resultWithoutPlace(ctx, decision), true
	}

	if !delivery.race.unplacedLogged {
		delivery.race.unplacedLogged = true
		delivery.forwarder.log(delivery.call, logrus.Fields{
			"Verdict": decision.Verdict.String(), "Forecast": decision.ExpectedWait, "Queued": decision.QueuedAhead, "Free": decision.FreePlaces, "Waited": decision.Waited,
		}).Info("No place for an attempt beside a silent one, which goes on.")
	}

	delivery.race.delay()

	return Result{}, false
}

// handleBlock ends a call that is quarantined, unless another attempt of it runs.
func (delivery *delivery) handleBlock(current *attempt, block quarantiner.Block) (Result, bool) {
	delivery.end(current)

	if len(delivery.running) == 0 {
		return delivery.resultOfBlock(block), true
	}

	delivery.race.over = true

	return Result{}, false
}

// handleReply goes on after the head of an answer.
func (delivery *delivery) handleReply(current *attempt, reported report) (Result, bool) {
	reply := reported.reply
	reply.RecordAnnouncements(current.grant, delivery.call.ID)

	switch reply.Kind {
	case Full, Misdirected:
		return delivery.handleRejection(current, reply.Kind)
	case Mismatched:
		current.grant.Observe(placer.Broken, 0)

		return delivery.retryOrEnd(current, "The answer belongs to another request.")
	default:
	}

	current.grant.Observe(placer.Answered, time.Since(current.sentAt))
	delivery.forwarder.budgets.GetOrCreate(delivery.call.Service).RecordSuccess()

	// A whole answer is not silent once its head is there: its server works on it.
	current.silentAt = time.Time{}

	switch {
	case reported.err != nil:
		return delivery.retryOrEnd(current, "The backend server has started again; the stream does not go on there.")
	case reply.Answer.Status >= 500 && !delivery.headSent && (delivery.mayTryAgain() || len(delivery.running) > 1):
		current.grant.Observe(observationOf(reply.Answer), 0)

		return delivery.retryOrEnd(current, "The backend server failed.")
	case current.isStream:
		delivery.streamStarted = true
		current.parser = reply.Answer.EventParser()
		current.silentAt = time.Now().Add(silenceLimit(delivery.call.Route))
	case delivery.headSent:
		return delivery.retryOrEnd(current, "The answer does not continue the stream.")
	default:
	}

	return Result{}, false
}

// handlePart goes on after a part of an answer.
func (delivery *delivery) handlePart(ctx context.Context, current *attempt, reported report) (Result, bool) {
	if current.isStream {
		return delivery.forwardPart(ctx, current, reported)
	}

	return delivery.forwardWhole(ctx, current, reported)
}

// mayTryAgain reports whether a further server may be sent the call.
func (delivery *delivery) mayTryAgain() bool {
	return delivery.call.Route.Repeatable() && delivery.attempts < delivery.call.Route.AttemptLimit
}

// end removes an attempt that has ended or is not needed any more.
func (delivery *delivery) end(ended *attempt) {
	ended.close()

	delivery.running = slices.DeleteFunc(delivery.running, func(other *attempt) bool { return other == ended })
}

// closeOthers ends all attempts but one, or all if it is nil.
func (delivery *delivery) closeOthers(kept *attempt) {
	for _, other := range slices.Clone(delivery.running) {
		if other != kept {
			delivery.abandon(other)
		}
	}
}

// abandon ends an attempt that is not needed. Its server may still end by it. It is not tried again if
// it was silent.
func (delivery *delivery) abandon(unneeded *attempt) {
	unneeded.stop()

	if !unneeded.sentAt.IsZero() {
		unneeded.run.Abandon()
	}

	if unneeded.silenceObserved {
		delivery.triedServers = append(delivery.triedServers, unneeded.grant.Server.ID)
	}

	delivery.end(unneeded)
}

// handleFailure goes on after an attempt that got no answer.
func (delivery *delivery) handleFailure(ctx context.Context, current *attempt, err error) (Result, bool) {
	failure := exchanger.FailureError{}
	if !errors.As(err, &failure) {
		failure = exchanger.FailureError{Kind: exchanger.Interrupted, Cause: err}
	}

	switch failure.Kind {
	case exchanger.Unsent:
		delivery.attempts--
		delivery.recordUnsent(current, failure)

		return delivery.continueAfterRejection(current)
	case exchanger.Cancelled:
		return Result{Outcome: Cancelled, Reason: "The caller disconnected or the call's time ended."}, true
	case exchanger.Unanswered:
		current.run.Abandon()
		current.grant.Observe(placer.Silent, 0)
	default:
		current.grant.Observe(current.run.BreakOff(ctx, failure.Error()), 0)
	}

	return delivery.retryOrEnd(current, failure.Error())
}

// recordUnsent logs why nothing was sent: the server was withdrawn while a connection
// was made, or no connection could be made.
func (delivery *delivery) recordUnsent(current *attempt, failure exchanger.FailureError) {
	switch {
	case errors.Is(failure.Cause, exchanger.ErrWithdrawn):
		delivery.logEntry(current, failure.Error()).Info("Backend server was withdrawn before the request was sent.")

		return
	case errors.Is(failure.Cause, exchanger.ErrRestarted):
		delivery.logEntry(current, failure.Error()).WithField("Software", current.grant.Server.Software).Info("Backend server has started again since it was listed; the stream does not go on there.")

		return
	}

	current.grant.Observe(placer.Unreachable, 0)

	if errors.Is(failure.Cause, syscall.ECONNREFUSED) {
		delivery.forwarder.Quarantiner.RecordRefusal(current.grant.Server)
	}

	delivery.logEntry(current, failure.Error()).Info("Could not connect to the backend server.")
}

// handleRejection records that a server refused the call without running it.
func (delivery *delivery) handleRejection(current *attempt, kind ReplyKind) (Result, bool) {
	delivery.attempts--

	if kind == Full {
		current.grant.Observe(placer.Full, 0)
	} else {
		current.grant.Observe(placer.Unreachable, 0)
	}

	delivery.logEntry(current, "not run").Info("Backend server refused the request without running it.")

	return delivery.continueAfterRejection(current)
}

// continueAfterRejection goes on to another server after one that has certainly not
// run the call, and ends the call after maxRejections if no other attempt runs.
func (delivery *delivery) continueAfterRejection(current *attempt) (Result, bool) {
	delivery.rejections++
	delivery.triedServers = append(delivery.triedServers, current.grant.Server.ID)
	delivery.end(current)

	if delivery.rejections < maxRejections {
		return Result{}, false
	}

	if len(delivery.running) > 0 {
		delivery.race.over = true

		return Result{}, false
	}

	switch {
	case delivery.headSent:
		return Result{Outcome: Broken, Reason: "No backend server can continue the answer."}, true
	case delivery.attempts > 0:
		return Result{Outcome: Failed, Reason: "No backend server is left to ask."}, true
	default:
		return Result{Outcome: Refused, RetryAfter: retryAfterRejections, Reason: "All backend servers asked were full."}, true
	}
}

// retryAfterRejections is how long a caller is asked to wait after several servers were
// full. A few of their requests have ended by then.
const retryAfterRejections = 200 * time.Millisecond

// retryOrEnd continues with another server after an attempt that may have run and has ended, or ends
// the call if this was the last attempt and no other one runs.
func (delivery *delivery) retryOrEnd(current *attempt, reason string) (Result, bool) {
	delivery.triedServers = append(delivery.triedServers, current.grant.Server.ID)
	delivery.end(current)

	if len(delivery.running) > 0 || delivery.mayTryAgain() {
		delivery.logEntry(current, reason).WithField("Running", len(delivery.running)).Info("Trying a request again.")

		return Result{}, false
	}

	switch {
	case delivery.headSent:
		return Result{Outcome: Broken, Reason: reason}, true
	case !time.Now().Before(delivery.call.Deadline):
		// Reads have the call's deadline, so a read may time out before the context does.
		return Result{Outcome: TimedOut, Reason: reason}, true
	default:
		return Result{Outcome: Failed, Reason: reason}, true
	}
}

func (delivery *delivery) logEntry(current *attempt, reason string) *logrus.Entry {
	return delivery.forwarder.log(delivery.call, logrus.Fields{
		"BackendServer": current.grant.Server.ID, "Reason": reason, "Sent": delivery.attempts, "After": delivery.lastEventID,
	})
}

func (delivery *delivery) isEventStream(answer *exchanger.Answer) bool {
	media := answer.Header.Get("Content-Type")

	return delivery.call.Route.Kind == matcher.Stream && answer.Status == 200 &&
		slices.Contains([]string{"text/event-stream", "text/event-stream; charset=utf-8"}, media)
}
