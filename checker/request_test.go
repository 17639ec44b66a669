package checker_test

import (
	"fmt"
	"strings"
	"time"

	"limpetrail/dispatcher"
	"limpetrail/emulator"
)

const (
	modelService   = "briefing"
	drafterService = "drafter"
	plainService   = "order"

	answerTokens = 40
	// defaultTimeout is longer than every timeout of an entry.
	defaultTimeout = 20 * time.Second
)

// request is a request that a caller may send several times.
type request struct {
	service    string
	idempotent bool
	// key is the idempotency key, or empty.
	key string
	// number is part of the body, so that bodies differ.
	number int
	// timeout is how long the caller waits.
	timeout time.Duration
}

func (request request) body() string {
	return fmt.Sprintf(`{"model":%q,"max_tokens":%d,"prompt":"Question %d"}`, request.service, answerTokens, request.number)
}

// expectedAnswer returns the complete answer, or nothing for a plain service,
// whose answer is not known in advance.
func (request request) expectedAnswer() string {
	if request.service == plainService {
		return ""
	}

	text := strings.Builder{}
	for index := range answerTokens {
		text.WriteString(emulator.TokenText(emulator.AnswerSeed([]byte(request.body())), index))
	}

	return text.String()
}

// newCall returns a copy of the request with a new ID.
func (request request) newCall() dispatcher.Call {
	return dispatcher.Call{
		ID:         dispatcher.NewRequestID(),
		Firm:       "konevuokra",
		Service:    request.service,
		Path:       "/v1/completions",
		Body:       []byte(request.body()),
		MediaType:  "application/json",
		Idempotent: request.idempotent,
		Plain:      request.service == plainService,
		Deadline:   time.Now().Add(request.timeout),
	}
}

// requestIDOf returns the ID of the copy that an ID at a backend server belongs
// to: the IDs of all attempts and rounds of a copy begin with the copy's ID.
func requestIDOf(id string) string {
	copyID, _, _ := dispatcher.SplitAttemptID(id)
	if end := strings.IndexAny(copyID, "-~"); end >= 0 {
		copyID = copyID[:end]
	}

	return copyID
}
