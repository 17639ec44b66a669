package loader

import (
	"fmt"
	"strings"

	"limpetrail/classifier"
)

// FaultsError is every fault of one settings file, as an error.
type FaultsError struct {
	Path   string
	Faults []classifier.Fault
}

var _ error = FaultsError{}

// Error lists a fault on each line.
func (faults FaultsError) Error() string {
	lines := []string{fmt.Sprintf("settings %s: %d faults", faults.Path, len(faults.Faults))}
	for _, fault := range faults.Faults {
		lines = append(lines, fmt.Sprintf("  %s = %q: %s", fault.Field, fault.Value, fault.Remedy))
	}

	return strings.Join(lines, "\n")
}
