package handler

import "time"

// shape is the form of a completion's answer.
type shape int

const (
	shapeChat shape = iota
	shapeText
)

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

func (shape shape) whole(id, model, text string) completion {
	answer := completion{ID: id, Created: time.Now().Unix(), Model: model}

	if shape == shapeChat {
		answer.Object = "chat.completion"
		answer.Choices = []choice{{Message: &message{Role: "assistant", Content: text}}}
	} else {
		answer.Object = "text_completion"
		answer.Choices = []choice{{Text: &text}}
	}

	return answer
}

func (shape shape) chunk(id, model, text string) completion {
	answer := shape.whole(id, model, text)

	if shape == shapeChat {
		answer.Object = "chat.completion.chunk"
		answer.Choices[0].Delta = answer.Choices[0].Message
		answer.Choices[0].Message = nil
	}

	return answer
}
