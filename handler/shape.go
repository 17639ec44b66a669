package handler

import (
	"strings"
	"time"

	"limpetrail/dispatcher"
)

// shape is the form of a completion's answer.
type shape int

const (
	shapeChat shape = iota
	shapeText
)

// Prefixes of request IDs, which tell the form of the answer.
const (
	chatPrefix = "chat-"
	textPrefix = "text-"
)

// newID returns a request ID for an answer of this form.
func (shape shape) newID() string {
	if shape == shapeChat {
		return chatPrefix + dispatcher.NewRequestID()
	}

	return textPrefix + dispatcher.NewRequestID()
}

// shapeOf returns the form that a request ID tells.
func shapeOf(id string) (shape, bool) {
	switch {
	case strings.HasPrefix(id, chatPrefix):
		return shapeChat, true
	case strings.HasPrefix(id, textPrefix):
		return shapeText, true
	default:
		return 0, false
	}
}

// choice is one alternative of an answer; limpetrail gives one.
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

// completion is an answer or one chunk of it.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (shape shape) whole(id, model, text string, created time.Time) completion {
	answer := completion{ID: id, Created: created.Unix(), Model: model}

	if shape == shapeChat {
		answer.Object = "chat.completion"
		answer.Choices = []choice{{Message: &message{Role: "assistant", Content: text}}}
	} else {
		answer.Object = "text_completion"
		answer.Choices = []choice{{Text: &text}}
	}

	return answer
}

func (shape shape) chunk(id, model, text string, created time.Time) completion {
	answer := shape.whole(id, model, text, created)

	if shape == shapeChat {
		answer.Object = "chat.completion.chunk"
		answer.Choices[0].Delta = answer.Choices[0].Message
		answer.Choices[0].Message = nil
	}

	return answer
}
