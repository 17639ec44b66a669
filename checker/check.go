package checker

import (
	"fmt"
	"maps"
	"slices"
)

// Rule returns a description of each violation of one rule.
type Rule func(events []Event, bounds Bounds) []string

// Rules returns all rules by name.
func Rules() map[string]Rule {
	return map[string]Rule{
		"Each request ends exactly once":                             requestEndsOnce,
		"Each accepted item has one result":                          itemHasOneResult,
		"Nothing starts after an acknowledged cancellation":          noStartAfterCancel,
		"A request refused as NotRun never starts":                   notRunNeverStarts,
		"A non-idempotent operation starts at most once":             operationStartsAtMostOnce,
		"An answer is complete and belongs to its request":           answerIsComplete,
		"The revision of the configuration in use never decreases":   revisionNeverDecreases,
		"An acknowledged configuration is in use in time":            editAppliesInTime,
		"A leaving process starts no request after the allowed time": noStartWhileLeaving,
		"A planned stop cuts no request":                             plannedStopCutsNoRequest,
		"The fencing numbers of executed orders never decrease":      fenceNeverDecreases,
	}
}

// Check returns every violation in the history, each after the name of its rule.
// Call it when no request or job is running any more.
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
