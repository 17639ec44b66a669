package checker

import (
	"fmt"

	"limpetrail/classifier"
)

// requestEndsOnce checks that each sent request has exactly one end, and that no other
// request has one.
func requestEndsOnce(events []Event, _ Bounds) []string {
	ends := map[string]int{}

	for _, event := range events {
		switch event.Kind {
		case KindAnswered, KindRefused, KindConnectionLost:
			ends[event.Request]++
		default:
		}
	}

	violations := []string{}

	for _, sent := range ofKind(events, KindSent) {
		if count := ends[sent.Request]; count != 1 {
			violations = append(violations, fmt.Sprintf("request %s has %d ends", sent.Request, count))
		}

		delete(ends, sent.Request)
	}

	for request := range ends {
		violations = append(violations, fmt.Sprintf("request %s ended but was never sent", request))
	}

	return violations
}

// notRunNeverStarts checks that no request that was refused as not run started
// before or after the refusal.
func notRunNeverStarts(events []Event, _ Bounds) []string {
	refused := map[string]bool{}

	for _, event := range ofKind(events, KindRefused) {
		if event.Fate == classifier.NotRun {
			refused[event.Request] = true
		}
	}

	violations := []string{}

	for _, started := range ofKind(events, KindStarted) {
		if refused[started.Request] {
			violations = append(violations, fmt.Sprintf("request %s started at %s although it was refused as not run", started.Request, started.BackendServer))
		}
	}

	return violations
}

// operationStartsAtMostOnce checks that no non-idempotent operation started more
// than once, over all its copies and all backend servers.
func operationStartsAtMostOnce(events []Event, _ Bounds) []string {
	operations := map[string]string{}

	for _, event := range events {
		if (event.Kind == KindSent || event.Kind == KindItemAccepted) && !event.Idempotent {
			operations[event.Request] = operationOf(event)
		}
	}

	starts := map[string][]string{}

	for _, started := range ofKind(events, KindStarted) {
		if operation, found := operations[started.Request]; found {
			starts[operation] = append(starts[operation], started.Request+" at "+started.BackendServer)
		}
	}

	violations := []string{}

	for operation, attempts := range starts {
		if len(attempts) > 1 {
			violations = append(violations, fmt.Sprintf("operation %s started %d times: %v", operation, len(attempts), attempts))
		}
	}

	return violations
}

// answerIsComplete checks that each answer is the expected one, and that all
// copies of an operation get the same answer.
func answerIsComplete(events []Event, _ Bounds) []string {
	requests := map[string]Event{}
	for _, sent := range ofKind(events, KindSent) {
		requests[sent.Request] = sent
	}

	first := map[string]string{}
	violations := []string{}

	for _, answered := range ofKind(events, KindAnswered) {
		sent := requests[answered.Request]
		if sent.ExpectedAnswer != "" && answered.Text != sent.ExpectedAnswer {
			violations = append(violations, fmt.Sprintf("request %s expected %q and got %q", answered.Request, sent.ExpectedAnswer, answered.Text))
		}

		operation := operationOf(sent)

		earlier, found := first[operation]
		if !found {
			first[operation] = answered.Text
		} else if earlier != answered.Text {
			violations = append(violations, fmt.Sprintf("copies of %s got %q and %q", operation, earlier, answered.Text))
		}
	}

	return violations
}

func operationOf(event Event) string {
	if event.Operation == "" {
		return event.Request
	}

	return event.Operation
}
