package scheduler

import (
	"bytes"
	"encoding/json"

	"github.com/juju/errors"
)

// ItemFate is the recorded outcome of an item.
type ItemFate string

// Outcomes of an item. Items of a cancelled job that did not run have none.
const (
	// ItemAnswered means that the item has an answer.
	ItemAnswered ItemFate = "Answered"
	// ItemFailed means that the item cannot be completed.
	ItemFailed ItemFate = "Failed"
	// ItemMayHaveRun means that a non-idempotent item was sent, but no answer
	// was received, so that it may or may not have run.
	ItemMayHaveRun ItemFate = "MayHaveRun"
)

// Result is the recorded result of one item.
type Result struct {
	Index int
	Fate  ItemFate
	// Status and Body are the answer of a plain service. For a model Body is
	// the generated text.
	Status       int    `json:",omitempty"`
	Body         []byte `json:",omitempty"`
	Reason       string `json:",omitempty"`
	FinishReason string `json:",omitempty"`
	PromptTokens int    `json:",omitempty"`
	Tokens       int    `json:",omitempty"`
}

func encodeResults(results []Result) []byte {
	buffer := &bytes.Buffer{}
	encoder := json.NewEncoder(buffer)

	for _, result := range results {
		if err := encoder.Encode(result); err != nil {
			panic("scheduler: result cannot be encoded: " + err.Error())
		}
	}

	return buffer.Bytes()
}

func decodeResults(lines []byte) ([]Result, error) {
	results := []Result{}

	for line := range bytes.Lines(lines) {
		result := Result{}
		if err := json.Unmarshal(line, &result); err != nil {
			return nil, errors.Annotate(err, "decoding a result")
		}

		results = append(results, result)
	}

	return results, nil
}
