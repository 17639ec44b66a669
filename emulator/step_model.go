package emulator

import "time"

// StepModel computes the duration of a step of continuous batching, in which every
// running stream produces one token.
type StepModel struct {
	// Base is the duration of a step with one stream.
	Base time.Duration
	// PerStream is added for each additional stream.
	PerStream time.Duration
	// PerPromptToken is added in a stream's first step for each prompt token that the
	// prefix cache doesn't hold.
	PerPromptToken time.Duration
	// MaxStreams is the maximum number of streams in a step; later ones wait inside the
	// engine in order of arrival. Zero means no limit.
	MaxStreams int
	// CacheBlocks is the capacity of the prefix cache, in blocks of BlockTokens.
	CacheBlocks int
	// ReportLag is the minimum age at which a load report is replaced.
	ReportLag time.Duration
}

// defaultCacheBlocks is enough for the prompts of a test or a demo.
const defaultCacheBlocks = 4096

// DefaultStepModel returns a model that is fast enough for tests and a demo.
func DefaultStepModel() StepModel {
	return StepModel{
		Base:           2 * time.Millisecond,
		PerStream:      50 * time.Microsecond,
		PerPromptToken: 2 * time.Microsecond,
		CacheBlocks:    defaultCacheBlocks,
	}
}

// Step returns the duration of a step with the given number of streams, which prefill
// the given number of uncached prompt tokens.
func (model StepModel) Step(streams, promptTokens int) time.Duration {
	return model.Base + time.Duration(streams-1)*model.PerStream + time.Duration(promptTokens)*model.PerPromptToken
}
