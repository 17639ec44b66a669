package quarantiner

import (
	"slices"
	"time"
)

const (
	// convictionStrikes is how many independent strikes quarantine a part. Servers also end
	// by themselves, and a request may be at one of them by chance.
	convictionStrikes = 2
	// provenConvictionStrikes applies to a part that servers have answered before. It is
	// rather a bystander: in the prompts of two deadly parts, say, which both follow it.
	provenConvictionStrikes = 4
	// maxStrikes and maxRefuted bound what is kept of a part.
	maxStrikes = 16
	maxRefuted = 32
	// sameEnd is how far apart two reports of one server's end may seem to be: other entries
	// learn of it with a delay.
	sameEnd = time.Second
	// firstPeriod is how long a part is first kept away from servers. Each trial that ends
	// another server doubles it, up to maxPeriod.
	firstPeriod = 30 * time.Second
	maxPeriod   = 10 * time.Minute
	// quietTime is how long no new request with a part must have come before those that
	// wait are tried one after the other. Each may end a server, quietPeriod apart, so that
	// one server at a time is away. After quietTrials failed trials the period doubles.
	quietTime   = 10 * time.Second
	quietPeriod = 8 * time.Second
	quietTrials = 8
)

const (
	// secondChanceDelay is how long a request is kept away from servers after its conviction
	// if its caller comes back then: it may have run beside what ended the servers, and is to
	// be served before its caller gives up.
	secondChanceDelay = 500 * time.Millisecond
	// secondChanceTime is how long the second chance lasts: about as long as callers wait.
	secondChanceTime = 4500 * time.Millisecond
)

// requestPeriods are how long a request is kept away from servers, at its conviction and after
// each further server that it ended. Others wait for a part that becomes sound again; a deadly
// request is of no use to its caller either.
var requestPeriods = []time.Duration{firstPeriod, firstPeriod, maxPeriod, quarantineMemory}

// suspect is a part of prompts, or a request, and the evidence against it.
type suspect struct {
	subject Subject
	// depth is the largest index that the part had in a prompt of its strikes. Parts at
	// lower indexes are shared by more requests.
	depth int
	// strikes are in the order in which the servers ended, one for each incarnation, at most
	// maxStrikes; see leastStrike. None of them is refuted.
	strikes []strike
	// refuted are the servers whose end the part has not caused, as another server began to
	// answer a request with the part later.
	refuted []Incarnation
	// proven is true if servers have answered requests with the part before.
	proven bool
	// failedTrials counts the trials that ended a server since the part was last sound.
	failedTrials int
	// trialEndsAt is when a running trial is given up, and peerTrialEndsAt when one of
	// another entry is no longer heard of; zero if there is none.
	trialEndsAt, peerTrialEndsAt time.Time
	// askedAt is when a request with the part last came to this entry, and peerAskedAt when
	// one came to another.
	askedAt, peerAskedAt time.Time
	// changedAt is when strikes or refuted changed last.
	changedAt time.Time
	// convicted is the verdict on the evidence of the quarantiner's revision judgedAt.
	convicted bool
	judgedAt  int
}

func (suspect *suspect) strikeBy(server Incarnation) bool {
	return slices.ContainsFunc(suspect.strikes, func(known strike) bool { return known.server == server })
}

// addStrike adds a strike, unless it is known or refuted. A later trial that ended a server
// which is still listed under a start that has a strike replaces that strike, so that the next
// trial waits for its time.
func (suspect *suspect) addStrike(added strike, now time.Time) {
	if slices.Contains(suspect.refuted, added.server) {
		return
	}

	known := slices.IndexFunc(suspect.strikes, func(known strike) bool { return known.server == added.server })

	switch {
	case known < 0 && !suspect.keeps(added):
		return
	case known < 0:
		suspect.strikes = append(suspect.strikes, added)
	case added.trial && added.endedAt.Sub(suspect.strikes[known].endedAt) > sameEnd:
		suspect.strikes[known] = added
	default:
		return
	}

	sortByEnd(suspect.strikes)

	if len(suspect.strikes) > maxStrikes {
		dropped := suspect.leastStrike(suspect.strikes)
		suspect.strikes = slices.Delete(suspect.strikes, dropped, dropped+1)
	}

	suspect.changedAt = now
}

// keeps reports whether a new strike would be among the maxStrikes that are kept. Others are no news:
// entries that tell each other of them again and again would never be done.
func (suspect *suspect) keeps(added strike) bool {
	if len(suspect.strikes) < maxStrikes {
		return true
	}

	strikes := append(slices.Clone(suspect.strikes), added)
	sortByEnd(strikes)

	return strikes[suspect.leastStrike(strikes)].server != added.server
}

// leastStrike returns the index of the strike to drop: the oldest of those that do not count by
// themselves, as the newest strikes of a burst may all count as one.
func (suspect *suspect) leastStrike(strikes []strike) int {
	independent := independentServers(suspect.countable(strikes))
	dispensable := slices.IndexFunc(strikes, func(known strike) bool { return !slices.Contains(independent, known.server) })

	return max(0, dispensable)
}

func sortByEnd(strikes []strike) {
	slices.SortStableFunc(strikes, func(one, other strike) int { return one.endedAt.Compare(other.endedAt) })
}

// refute drops the strikes by the servers, now and for the future.
func (suspect *suspect) refute(servers []Incarnation, now time.Time) {
	added := false

	for _, server := range servers {
		if !slices.Contains(suspect.refuted, server) {
			suspect.refuted = append(suspect.refuted, server)
			added = true
		}
	}

	if !added {
		return
	}

	suspect.refuted = suspect.refuted[max(0, len(suspect.refuted)-maxRefuted):]
	suspect.proven = true
	suspect.strikes = slices.DeleteFunc(suspect.strikes, func(known strike) bool { return slices.Contains(suspect.refuted, known.server) })
	suspect.changedAt = now

	if len(suspect.strikes) == 0 {
		suspect.failedTrials, suspect.trialEndsAt = 0, time.Time{}
	}
}

// repeatRefuted lets others be told again that a strike is refuted, as one of them has
// missed it. It does nothing for other strikes.
func (suspect *suspect) repeatRefuted(server Incarnation, now time.Time) {
	index := slices.Index(suspect.refuted, server)
	if index < 0 {
		return
	}

	suspect.refuted = append(slices.Delete(suspect.refuted, index, index+1), server)
	suspect.changedAt = now
}

// strikesBefore returns the servers that ended before the time.
func (suspect *suspect) strikesBefore(at time.Time) []Incarnation {
	servers := []Incarnation(nil)

	for _, known := range suspect.strikes {
		if known.endedAt.Before(at) {
			servers = append(servers, known.server)
		}
	}

	return servers
}

// servers returns the servers of the strikes.
func (suspect *suspect) servers() []Incarnation {
	servers := make([]Incarnation, 0, len(suspect.strikes))
	for _, known := range suspect.strikes {
		servers = append(servers, known.server)
	}

	return servers
}

// releaseAt returns when the part may be tried again. There is a strike.
func (suspect *suspect) releaseAt(now time.Time) time.Time {
	switch {
	case suspect.hasSecondChance(now):
		return suspect.lastStrikeAt().Add(secondChanceDelay)
	case suspect.subject.isRequest():
		return suspect.lastStrikeAt().Add(requestPeriods[min(suspect.setbacks(), len(requestPeriods)-1)])
	}

	if !now.Before(suspect.quietAt()) {
		return suspect.quietReleaseAt()
	}

	return suspect.lastStrikeAt().Add(doubled(firstPeriod, suspect.failedTrials))
}

// quietReleaseAt returns when a waiting request may try the part again if no new ones come
// until then. All entries see the moment from which none have come, so their turns begin
// with it.
func (suspect *suspect) quietReleaseAt() time.Time {
	release, quietAt := suspect.lastStrikeAt().Add(doubled(quietPeriod, suspect.failedTrials/quietTrials)), suspect.quietAt()
	if release.Before(quietAt) {
		return quietAt
	}

	return release
}

// setbacks counts the servers that ended by the request beyond those that convict it.
func (suspect *suspect) setbacks() int {
	return max(suspect.failedTrials, len(suspect.strikes)-suspect.neededStrikes())
}

// hasSecondChance reports whether a request that was convicted just now has one.
func (suspect *suspect) hasSecondChance(now time.Time) bool {
	return suspect.subject.isRequest() && suspect.setbacks() == 0 && now.Before(suspect.lastStrikeAt().Add(secondChanceDelay+secondChanceTime))
}

// doubled doubles a period so often, at most to maxPeriod.
func doubled(period time.Duration, times int) time.Duration {
	for range times {
		period = min(2*period, maxPeriod)
	}

	return period
}

func (suspect *suspect) lastStrikeAt() time.Time {
	return suspect.strikes[len(suspect.strikes)-1].endedAt
}

// quietAt returns when no new requests with the part have come for quietTime.
func (suspect *suspect) quietAt() time.Time {
	if suspect.askedAt.After(suspect.peerAskedAt) {
		return suspect.askedAt.Add(quietTime)
	}

	return suspect.peerAskedAt.Add(quietTime)
}

// trialUnderWay returns until when a trial, here or elsewhere, keeps others waiting.
func (suspect *suspect) trialUnderWay() time.Time {
	if suspect.trialEndsAt.After(suspect.peerTrialEndsAt) {
		return suspect.trialEndsAt
	}

	return suspect.peerTrialEndsAt
}

// evidence returns the strikes that may count.
func (suspect *suspect) evidence() []strike {
	return suspect.countable(suspect.strikes)
}

// countable returns those strikes that may count. Trials of a quarantined part may all be of one item,
// as others wait for it.
func (suspect *suspect) countable(strikes []strike) []strike {
	if suspect.failedTrials > 0 {
		return strikes
	}

	return withoutRepeats(strikes)
}

// neededStrikes is how many independent strikes convict the part if no other one explains
// them.
func (suspect *suspect) neededStrikes() int {
	if suspect.proven {
		return provenConvictionStrikes
	}

	return convictionStrikes
}

// explains reports whether the part is the likelier cause of the strikes that it shares with
// the other: it has enough of its own, and is the more specific one or has more.
func (suspect *suspect) explains(other *suspect) bool {
	if suspect == other || suspect.subject.Service != other.subject.Service || countIndependent(suspect.evidence()) < suspect.neededStrikes() {
		return false
	}

	return suspect.depth > other.depth || suspect.depth == other.depth && len(suspect.strikes) > len(other.strikes)
}
