package emulator

import "time"

// StepModel gives the time of one step of continuous batching: every running
// stream yields a token each step.
type StepModel struct {
	// Base is the time of a step that carries one stream.
	Base time.Duration
	// PerStream is added for each further stream.
	PerStream time.Duration
	// PerPromptToken is added for each prompt token of a stream's first step
	// that the prefix cache does not hold.
	PerPromptToken time.Duration
	// MaxStreams is how many streams a step carries; later ones wait inside
	// the engine in order of arrival. Zero means no bound.
	MaxStreams int
	// CacheBlocks bounds the prefix cache, in blocks of BlockTokens.
	CacheBlocks int
	// ReportLag is the least age at which a load report is replaced.
	ReportLag time.Duration
}

// defaultCacheBlocks holds the prompts of a test or a demo.
const defaultCacheBlocks = 4096

// DefaultStepModel is fast enough for tests and a demo.
func DefaultStepModel() StepModel {
	return StepModel{
		Base:           2 * time.Millisecond,
		PerStream:      50 * time.Microsecond,
		PerPromptToken: 2 * time.Microsecond,
		CacheBlocks:    defaultCacheBlocks,
	}
}

// Step returns the time of a step of that many streams, of which some read
// prompt tokens for the first time.
func (model StepModel) Step(streams, promptTokens int) time.Duration {
	return model.Base + time.Duration(streams-1)*model.PerStream + time.Duration(promptTokens)*model.PerPromptToken
}
