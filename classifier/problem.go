package classifier

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// ProblemContentType is the media type of a problem document.
const ProblemContentType = "application/problem+json"

// Problem is a problem document (RFC 9457) with the project's extensions.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Fate is one of NotRun and MayHaveRun.
	Fate      Fate   `json:"Fate"`
	RequestID string `json:"RequestID,omitempty"`
	// Faults lists every fault of a bad input at once.
	Faults []Fault `json:"Faults,omitempty"`
	// RetryAfter travels as the header of that name.
	RetryAfter time.Duration `json:"-"`
}

// Fault is one fault of an input.
type Fault struct {
	// Field is the path of the field, for example Services[2].Model.
	Field string
	// Value is the value that was found.
	Value string
	// Remedy says what to do about it.
	Remedy string
}

// NewProblem returns the problem document of an outcome that is no answer.
func NewProblem(status int, requestID string, outcome Outcome) Problem {
	return Problem{
		Type:       "about:blank",
		Title:      http.StatusText(status),
		Status:     status,
		Detail:     outcome.Reason,
		Fate:       outcome.Fate,
		RequestID:  requestID,
		RetryAfter: outcome.RetryAfter,
	}
}

// Write sends the problem document.
func (problem Problem) Write(writer http.ResponseWriter) {
	body, err := json.Marshal(problem)
	if err != nil {
		panic("classifier: problem document cannot be encoded: " + err.Error())
	}

	writer.Header().Set("Content-Type", ProblemContentType)

	if problem.RetryAfter > 0 {
		seconds := int(math.Ceil(problem.RetryAfter.Seconds()))
		writer.Header().Set("Retry-After", strconv.Itoa(seconds))
	}

	writer.WriteHeader(problem.Status)
	// The connection is the caller's; a failed write has no one left to tell.
	_, _ = writer.Write(body)
}
