package gossiper

import (
	"maps"
	"time"

	"limpetrail/placer"
)

const (
	// fullInterval is the longest time between two reports that carry all loads. In between,
	// reports carry only those that changed: in a fleet of 20 gateways, full reports were most
	// of the bytes between data centres.
	fullInterval = 400 * time.Millisecond
	// coveredReports is the number of reports for which a changed load is repeated. A receiver
	// may lose one fewer in a row without a gap.
	coveredReports = 4
)

// loadChanges decides which loads a report carries.
type loadChanges struct {
	fullAt time.Time
	// loads holds the loads of the last report, changed the number of the report in which each
	// changed, as long as it is repeated.
	loads   map[string]placer.Load
	changed map[string]int64
}

func newLoadChanges() *loadChanges {
	return &loadChanges{loads: map[string]placer.Load{}, changed: map[string]int64{}}
}

// fill sets the loads of a numbered report: all of them, or those that changed lately. A load
// that is gone is reported as zero.
func (changes *loadChanges) fill(report *Report, loads map[string]placer.Load, now time.Time) {
	for id := range changes.loads {
		if _, running := loads[id]; !running {
			changes.changed[id] = report.Number
		}
	}

	for id, load := range loads {
		if changes.loads[id] != load {
			changes.changed[id] = report.Number
		}
	}

	changes.loads = loads

	if report.Number <= coveredReports || now.Sub(changes.fullAt) >= fullInterval {
		changes.fullAt = now
		report.Loads, report.Since = loads, 0

		return
	}

	report.Loads, report.Since = map[string]placer.Load{}, report.Number-coveredReports

	for id, number := range changes.changed {
		if number <= report.Since {
			delete(changes.changed, id)

			continue
		}

		report.Loads[id] = loads[id]
	}
}

// mergedLoads returns the loads of an entry after a report. The second result is false if it
// does not follow from the reports that were received; a full report is on its way then.
func (received receivedReport) mergedLoads(report Report) (map[string]placer.Load, bool) {
	if report.Since == 0 {
		// An entry that runs nothing sends no loads at all.
		return maps.Collect(maps.All(report.Loads)), true
	}

	if received.loads == nil || report.Incarnation != received.incarnation || received.loadsNumber < report.Since {
		return nil, false
	}

	merged := maps.Clone(received.loads)

	for id, load := range report.Loads {
		if load == (placer.Load{}) {
			delete(merged, id)
		} else {
			merged[id] = load
		}
	}

	return merged, true
}
