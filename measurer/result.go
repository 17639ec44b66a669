package measurer

import (
	"slices"
	"sync"
	"time"

	"limpetrail/admitter"
)

// Result holds the measurements of a run after its warm-up.
type Result struct {
	Name string
	// Span is the time in which requests were measured.
	Span             time.Duration
	Answers          []Answer
	BatchTokens      int
	BatchItems       int
	Preemptions      int
	TimedPreemptions []Preemption
}

// Answer is the outcome of one online request.
type Answer struct {
	Firm string
	// ArrivedAt is the time of arrival since the start of the run.
	ArrivedAt time.Duration
	// FirstToken and LastToken are the times from the arrival until these tokens;
	// zero for none.
	FirstToken time.Duration
	LastToken  time.Duration
	Tokens     int
	// AcquireDelay is the time from the arrival until a place was acquired.
	AcquireDelay time.Duration
	// FirstStep is the duration of the engine step that generated the first token.
	FirstStep time.Duration
	// OwnPrompt is the number of prompt tokens not shared with other requests.
	OwnPrompt int
	// Complete is set if the last token arrived.
	Complete bool
	// Refusals are the times that the caller waited for each refusal.
	Refusals []time.Duration
}

// Preemption is the cancellation of a batch stream because an online request
// arrived.
type Preemption struct {
	arrival time.Time
	// Delay is the time from the arrival until the engine removed the stream.
	Delay time.Duration
	// Step is the duration of the engine step that was running at the arrival.
	Step time.Duration
}

func (result *Result) addAnswer(mutex *sync.Mutex, answer Answer) {
	mutex.Lock()
	defer mutex.Unlock()

	result.Answers = append(result.Answers, answer)
}

// FirstToken returns a quantile of the time to first token for a firm's requests, or
// for all requests if the firm is empty.
func (result *Result) FirstToken(firm string, quantile float64) time.Duration {
	times := []time.Duration{}

	for _, answer := range result.Answers {
		if answer.FirstToken > 0 && (firm == "" || answer.Firm == firm) {
			times = append(times, answer.FirstToken)
		}
	}

	return nearestRank(times, quantile)
}

// TokenInterval returns a quantile over all answers of their mean time between
// tokens.
func (result *Result) TokenInterval(quantile float64) time.Duration {
	times := []time.Duration{}

	for _, answer := range result.Answers {
		if answer.Tokens > 1 {
			times = append(times, answer.meanInterval())
		}
	}

	return nearestRank(times, quantile)
}

// RefusalWait returns a quantile of the time that callers waited for refusals.
func (result *Result) RefusalWait(quantile float64) time.Duration {
	times := []time.Duration{}
	for _, answer := range result.Answers {
		times = append(times, answer.Refusals...)
	}

	return nearestRank(times, quantile)
}

// RefusedShare returns the share of requests that were refused and got no complete
// answer.
func (result *Result) RefusedShare() float64 {
	refused := 0

	for _, answer := range result.Answers {
		if !answer.Complete && len(answer.Refusals) > 0 {
			refused++
		}
	}

	return float64(refused) / float64(max(1, len(result.Answers)))
}

// Goodput returns the number of complete answers a second that met both latency
// targets of the policy.
func (result *Result) Goodput(policy admitter.Policy) float64 {
	met := 0

	for _, answer := range result.Answers {
		if answer.metTargets(policy) {
			met++
		}
	}

	return float64(met) / result.Span.Seconds()
}

// OnlineTokenRate returns the number of generated online tokens a second.
func (result *Result) OnlineTokenRate() float64 {
	tokens := 0
	for _, answer := range result.Answers {
		tokens += answer.Tokens
	}

	return float64(tokens) / result.Span.Seconds()
}

// PromptTokenRate returns the number of online prompt tokens a second that can't
// come from the prefix cache.
func (result *Result) PromptTokenRate() float64 {
	tokens := 0
	for _, answer := range result.Answers {
		tokens += answer.OwnPrompt
	}

	return float64(tokens) / result.Span.Seconds()
}

// BatchTokenRate returns the number of generated batch tokens a second.
func (result *Result) BatchTokenRate() float64 {
	return float64(result.BatchTokens) / result.Span.Seconds()
}

// recoveryWindow is the length of the window of arrivals that is checked for recovery
// from an outage.
const recoveryWindow = 5 * time.Second

// RecoveryTime returns the time from the end of an outage to the first window in
// which the share of answers that met their targets is at least the given share of
// what it was before the outage. It returns Span if there is none.
func (result *Result) RecoveryTime(start, end time.Duration, policy admitter.Policy, share float64) time.Duration {
	normal := result.metShare(0, start, policy)

	for after := time.Duration(0); end+after+recoveryWindow <= start+result.Span; after += time.Second {
		if result.metShare(end+after, end+after+recoveryWindow, policy) >= share*normal {
			return after
		}
	}

	return result.Span
}

// metShare returns the share of the arrivals between two times whose answers met
// their targets.
func (result *Result) metShare(from, to time.Duration, policy admitter.Policy) float64 {
	arrived, met := 0, 0

	for _, answer := range result.Answers {
		if answer.ArrivedAt < from || answer.ArrivedAt >= to {
			continue
		}

		arrived++

		if answer.metTargets(policy) {
			met++
		}
	}

	return float64(met) / float64(max(1, arrived))
}

// WaitedRefusalShare returns the share of refusals that took longer than a
// millisecond.
func (result *Result) WaitedRefusalShare() float64 {
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

// meanInterval returns the mean time between the answer's tokens.
func (answer Answer) meanInterval() time.Duration {
	return (answer.LastToken - answer.FirstToken) / time.Duration(max(1, answer.Tokens-1))
}

// metTargets reports whether the answer is complete and met both latency targets of
// the policy.
func (answer Answer) metTargets(policy admitter.Policy) bool {
	return answer.Complete && answer.FirstToken <= policy.FirstToken && answer.meanInterval() <= policy.TokenInterval
}

// nearestRank returns the nearest-rank quantile, or zero if there are no values.
func nearestRank(times []time.Duration, quantile float64) time.Duration {
	if len(times) == 0 {
		return 0
	}

	slices.Sort(times)

	return times[int(quantile*float64(len(times)-1)+0.5)]
}
