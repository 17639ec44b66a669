package kernel

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
)

// PartField is the log field that names the part that wrote the line.
const PartField = "Part"

// Initial capacities for formatting a line; they grow as needed.
const (
	initialLineBytes  = 512
	initialFields     = 24
	initialValueBytes = 64
)

// Formatter writes each log entry as one line: time, level, part, message and
// the other fields sorted by name.
type Formatter struct{}

var _ logrus.Formatter = Formatter{}

// Format implements logrus.Formatter.
func (formatter Formatter) Format(entry *logrus.Entry) ([]byte, error) {
	line := make([]byte, 0, initialLineBytes)
	line = entry.Time.UTC().AppendFormat(line, time.RFC3339Nano)
	line = fmt.Appendf(line, " %-5.5s ", entry.Level)

	if part, found := entry.Data[PartField]; found {
		line = append(appendValue(line, part), ": "...)
	}

	line = append(line, entry.Message...)

	// Map order is random, so the names are sorted. The constant capacity keeps
	// the slice off the heap.
	names := make([]string, 0, initialFields)
	for name := range entry.Data {
		names = append(names, name)
	}

	slices.Sort(names)

	value := make([]byte, 0, initialValueBytes)

	for _, name := range names {
		if name == PartField {
			continue
		}

		line = append(append(append(line, ' '), name...), '=')
		value = appendValue(value[:0], entry.Data[name])
		line = strconv.AppendQuote(line, string(value))
	}

	return append(line, '\n'), nil
}

// appendValue appends a value as fmt.Sprint formats it. The most frequent types
// avoid reflection, because a gateway logs seventeen fields for each request that
// failed.
func appendValue(text []byte, value any) []byte {
	switch value := value.(type) {
	case string:
		return append(text, value...)
	case time.Duration:
		return append(text, value.String()...)
	case int:
		return strconv.AppendInt(text, int64(value), 10)
	case int64:
		return strconv.AppendInt(text, value, 10)
	case uint64:
		return strconv.AppendUint(text, value, 10)
	case bool:
		return strconv.AppendBool(text, value)
	default:
		return fmt.Append(text, value)
	}
}
