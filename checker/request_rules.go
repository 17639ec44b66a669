package checker

import (
	"fmt"

	"limpetrail/classifier"
)

// endsOnce holds when each sent request has exactly one end.
func endsOnce(events []Event, _ Bounds) []string {
	ends := map[string]int{}

	for _, event := range events {
		switch event.Kind {
		case KindAnswered, KindRefused, KindCut:
			ends[event.Request]++
		default:
		}
	}

	violations := []string{}

	for _, sent := range only(events, KindSent) {
		if count := ends[sent.Request]; count != 1 {
			violations = append(violations, fmt.Sprintf("request %s has %d ends", sent.Request, count))
		}

		delete(ends, sent.Request)
	}

	for request := range ends {
		violations = append(violations, fmt.Sprintf("request %s ended and was never sent", request))
	}

	return violations
}

// notRunIsTrue holds when no request that was refused as not run ever started,
// before the refusal or after it.
func notRunIsTrue(events []Event, _ Bounds) []string {
	refused := map[string]bool{}

	for _, event := range only(events, KindRefused) {
		if event.Fate == classifier.NotRun {
			refused[event.Request] = true
		}
	}

	violations := []string{}

	for _, started := range only(events, KindStarted) {
		if refused[started.Request] {
			violations = append(violations, fmt.Sprintf("request %s started at %s and was refused as not run", started.Request, started.BackendServer))
		}
	}

	return violations
}

// atMostOnce holds when no non-idempotent operation started twice over all
// backend servers, whichever of its copies did.
func atMostOnce(events []Event, _ Bounds) []string {
	operations := map[string]string{}

	for _, event := range events {
		if (event.Kind == KindSent || event.Kind == KindItemAccepted) && !event.Idempotent {
			operations[event.Request] = operationOf(event)
		}
	}

	starts := map[string][]string{}

	for _, started := range only(events, KindStarted) {
		if operation, found := operations[started.Request]; found {
			starts[operation] = append(starts[operation], started.Request+" at "+started.BackendServer)
		}
	}

	violations := []string{}

	for operation, places := range starts {
		if len(places) > 1 {
			violations = append(violations, fmt.Sprintf("operation %s started %d times: %v", operation, len(places), places))
		}
	}

	return violations
}

// answerIsWhole holds when each answer is what its request wanted, and copies
// of one operation got the same.
func answerIsWhole(events []Event, _ Bounds) []string {
	wanted := map[string]Event{}
	for _, sent := range only(events, KindSent) {
		wanted[sent.Request] = sent
	}

	first := map[string]string{}
	violations := []string{}

	for _, answered := range only(events, KindAnswered) {
		sent := wanted[answered.Request]
		if sent.Wanted != "" && answered.Text != sent.Wanted {
			violations = append(violations, fmt.Sprintf("request %s wanted %q and got %q", answered.Request, sent.Wanted, answered.Text))
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
