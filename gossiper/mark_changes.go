package gossiper

import (
	"maps"

	"limpetrail/keeper"
)

// markChanges decides which marks a report carries: all with a full report, and otherwise those
// that changed in the last coveredReports reports. The others are known to the receivers.
type markChanges struct {
	marks   map[string]keeper.Revision
	changed map[string]int64
}

func newMarkChanges() *markChanges {
	return &markChanges{marks: map[string]keeper.Revision{}, changed: map[string]int64{}}
}

func (changes *markChanges) fill(report *Report, marks map[string]keeper.Revision) {
	for prefix, revision := range marks {
		if changes.marks[prefix] != revision {
			changes.changed[prefix] = report.Number
		}
	}

	changes.marks = marks
	report.Marks = maps.Clone(marks)

	if report.Since > 0 {
		maps.DeleteFunc(report.Marks, func(prefix string, _ keeper.Revision) bool { return changes.changed[prefix] <= report.Since })
	}
}
