package historian

import (
	"strconv"
	"strings"
	"time"
)

// Line is one line of a process's log.
type Line struct {
	// Instance is what stands before the time, or else the name of the source.
	Instance string
	Time     time.Time
	// Text is the line from its time on.
	Text string
	// Fields are the line's fields by name, without quotes.
	Fields map[string]string
}

// maxPrefix is how many words a collector of logs may put before the time.
const maxPrefix = 4

// ParseLine reads a line that kernel.Formatter wrote, with or without words of
// a collector before it. It returns false for other lines.
func ParseLine(source, text string) (Line, bool) {
	line := Line{Instance: source, Text: text}

	for range maxPrefix {
		word, rest, found := strings.Cut(line.Text, " ")
		if !found {
			return line, false
		}

		at, err := time.Parse(time.RFC3339Nano, word)
		if err == nil {
			line.Time, line.Fields = at, fieldsOf(rest)

			return line, true
		}

		line.Instance, line.Text = strings.Trim(word, "[]|:"), strings.TrimLeft(rest, " |")
	}

	return line, false
}

// fieldsOf reads the fields, each Name="value" with the value quoted as in Go.
func fieldsOf(text string) map[string]string {
	fields := map[string]string{}

	for {
		before, after, found := strings.Cut(text, `="`)
		if !found {
			return fields
		}

		quoted, err := strconv.QuotedPrefix(`"` + after)
		if err != nil {
			return fields
		}

		value, err := strconv.Unquote(quoted)
		if err != nil {
			return fields
		}

		fields[before[strings.LastIndexByte(before, ' ')+1:]] = value
		text = after[len(quoted)-1:]
	}
}
