package historian

import (
	"bufio"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

// maxLine bounds a line; longer ones end the reading with an error.
const maxLine = 1 << 20

// Names of the fields that say what a line is about.
const (
	fieldRequest = "RequestID"
	fieldJob     = "JobID"
	fieldServer  = "BackendServer"
)

// Question is what an operator wants to know. Empty fields ask for nothing.
type Question struct {
	RequestID     string
	JobID         string
	BackendServer string
	// Around is how long before and after those lines the beliefs of the
	// processes are shown as well.
	Around time.Duration
}

// Historian holds the lines of all processes that were read.
type Historian struct {
	lines []Line
	// unread counts lines of another form.
	unread int
}

// NewHistorian returns a historian that has read nothing.
func NewHistorian() *Historian {
	return &Historian{}
}

// Read takes in all lines of a source, which stands for an instance where the
// lines do not name theirs.
func (historian *Historian) Read(source string, text io.Reader) error {
	scanner := bufio.NewScanner(text)
	scanner.Buffer(nil, maxLine)

	for scanner.Scan() {
		line, read := ParseLine(source, scanner.Text())
		if !read {
			historian.unread++

			continue
		}

		historian.lines = append(historian.lines, line)
	}

	return errors.Annotatef(scanner.Err(), "reading the log %s", source)
}

// Unread returns how many lines had another form.
func (historian *Historian) Unread() int {
	return historian.unread
}

// Tell returns the lines that answer the question, in the order of their times:
// those about the request, job or server, then those that changed a belief
// around them about a server that they name, or about the process itself.
func (historian *Historian) Tell(question Question) []Line {
	told, servers := []Line{}, map[string]bool{}

	for _, line := range historian.lines {
		if !question.names(line) {
			continue
		}

		told = append(told, line)

		for _, server := range strings.Split(line.Fields[fieldServer], ",") {
			servers[server] = server != ""
		}
	}

	if question.Around > 0 && len(told) > 0 {
		told = append(told, historian.beliefs(question, servers, told)...)
	}

	slices.SortStableFunc(told, func(a, b Line) int { return a.Time.Compare(b.Time) })

	return told
}

// names tells whether a line is about what is asked.
func (question Question) names(line Line) bool {
	return asked(question.RequestID, line.Fields[fieldRequest]) ||
		asked(question.JobID, line.Fields[fieldJob]) ||
		asked(question.BackendServer, line.Fields[fieldServer])
}

func asked(question, value string) bool {
	return question != "" && question == value
}

// beliefs returns the lines near the told ones that are about no other request
// or job: about a server that they name, or about none.
func (historian *Historian) beliefs(question Question, servers map[string]bool, told []Line) []Line {
	first, last := told[0].Time, told[0].Time
	for _, line := range told {
		first, last = earliest(first, line.Time), latest(last, line.Time)
	}

	found := []Line{}

	for _, line := range historian.lines {
		near := !line.Time.Before(first.Add(-question.Around)) && !line.Time.After(last.Add(question.Around))
		if !near || question.names(line) || line.Fields[fieldRequest]+line.Fields[fieldJob] != "" {
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
