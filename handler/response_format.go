package handler

import (
	"strings"
	"time"

	"limpetrail/dispatcher"
)

// responseFormat is the JSON format of a completion: that of the chat or of the
// text completion endpoint.
type responseFormat int

const (
	formatChat responseFormat = iota
	formatText
)

// Prefixes of request IDs, which encode the format of the answer.
const (
	chatIDPrefix = "chat-"
	textIDPrefix = "text-"
)

// newRequestID returns a new request ID for an answer in this format.
func (format responseFormat) newRequestID() string {
	if format == formatChat {
		return chatIDPrefix + dispatcher.NewRequestID()
	}

	return textIDPrefix + dispatcher.NewRequestID()
}

// formatOf returns the format that a request ID encodes.
func formatOf(id string) (responseFormat, bool) {
	switch {
	case strings.HasPrefix(id, chatIDPrefix):
		return formatChat, true
	case strings.HasPrefix(id, textIDPrefix):
		return formatText, true
	default:
		return 0, false
	}
}

// choice is one alternative of an answer; limpetrail always returns exactly one.
type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// completion is a whole answer or one chunk of a streamed one.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// newCompletion returns a whole answer with the text.
func (format responseFormat) newCompletion(id, model, text string, created time.Time) completion {
	answer := completion{ID: id, Created: created.Unix(), Model: model}

	if format == formatChat {
		answer.Object = "chat.completion"
		answer.Choices = []choice{{Message: &message{Role: "assistant", Content: text}}}
	} else {
		answer.Object = "text_completion"
		answer.Choices = []choice{{Text: &text}}
	}

	return answer
}

// newChunk returns a chunk of a streamed answer with the text.
func (format responseFormat) newChunk(id, model, text string, created time.Time) completion {
	answer := format.newCompletion(id, model, text, created)

	if format == formatChat {
		answer.Object = "chat.completion.chunk"
		answer.Choices[0].Delta = answer.Choices[0].Message
		answer.Choices[0].Message = nil
	}

	return answer
}
