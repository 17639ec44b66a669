package checker

import (
	"fmt"
	"time"
)

// revisionNeverDecreases checks that no process uses a lower revision than
// before, not even after a restart.
func revisionNeverDecreases(events []Event, _ Bounds) []string {
	highest := map[string]uint64{}
	violations := []string{}

	for _, event := range ofKind(events, KindInForce) {
		if event.Revision < highest[event.Process] {
			violations = append(violations, fmt.Sprintf("%s went back from revision %d to %d", event.Process, highest[event.Process], event.Revision))
		}

		highest[event.Process] = max(highest[event.Process], event.Revision)
	}

	return violations
}

// editAppliesInTime checks that no process uses a revision older than one that
// was acknowledged more than bounds.EditDelay before.
func editAppliesInTime(events []Event, bounds Bounds) []string {
	edits := ofKind(events, KindEditAcknowledged)
	violations := []string{}

	for _, event := range ofKind(events, KindInForce) {
		for _, edit := range edits {
			if age := event.Timestamp.Sub(edit.Timestamp); age > bounds.EditDelay && event.Revision < edit.Revision {
				violations = append(violations, fmt.Sprintf("%s used revision %d, %v after %d was acknowledged", event.Process, event.Revision, age, edit.Revision))
			}
		}
	}

	return violations
}

// noStartWhileLeaving checks that no request starts at the backend server of a
// leaving process later than bounds.StartWhileLeaving. A sidecar has the name of
// its backend server. Before a new process starts under the same name, the old
// one is recorded as killed.
func noStartWhileLeaving(events []Event, bounds Bounds) []string {
	leaving := map[string]time.Time{}
	violations := []string{}

	for _, event := range events {
		switch event.Kind {
		case KindLeaving:
			if _, found := leaving[event.Process]; !found {
				leaving[event.Process] = event.Timestamp
			}
		case KindKilled:
			delete(leaving, event.Process)
		case KindStarted:
			begin, found := leaving[event.BackendServer]
			if delay := event.Timestamp.Sub(begin); found && delay > bounds.StartWhileLeaving {
				violations = append(violations, fmt.Sprintf("request %s started at %s, %v after it began to leave", event.Request, event.BackendServer, delay))
			}
		default:
		}
	}

	return violations
}

// plannedStopCutsNoRequest checks that no request is cut at a process that
// leaves and was not killed.
func plannedStopCutsNoRequest(events []Event, _ Bounds) []string {
	leaving := map[string]bool{}
	violations := []string{}

	for _, event := range events {
		switch event.Kind {
		case KindLeaving:
			leaving[event.Process] = true
		case KindKilled:
			delete(leaving, event.Process)
		case KindConnectionLost:
			if leaving[event.Process] {
				violations = append(violations, fmt.Sprintf("request %s was cut while %s was leaving", event.Request, event.Process))
			}
		default:
		}
	}

	return violations
}

// fenceNeverDecreases checks that the fencing numbers of the orders that a
// backend server executes never decrease, not even after a restart of its
// sidecar.
func fenceNeverDecreases(events []Event, _ Bounds) []string {
	highest := map[string]uint64{}
	violations := []string{}

	for _, event := range ofKind(events, KindOrdered) {
		if event.Fence < highest[event.BackendServer] {
			violations = append(violations, fmt.Sprintf("%s executed an order with fencing number %d after %d", event.BackendServer, event.Fence, highest[event.BackendServer]))
		}

		highest[event.BackendServer] = max(highest[event.BackendServer], event.Fence)
	}

	return violations
}
