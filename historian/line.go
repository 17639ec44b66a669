package historian

import (
	"strconv"
	"strings"
	"time"
)

// Line is one line of a process's log.
type Line struct {
	// Instance is the last word before the time, or the name of the source if
	// the line begins with the time.
	Instance string
	Time     time.Time
	// Text is the line without what precedes its time.
	Text string
	// Fields are the line's fields by name; the values are unquoted.
	Fields map[string]string
}

// maxPrefixWords is how many words ParseLine reads to find the time. Log
// collectors put words such as the instance's name before it.
const maxPrefixWords = 4

// ParseLine parses a line that kernel.Formatter wrote, with or without a prefix
// that a log collector added. It returns false for other lines.
func ParseLine(source, text string) (Line, bool) {
	line := Line{Instance: source, Text: text}

	for range maxPrefixWords {
		word, rest, found := strings.Cut(line.Text, " ")
		if !found {
			return line, false
		}

		at, err := time.Parse(time.RFC3339Nano, word)
		if err == nil {
			line.Time, line.Fields = at, parseFields(rest)

			return line, true
		}

		line.Instance, line.Text = strings.Trim(word, "[]|:"), strings.TrimLeft(rest, " |")
	}

	return line, false
}

// parseFields parses fields of the form Name="value", with the value quoted as
// in Go. It stops at the first malformed value.
func parseFields(text string) map[string]string {
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
