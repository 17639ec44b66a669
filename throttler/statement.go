package throttler

import (
	"math"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Statement is what an answer of a backend server says of the requests that the server takes.
// The zero value says that there is no limit.
type Statement struct {
	// Limited tells whether the server names a limit.
	Limited bool
	// PerSecond is how many requests a second the server takes from all entries together. It
	// is finite and not negative, and 0 if Limited is not set.
	PerSecond float64
}

// ParseStatement parses the decimal number of requests a second in an answer; an empty text
// states that there is no limit.
func ParseStatement(text string) (Statement, error) {
	text = strings.TrimSpace(text)
	if text == "" {
		return Statement{}, nil
	}

	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return Statement{}, errors.NotValidf("limit %q, expected a decimal number of requests a second,", text)
	}

	return Statement{Limited: true, PerSecond: perSecond}, nil
}
