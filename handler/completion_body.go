package handler

import (
	"encoding/json"
	"strings"
	"time"
)

// StoredCompletion is the stored result of a completion.
type StoredCompletion struct {
	ID           string
	Model        string
	Text         string
	FinishReason string
	PromptTokens int
	Tokens       int
	Created      time.Time
}

// CompletionBody returns the response body that an online caller of the path
// would get for the completion.
func CompletionBody(path string, completed StoredCompletion) json.RawMessage {
	format := formatText
	if strings.HasSuffix(path, "/chat/completions") {
		format = formatChat
	}

	body := format.newCompletion(completed.ID, completed.Model, completed.Text, completed.Created)
	body.Choices[0].FinishReason = &completed.FinishReason
	body.Usage = &usage{
		PromptTokens:     completed.PromptTokens,
		CompletionTokens: completed.Tokens,
		TotalTokens:      completed.PromptTokens + completed.Tokens,
	}

	encoded, err := json.Marshal(body)
	if err != nil {
		panic("handler: completion cannot be encoded: " + err.Error())
	}

	return encoded
}
