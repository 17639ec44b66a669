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
	// Fate is NotRun or MayHaveRun.
	Fate      Fate   `json:"Fate"`
	RequestID string `json:"RequestID,omitempty"`
	// Faults lists all faults of an invalid input at once.
	Faults []Fault `json:"Faults,omitempty"`
	// RetryAfter is sent in the Retry-After header.
	RetryAfter time.Duration `json:"-"`
}

// Fault describes one invalid field of an input.
type Fault struct {
	// Field is the path of the field, for example Services[2].Model.
	Field string
	// Value is the value that was given.
	Value string
	// Remedy says how to correct it.
	Remedy string
}

// NewProblem returns the problem document of an outcome other than Answered.
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

// Write sends the problem document as the HTTP response.
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
	// If the write fails, the caller's connection is gone and there is no one
	// to report it to.
	_, _ = writer.Write(body)
}
