package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"limpetrail/matcher"
	"limpetrail/placer"
)

const (
	// overlapLimit is how long two servers may work on one stream. A platform counts it as run twice
	// after 400 ms.
	overlapLimit = 300 * time.Millisecond
	// raceRecheck is when a further attempt is considered again that was not possible.
	raceRecheck = 100 * time.Millisecond
	// overdueTime is how long a decision that is due waits for steps that have happened already: this
	// process may have been suspended.
	overdueTime = 5 * time.Millisecond
)

// race is the state of the decisions on further attempts beside silent ones.
type race struct {
	timer *time.Timer
	// firesAt is when the timer fires; zero if it is not set.
	firesAt time.Time
	// overdueAt is when the decision that is due is made; zero if none is.
	overdueAt time.Time
	// notBefore is when a further attempt may be made.
	notBefore time.Time
	// charged is set once the retry budget was charged for a further attempt that is not sent yet.
	charged bool
	// unplacedLogged is set once the log has a line on a further attempt without a place.
	unplacedLogged bool
	// over is set if no further attempt can be made.
	over bool
}

// wake returns a channel that receives a time when a decision is due or earlier; nil if that is zero.
func (race *race) wake(due time.Time) <-chan time.Time {
	if due.IsZero() {
		return nil
	}

	at := due
	if race.overdueAt.After(due) {
		at = race.overdueAt
	}

	if race.timer == nil {
		race.timer = time.NewTimer(time.Until(at))
		race.firesAt = at
	}

	if race.firesAt.IsZero() || at.Before(race.firesAt) {
		race.timer.Reset(time.Until(at))
		race.firesAt = at
	}

	return race.timer.C
}

func (race *race) delay() {
	race.notBefore = time.Now().Add(raceRecheck)
}

func (race *race) stop() {
	if race.timer != nil {
		race.timer.Stop()
	}
}

// overlaps reports whether two servers may work on the stream.
func (delivery *delivery) overlaps() bool {
	return len(delivery.running) > 1 && delivery.call.Route.Kind == matcher.Stream
}

// nextDecision returns when a decision on further attempts is due; zero for never.
func (delivery *delivery) nextDecision() time.Time {
	if len(delivery.running) == 0 {
		return time.Time{}
	}

	if newest := delivery.running[len(delivery.running)-1]; delivery.overlaps() && !newest.sentAt.IsZero() {
		return newest.sentAt.Add(overlapLimit)
	}

	if delivery.race.over || delivery.overlaps() || !delivery.mayTryAgain() {
		return time.Time{}
	}

	due := delivery.race.notBefore

	for _, running := range delivery.running {
		if running.silentAt.IsZero() {
			return time.Time{}
		}

		if running.silentAt.After(due) {
			due = running.silentAt
		}
	}

	return due
}

// handleSilence makes an attempt beside a silent one, which goes on, or ends one of two if neither has
// brought the answer in time.
func (delivery *delivery) handleSilence(ctx context.Context) {
	delivery.race.firesAt = time.Time{}

	// The timer's own time is the one for which it was set, however late it is.
	due, now := delivery.nextDecision(), time.Now()
	if due.IsZero() || now.Before(due) {
		delivery.race.overdueAt = time.Time{}

		return
	}

	if delivery.race.overdueAt.IsZero() {
		delivery.race.overdueAt = now.Add(overdueTime)

		return
	}

	if now.Before(delivery.race.overdueAt) {
		return
	}

	delivery.race.overdueAt = time.Time{}

	if delivery.overlaps() {
		delivery.endOverlap(now)

		return
	}

	delivery.startBeside(ctx)
}

// endOverlap ends one of two attempts, as two servers must not work on a stream for long: the later one
// while a further one can be made elsewhere, or if the earlier one is not silent any more. The last one
// that can be made stays, as nothing could take the place of a server that never goes on.
func (delivery *delivery) endOverlap(now time.Time) {
	unneeded := delivery.running[len(delivery.running)-1]
	mayTryFurther := delivery.mayTryAgain() && delivery.forwarder.Placer.HasCandidate(delivery.workBeside())

	if oldest := delivery.running[0]; !mayTryFurther && oldest.isSilent(now) {
		unneeded = oldest
	}

	delivery.countRace("Dropped")

	unneeded.stop()
	unneeded.run.Abandon()

	// The limit of the overlap may be shorter than the time in which a server has to answer.
	if unneeded.isSilent(now) {
		delivery.observeSilence(unneeded)
	}

	delivery.logEntry(unneeded, "no event in time").WithField("First", unneeded == delivery.running[0]).Info("One of two attempts ended.")
	delivery.triedServers = append(delivery.triedServers, unneeded.grant.Server.ID)
	delivery.end(unneeded)
	delivery.race.delay()
}

// startBeside makes a further attempt beside silent ones if another server can take the call and the
// retry budget, which is charged, is not spent. In an overload many attempts are silent, and repeating
// them all would add to it.
func (delivery *delivery) startBeside(ctx context.Context) {
	work := delivery.workBeside()

	if !delivery.forwarder.Placer.HasCandidate(work) || !delivery.chargeRetry() {
		delivery.race.delay()

		return
	}

	for _, running := range delivery.running {
		delivery.observeSilence(running)
	}

	delivery.start(ctx, work)
}

// workBeside describes a further attempt beside those that run.
func (delivery *delivery) workBeside() placer.Work {
	work := delivery.placementRequest()
	work.Spare, work.MaxWait = true, min(resumeQueueLimit, time.Until(delivery.call.Deadline))

	for _, running := range delivery.running {
		work.Exclude = append(work.Exclude, running.grant.Server.ID)
	}

	return work
}

// chargeRetry returns false if the retry budget is spent.
func (delivery *delivery) chargeRetry() bool {
	delivery.race.charged = delivery.race.charged || delivery.forwarder.budgets.GetOrCreate(delivery.call.Service).AllowRetry()

	return delivery.race.charged
}

func (delivery *delivery) observeSilence(silent *attempt) {
	if silent.silenceObserved {
		return
	}

	silent.silenceObserved = true
	silent.grant.Observe(placer.Silent, 0)
	delivery.logEntry(silent, "silent").WithField("Age", time.Since(silent.sentAt)).Info("Backend server is silent; another one is prepared.")
}

// lead makes an attempt that brings the answer the only one.
func (delivery *delivery) lead(leader *attempt) {
	delivery.serverID = leader.grant.Server.ID

	if len(delivery.running) == 1 {
		return
	}

	others := slices.DeleteFunc(slices.Clone(delivery.running), func(other *attempt) bool { return other == leader })
	sent := slices.ContainsFunc(others, func(other *attempt) bool { return !other.sentAt.IsZero() })

	silentWentOn := delivery.running[0] == leader

	if silentWentOn {
		delivery.countRace("SilentWentOn")
	} else {
		delivery.countRace("Replaced")
	}

	delivery.logEntry(leader, "").WithFields(logrus.Fields{"SilentWentOn": silentWentOn, "OthersSent": sent}).Info("One of several attempts goes on.")
	delivery.closeOthers(leader)

	delivery.race.charged = false
}

// countRace counts how it ended that attempts were made beside each other.
func (delivery *delivery) countRace(ending string) {
	delivery.forwarder.Metrics.Tagged(map[string]string{"ending": ending}).Counter("races").Inc(1)
}
