package checker

import (
	"fmt"
	"time"
)

// neverReverts holds when no process is seen to work by a lower revision than
// before, restarts included.
func neverReverts(events []Event, _ Bounds) []string {
	highest := map[string]uint64{}
	violations := []string{}

	for _, event := range only(events, KindInForce) {
		if event.Revision < highest[event.Process] {
			violations = append(violations, fmt.Sprintf("%s fell from revision %d to %d", event.Process, highest[event.Process], event.Revision))
		}

		highest[event.Process] = max(highest[event.Process], event.Revision)
	}

	return violations
}

// inForceInTime holds when no process is seen to work by an older revision
// than one acknowledged more than the bound before.
func inForceInTime(events []Event, bounds Bounds) []string {
	edits := only(events, KindEditAcknowledged)
	violations := []string{}

	for _, event := range only(events, KindInForce) {
		for _, edit := range edits {
			if age := event.At.Sub(edit.At); age > bounds.InForce && event.Revision < edit.Revision {
				violations = append(violations, fmt.Sprintf("%s works by revision %d, %v after %d was acknowledged", event.Process, event.Revision, age, edit.Revision))
			}
		}
	}

	return violations
}

// leavingStarts holds when no request starts at the backend server of a
// leaving process after the bound. A process that is started anew under the
// name is recorded as killed first. The process beside a backend server has
// its name.
func leavingStarts(events []Event, bounds Bounds) []string {
	leaving := map[string]time.Time{}
	violations := []string{}

	for _, event := range events {
		switch event.Kind {
		case KindLeaving:
			if _, found := leaving[event.Process]; !found {
				leaving[event.Process] = event.At
			}
		case KindKilled:
			delete(leaving, event.Process)
		case KindStarted:
			since, found := leaving[event.BackendServer]
			if late := event.At.Sub(since); found && late > bounds.Leaving {
				violations = append(violations, fmt.Sprintf("request %s started at %s, %v after it began to leave", event.Request, event.BackendServer, late))
			}
		default:
		}
	}

	return violations
}

// plannedStopCuts holds when no request is cut at a process that was told to
// stop in good order and not killed.
func plannedStopCuts(events []Event, _ Bounds) []string {
	leaving := map[string]bool{}
	violations := []string{}

	for _, event := range events {
		switch event.Kind {
		case KindLeaving:
			leaving[event.Process] = true
		case KindKilled:
			delete(leaving, event.Process)
		case KindCut:
			if leaving[event.Process] {
				violations = append(violations, fmt.Sprintf("request %s was cut while %s left", event.Request, event.Process))
			}
		default:
		}
	}

	return violations
}

// fenceNeverFalls holds when each backend server obeyed orders with fencing
// numbers that never fell, from before restarts of the process beside it too.
func fenceNeverFalls(events []Event, _ Bounds) []string {
	highest := map[string]uint64{}
	violations := []string{}

	for _, event := range only(events, KindOrdered) {
		if event.Fence < highest[event.BackendServer] {
			violations = append(violations, fmt.Sprintf("%s obeyed %d after %d", event.BackendServer, event.Fence, highest[event.BackendServer]))
		}

		highest[event.BackendServer] = max(highest[event.BackendServer], event.Fence)
	}

	return violations
}
