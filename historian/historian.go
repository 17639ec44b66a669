package historian

import (
	"bufio"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

// maxLineBytes is the length of the longest line. Read fails at a longer one.
const maxLineBytes = 1 << 20

// Log fields that name the request, the job and the backend server of a line.
const (
	fieldRequest = "RequestID"
	fieldJob     = "JobID"
	fieldServer  = "BackendServer"
)

// Query selects log lines: those that have one of the given values. Empty
// fields match nothing.
type Query struct {
	RequestID     string
	JobID         string
	BackendServer string
	// Margin is how long before the first and after the last matching line
	// lines about the state of processes and servers are included; see
	// Historian.Find.
	Margin time.Duration
}

// Historian holds the log lines that were read from all processes.
type Historian struct {
	lines []Line
	// skippedLines counts lines that ParseLine did not recognise.
	skippedLines int
}

// NewHistorian returns a historian without any lines.
func NewHistorian() *Historian {
	return &Historian{}
}

// Read adds all lines of a log. Lines that do not name their instance get the
// name of the source instead.
func (historian *Historian) Read(source string, text io.Reader) error {
	scanner := bufio.NewScanner(text)
	scanner.Buffer(nil, maxLineBytes)

	for scanner.Scan() {
		line, parsed := ParseLine(source, scanner.Text())
		if !parsed {
			historian.skippedLines++

			continue
		}

		historian.lines = append(historian.lines, line)
	}

	return errors.Annotatef(scanner.Err(), "reading the log %s", source)
}

// SkippedLines returns how many lines were skipped because they do not have the form
// of the system's log lines.
func (historian *Historian) SkippedLines() int {
	return historian.skippedLines
}

// Find returns the lines that match, in order of time. With a margin it adds
// the lines around them that belong to no request or job and concern a backend
// server that the matching lines name, or no backend server.
func (historian *Historian) Find(query Query) []Line {
	matching, servers := []Line{}, map[string]bool{}

	for _, line := range historian.lines {
		if !query.matches(line) {
			continue
		}

		matching = append(matching, line)

		for _, server := range strings.Split(line.Fields[fieldServer], ",") {
			servers[server] = server != ""
		}
	}

	if query.Margin > 0 && len(matching) > 0 {
		matching = append(matching, historian.surroundingLines(query, servers, matching)...)
	}

	slices.SortStableFunc(matching, func(a, b Line) int { return a.Time.Compare(b.Time) })

	return matching
}

// matches returns whether a line concerns the request, job or backend server.
func (query Query) matches(line Line) bool {
	return equalsIfSet(query.RequestID, line.Fields[fieldRequest]) ||
		equalsIfSet(query.JobID, line.Fields[fieldJob]) ||
		equalsIfSet(query.BackendServer, line.Fields[fieldServer])
}

func equalsIfSet(wanted, value string) bool {
	return wanted != "" && wanted == value
}

// surroundingLines returns the lines within the margin around the matching ones
// that belong to no request or job and concern one of the servers, or none.
func (historian *Historian) surroundingLines(query Query, servers map[string]bool, matching []Line) []Line {
	first, last := matching[0].Time, matching[0].Time
	for _, line := range matching {
		first, last = earliest(first, line.Time), latest(last, line.Time)
	}

	found := []Line{}

	for _, line := range historian.lines {
		near := !line.Time.Before(first.Add(-query.Margin)) && !line.Time.After(last.Add(query.Margin))
		if !near || query.matches(line) || line.Fields[fieldRequest]+line.Fields[fieldJob] != "" {
			continue
		}

		if server := line.Fields[fieldServer]; server == "" || servers[server] {
			found = append(found, line)
		}
	}

	return found
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}

	return a
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}

	return a
}
