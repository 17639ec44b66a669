package quarantiner

import (
	"maps"
	"slices"
	"time"
)

// maxAnswered bounds the subjects of each kind that are known to be answered.
const maxAnswered = 4096

// answerLog holds when servers last began to answer requests with each subject. Requests have a
// log of their own: a caller whose requests all differ must not displace the parts.
type answerLog struct {
	parts, requests map[Subject]time.Time
}

func newAnswerLog() *answerLog {
	return &answerLog{parts: map[Subject]time.Time{}, requests: map[Subject]time.Time{}}
}

func (log *answerLog) timesOf(subject Subject) map[Subject]time.Time {
	if subject.isRequest() {
		return log.requests
	}

	return log.parts
}

// record keeps the newer half when there are too many subjects.
func (log *answerLog) record(subject Subject, at time.Time) {
	times := log.timesOf(subject)
	times[subject] = at

	if len(times) <= maxAnswered {
		return
	}

	sorted := slices.SortedFunc(maps.Values(times), time.Time.Compare)
	median := sorted[len(sorted)/2]
	maps.DeleteFunc(times, func(_ Subject, answeredAt time.Time) bool { return !answeredAt.After(median) })
}

// last returns when a request with the subject was last answered, and false if that is not known.
func (log *answerLog) last(subject Subject) (time.Time, bool) {
	answeredAt, answered := log.timesOf(subject)[subject]

	return answeredAt, answered
}

// isProven reports whether servers have answered requests with the subject lately.
func (log *answerLog) isProven(subject Subject, now time.Time) bool {
	answeredAt, answered := log.last(subject)

	return answered && now.Sub(answeredAt) < suspicionLifetime
}
