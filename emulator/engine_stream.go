package emulator

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"io"
	"strconv"
	"strings"

	"limpetrail/driver"
)

// engineStream is one answer of an engine.
type engineStream struct {
	context    context.Context //nolint:containedctx // The stream ends when the caller's context does.
	generation driver.Generation
	// tokens can buffer a whole answer, so that a slow reader doesn't block the engine.
	tokens  chan driver.Token
	failure error
	// nextIndex is the index of the next token.
	nextIndex    int
	maxTokens    int
	promptTokens int
	// words holds the tokens of the prompt and those produced so far.
	words         []string
	seed          string
	crashesEngine bool
	prefilled     bool
	cancelled     bool
	// ended is set once tokens is closed.
	ended bool
}

func newEngineStream(ctx context.Context, generation driver.Generation) *engineStream {
	settings := struct {
		MaxTokens int `json:"max_tokens"`
	}{MaxTokens: defaultMaxTokens}
	// If the body isn't JSON, the answer has the default length.
	_ = json.Unmarshal(generation.Body, &settings)

	words := strings.Fields(string(generation.Body))
	maxTokens := max(1, min(settings.MaxTokens, maxAnswerTokens))

	return &engineStream{
		context:       ctx,
		generation:    generation,
		tokens:        make(chan driver.Token, max(1, maxTokens-len(generation.Prefix))),
		nextIndex:     len(generation.Prefix),
		maxTokens:     maxTokens,
		promptTokens:  len(words),
		words:         append(words, generation.Prefix...),
		seed:          AnswerSeed(generation.Body),
		crashesEngine: strings.Contains(string(generation.Body), TextFatal),
	}
}

// AnswerSeed returns the text with which every token of the answer to this body begins, so
// that a test can tell which request an answer belongs to.
func AnswerSeed(body []byte) string {
	hash := fnv.New32a()
	hash.Write(body)

	return strconv.FormatUint(uint64(hash.Sum32()), 36)
}

// TokenText returns the text of one token of an answer.
func TokenText(seed string, index int) string {
	return seed + "." + strconv.Itoa(index) + " "
}

// Next implements driver.Stream.
func (stream *engineStream) Next() (driver.Token, error) {
	token, open := <-stream.tokens
	switch {
	case open:
		return token, nil
	case stream.failure != nil:
		return driver.Token{}, stream.failure
	default:
		return driver.Token{}, io.EOF
	}
}

// Close implements driver.Stream. It does nothing: the stream ends with its context.
func (stream *engineStream) Close() error { return nil }

func (stream *engineStream) produceToken() {
	token := driver.Token{Index: stream.nextIndex, Text: TokenText(stream.seed, stream.nextIndex)}
	stream.nextIndex++
	stream.words = append(stream.words, token.Text)

	if stream.nextIndex >= stream.maxTokens {
		token.Finish = "length"
		token.PromptTokens = stream.promptTokens
	}

	stream.tokens <- token

	if token.Finish != "" {
		stream.end()
	}
}

func (stream *engineStream) fail(failure error) {
	stream.failure = failure
	stream.end()
}

func (stream *engineStream) end() {
	if !stream.ended {
		stream.ended = true
		close(stream.tokens)
	}
}
