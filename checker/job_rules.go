package checker

import (
	"fmt"
	"time"
)

// oneResult holds when each accepted item has exactly one result in every
// reading that has any of its job, and the same in all of them; there must be
// a reading.
func oneResult(events []Event, _ Bounds) []string {
	type place struct {
		job     string
		reading int
	}

	results := map[place]map[string][]string{}

	for _, read := range only(events, KindItemRead) {
		at := place{job: read.Job, reading: read.Reading}
		if results[at] == nil {
			results[at] = map[string][]string{}
		}

		results[at][read.Request] = append(results[at][read.Request], read.Text)
	}

	violations := []string{}

	for _, item := range only(events, KindItemAccepted) {
		texts := map[string]bool{}

		for at, items := range results {
			if at.job != item.Job {
				continue
			}

			found := items[item.Request]
			if len(found) != 1 {
				violations = append(violations, fmt.Sprintf("item %s of job %s has %d results in reading %d", item.Request, item.Job, len(found), at.reading))
			}

			for _, text := range found {
				texts[text] = true
			}
		}

		switch len(texts) {
		case 0:
			violations = append(violations, fmt.Sprintf("item %s of job %s has no result", item.Request, item.Job))
		case 1:
		default:
			violations = append(violations, fmt.Sprintf("item %s of job %s has %d different results", item.Request, item.Job, len(texts)))
		}
	}

	return violations
}

// cancelStops holds when no item of a job starts after its cancellation was
// acknowledged.
func cancelStops(events []Event, _ Bounds) []string {
	cancelled := map[string]time.Time{}
	violations := []string{}

	for _, event := range events {
		switch event.Kind {
		case KindCancelAcknowledged:
			if _, found := cancelled[event.Job]; !found {
				cancelled[event.Job] = event.At
			}
		case KindStarted:
			at, found := cancelled[event.Job]
			if found && event.Job != "" {
				violations = append(violations, fmt.Sprintf("item %s of job %s started %v after its cancellation", event.Request, event.Job, event.At.Sub(at)))
			}
		default:
		}
	}

	return violations
}
