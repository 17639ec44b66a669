package checker

import (
	"fmt"
	"maps"
	"slices"
)

// Rule returns each violation of one promise as a sentence.
type Rule func(events []Event, bounds Bounds) []string

// Rules are all promises by name.
func Rules() map[string]Rule {
	return map[string]Rule{
		"Each request ends once":                              endsOnce,
		"Each accepted item has one result":                   oneResult,
		"Nothing starts after an acknowledged cancellation":   cancelStops,
		"NotRun is true":                                      notRunIsTrue,
		"A non-idempotent operation starts at most once":      atMostOnce,
		"An answer is whole and belongs to its request":       answerIsWhole,
		"The configuration in force never falls":              neverReverts,
		"An acknowledged configuration is in force in time":   inForceInTime,
		"A leaving process gives no new work after its bound": leavingStarts,
		"A planned stop cuts no request":                      plannedStopCuts,
		"Fencing numbers obeyed never fall":                   fenceNeverFalls,
	}
}

// Check returns every violation in the history, with its rule's name. It is to
// be called once everything has come to rest.
func Check(history *History, bounds Bounds) []string {
	events := history.Events()
	violations := []string{}

	rules := Rules()

	for _, name := range slices.Sorted(maps.Keys(rules)) {
		for _, violation := range rules[name](events, bounds) {
			violations = append(violations, fmt.Sprintf("%s: %s", name, violation))
		}
	}

	return violations
}
