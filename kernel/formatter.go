package kernel

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// PartField is the log field that names the part a line comes from.
const PartField = "Part"

// Formatter writes one line a log entry: time, level, the part's prefix, the
// message and the remaining fields in order of their names.
type Formatter struct{}

var _ logrus.Formatter = Formatter{}

// Format implements logrus.Formatter.
func (formatter Formatter) Format(entry *logrus.Entry) ([]byte, error) {
	line := &bytes.Buffer{}
	fmt.Fprintf(line, "%s %-5.5s ", entry.Time.UTC().Format(time.RFC3339Nano), entry.Level)

	if part, found := entry.Data[PartField]; found {
		fmt.Fprintf(line, "%v: ", part)
	}

	line.WriteString(entry.Message)

	for _, name := range slices.Sorted(maps.Keys(entry.Data)) {
		if name != PartField {
			fmt.Fprintf(line, " %s=%q", name, fmt.Sprint(entry.Data[name]))
		}
	}

	line.WriteByte('\n')

	return line.Bytes(), nil
}
