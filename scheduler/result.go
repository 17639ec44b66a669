package scheduler

import (
	"bytes"
	"encoding/json"

	"github.com/juju/errors"
)

// ItemFate is the recorded end of an item.
type ItemFate string

// Ends of an item. An item of a cancelled job without a result has none.
const (
	ItemAnswered ItemFate = "Answered"
	// ItemFailed means that the item cannot be completed.
	ItemFailed ItemFate = "Failed"
	// ItemMayHaveRun means that a non-idempotent item's answer is lost.
	ItemMayHaveRun ItemFate = "MayHaveRun"
)

// Result is the recorded result of one item.
type Result struct {
	Index int
	Fate  ItemFate
	// Status and Body are a plain service's answer; of a model Body is the
	// text.
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
