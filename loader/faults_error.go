package loader

import (
	"fmt"
	"strings"

	"limpetrail/classifier"
)

// FaultsError lists all faults of a settings file.
type FaultsError struct {
	Path   string
	Faults []classifier.Fault
}

var _ error = FaultsError{}

// Error returns a text with one line for each fault.
func (faults FaultsError) Error() string {
	lines := []string{fmt.Sprintf("settings %s: %d faults", faults.Path, len(faults.Faults))}
	for _, fault := range faults.Faults {
		lines = append(lines, fmt.Sprintf("  %s = %q: %s", fault.Field, fault.Value, fault.Remedy))
	}

	return strings.Join(lines, "\n")
}
