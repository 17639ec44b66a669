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
	// usualPatience is past every time-out of an entry.
	usualPatience = 20 * time.Second
)

// request is what a caller wants.
type request struct {
	service    string
	idempotent bool
	// key is its idempotency key, if it has one.
	key string
	// number makes its body differ from those of others.
	number int
	// patience is how long its caller waits.
	patience time.Duration
}

func (request request) body() string {
	return fmt.Sprintf(`{"model":%q,"max_tokens":%d,"prompt":"Question %d"}`, request.service, answerTokens, request.number)
}

// wanted is the whole answer, where it can be known beforehand.
func (request request) wanted() string {
	if request.service == plainService {
		return ""
	}

	text := strings.Builder{}
	for index := range answerTokens {
		text.WriteString(emulator.TokenText(emulator.AnswerSeed([]byte(request.body())), index))
	}

	return text.String()
}

// call is a copy of the request, with an ID of its own.
func (request request) call() dispatcher.Call {
	return dispatcher.Call{
		ID:         dispatcher.NewRequestID(),
		Firm:       "konevuokra",
		Service:    request.service,
		Path:       "/v1/completions",
		Body:       []byte(request.body()),
		MediaType:  "application/json",
		Idempotent: request.idempotent,
		Plain:      request.service == plainService,
		Deadline:   time.Now().Add(request.patience),
	}
}

// requestOf returns the copy that an ID at a backend server belongs to: all
// attempts and rounds of a copy begin with its ID.
func requestOf(id string) string {
	copied, _, _ := dispatcher.SplitAttemptID(id)
	if end := strings.IndexAny(copied, "-~"); end >= 0 {
		copied = copied[:end]
	}

	return copied
}
