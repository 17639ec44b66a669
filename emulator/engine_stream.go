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

// engineStream is one running answer.
type engineStream struct {
	context    context.Context //nolint:containedctx // The stream ends with its caller.
	generation driver.Generation
	// tokens holds a whole answer, so that a slow reader stops nobody.
	tokens  chan driver.Token
	failure error
	// next is the index of the coming token.
	next         int
	maxTokens    int
	promptTokens int
	// words are the tokens of the prompt and those produced so far.
	words     []string
	seed      string
	fatal     bool
	prefilled bool
	cancelled bool
	// ended is set once tokens is closed.
	ended bool
}

func newEngineStream(ctx context.Context, generation driver.Generation) *engineStream {
	settings := struct {
		MaxTokens int `json:"max_tokens"`
	}{MaxTokens: defaultMaxTokens}
	// A body that is no JSON gets the default length.
	_ = json.Unmarshal(generation.Body, &settings)

	words := strings.Fields(string(generation.Body))
	maxTokens := max(1, min(settings.MaxTokens, maxAnswer))

	return &engineStream{
		context:      ctx,
		generation:   generation,
		tokens:       make(chan driver.Token, max(1, maxTokens-len(generation.Prefix))),
		next:         len(generation.Prefix),
		maxTokens:    maxTokens,
		promptTokens: len(words),
		words:        append(words, generation.Prefix...),
		seed:         Seed(generation.Body),
		fatal:        strings.Contains(string(generation.Body), TextFatal),
	}
}

// Seed is the text that every token of the answer to this body carries, so
// that a check can tell whose answer it is.
func Seed(body []byte) string {
	hash := fnv.New32a()
	hash.Write(body)

	return strconv.FormatUint(uint64(hash.Sum32()), 36)
}

// TokenText is the text of one token of an answer.
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

// Close implements driver.Stream; the stream ends with its context.
func (stream *engineStream) Close() error { return nil }

func (stream *engineStream) yield() {
	token := driver.Token{Index: stream.next, Text: TokenText(stream.seed, stream.next)}
	stream.next++
	stream.words = append(stream.words, token.Text)

	if stream.next >= stream.maxTokens {
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
