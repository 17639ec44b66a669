package handler

import (
	"encoding/json"
	"strings"
	"time"
)

// Completed is a whole completion that was kept.
type Completed struct {
	ID           string
	Model        string
	Text         string
	FinishReason string
	PromptTokens int
	Tokens       int
	Created      time.Time
}

// CompletionBody returns the body that a caller of the path would have read.
func CompletionBody(path string, completed Completed) json.RawMessage {
	form := shapeText
	if strings.HasSuffix(path, "/chat/completions") {
		form = shapeChat
	}

	body := form.whole(completed.ID, completed.Model, completed.Text, completed.Created)
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
