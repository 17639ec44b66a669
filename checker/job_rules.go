package checker

import (
	"fmt"
	"time"
)

// itemHasOneResult checks that each accepted item has exactly one result in
// every read that returned results of its job, that it is the same in all of
// them, and that there was such a read.
func itemHasOneResult(events []Event, _ Bounds) []string {
	type jobRead struct {
		job    string
		number int
	}

	results := map[jobRead]map[string][]string{}

	for _, read := range ofKind(events, KindItemRead) {
		key := jobRead{job: read.Job, number: read.ReadNumber}
		if results[key] == nil {
			results[key] = map[string][]string{}
		}

		results[key][read.Request] = append(results[key][read.Request], read.Text)
	}

	violations := []string{}

	for _, item := range ofKind(events, KindItemAccepted) {
		texts := map[string]bool{}

		for key, items := range results {
			if key.job != item.Job {
				continue
			}

			found := items[item.Request]
			if len(found) != 1 {
				violations = append(violations, fmt.Sprintf("item %s of job %s has %d results in read %d", item.Request, item.Job, len(found), key.number))
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

// noStartAfterCancel checks that no item of a job starts after the job's
// cancellation was acknowledged.
func noStartAfterCancel(events []Event, _ Bounds) []string {
	cancelled := map[string]time.Time{}
	violations := []string{}

	for _, event := range events {
		switch event.Kind {
		case KindCancelAcknowledged:
			if _, found := cancelled[event.Job]; !found {
				cancelled[event.Job] = event.Timestamp
			}
		case KindStarted:
			at, found := cancelled[event.Job]
			if found && event.Job != "" {
				violations = append(violations, fmt.Sprintf("item %s of job %s started %v after the cancellation of the job was acknowledged", event.Request, event.Job, event.Timestamp.Sub(at)))
			}
		default:
		}
	}

	return violations
}
