package measurer

import (
	"slices"
	"sync"
	"time"

	"limpetrail/admitter"
)

// Result is what a run has measured after its warm-up.
type Result struct {
	Name string
	// Span is the time over which requests counted.
	Span        time.Duration
	Answers     []Answer
	BatchTokens int
	BatchItems  int
	Preemptions int
	GiveWays    []GiveWay
}

// Answer is what became of one online request.
type Answer struct {
	Firm string
	// At is when it arrived, from the beginning of the run.
	At time.Duration
	// FirstToken and LastToken are counted from the arrival; zero for none.
	FirstToken time.Duration
	LastToken  time.Duration
	Tokens     int
	// Placed is the time from the arrival until the place that it got.
	Placed time.Duration
	// FirstStep is the length of the engine's step that gave the first token.
	FirstStep time.Duration
	// OwnPrompt is the number of prompt tokens that no other request shares.
	OwnPrompt int
	// Whole is set when the last token arrived.
	Whole bool
	// Refusals are the times that the caller waited for each of them.
	Refusals []time.Duration
}

// GiveWay is one batch stream cancelled for an online arrival.
type GiveWay struct {
	arrival time.Time
	// Taken is the time from the arrival until the engine dropped the stream.
	Taken time.Duration
	// Step is the length of the engine's step in progress at the arrival.
	Step time.Duration
}

func (result *Result) add(mutex *sync.Mutex, answer Answer) {
	mutex.Lock()
	defer mutex.Unlock()

	result.Answers = append(result.Answers, answer)
}

// FirstToken returns a quantile of the time to first token of a firm's
// answers; an empty firm means all.
func (result *Result) FirstToken(firm string, quantile float64) time.Duration {
	times := []time.Duration{}

	for _, answer := range result.Answers {
		if answer.FirstToken > 0 && (firm == "" || answer.Firm == firm) {
			times = append(times, answer.FirstToken)
		}
	}

	return quantileOf(times, quantile)
}

// Interval returns a quantile over the answers of the mean time between tokens.
func (result *Result) Interval(quantile float64) time.Duration {
	times := []time.Duration{}

	for _, answer := range result.Answers {
		if answer.Tokens > 1 {
			times = append(times, answer.interval())
		}
	}

	return quantileOf(times, quantile)
}

// RefusalWait returns a quantile of the time that callers waited for refusals.
func (result *Result) RefusalWait(quantile float64) time.Duration {
	times := []time.Duration{}
	for _, answer := range result.Answers {
		times = append(times, answer.Refusals...)
	}

	return quantileOf(times, quantile)
}

// Refused is the share of requests with no whole answer that were refused.
func (result *Result) Refused() float64 {
	refused := 0

	for _, answer := range result.Answers {
		if !answer.Whole && len(answer.Refusals) > 0 {
			refused++
		}
	}

	return float64(refused) / float64(max(1, len(result.Answers)))
}

// Goodput is the whole answers a second that kept both targets of the policy.
func (result *Result) Goodput(policy admitter.Policy) float64 {
	good := 0

	for _, answer := range result.Answers {
		if answer.good(policy) {
			good++
		}
	}

	return float64(good) / result.Span.Seconds()
}

// OnlineTokens is the online tokens a second.
func (result *Result) OnlineTokens() float64 {
	tokens := 0
	for _, answer := range result.Answers {
		tokens += answer.Tokens
	}

	return float64(tokens) / result.Span.Seconds()
}

// PromptTokens is the online prompt tokens a second that the prefix cache
// cannot hold.
func (result *Result) PromptTokens() float64 {
	tokens := 0
	for _, answer := range result.Answers {
		tokens += answer.OwnPrompt
	}

	return float64(tokens) / result.Span.Seconds()
}

// BatchRate is the batch tokens a second.
func (result *Result) BatchRate() float64 {
	return float64(result.BatchTokens) / result.Span.Seconds()
}

// recoveryWindow is the time over which arrivals are taken together to tell
// whether the run is back to normal.
const recoveryWindow = 5 * time.Second

// Recovered is the time after an outage until the arrivals of a window are
// answered in time as often as before it, to the share given.
func (result *Result) Recovered(begin, end time.Duration, policy admitter.Policy, share float64) time.Duration {
	normal := result.goodShare(0, begin, policy)

	for after := time.Duration(0); end+after+recoveryWindow <= begin+result.Span; after += time.Second {
		if result.goodShare(end+after, end+after+recoveryWindow, policy) >= share*normal {
			return after
		}
	}

	return result.Span
}

// goodShare is the share of good answers to the arrivals between two moments.
func (result *Result) goodShare(from, to time.Duration, policy admitter.Policy) float64 {
	arrived, good := 0, 0

	for _, answer := range result.Answers {
		if answer.At < from || answer.At >= to {
			continue
		}

		arrived++

		if answer.good(policy) {
			good++
		}
	}

	return float64(good) / float64(max(1, arrived))
}

// WaitedRefusals is the share of refusals that took longer than a moment.
func (result *Result) WaitedRefusals() float64 {
	refusals, waited := 0, 0

	for _, answer := range result.Answers {
		for _, wait := range answer.Refusals {
			refusals++

			if wait > time.Millisecond {
				waited++
			}
		}
	}

	return float64(waited) / float64(max(1, refusals))
}

// interval is the mean time between the answer's tokens.
func (answer Answer) interval() time.Duration {
	return (answer.LastToken - answer.FirstToken) / time.Duration(max(1, answer.Tokens-1))
}

func (answer Answer) good(policy admitter.Policy) bool {
	return answer.Whole && answer.FirstToken <= policy.FirstToken && answer.interval() <= policy.TokenInterval
}

// quantileOf returns the nearest-rank quantile; zero of nothing.
func quantileOf(times []time.Duration, quantile float64) time.Duration {
	if len(times) == 0 {
		return 0
	}

	slices.Sort(times)

	return times[int(quantile*float64(len(times)-1)+0.5)]
}
