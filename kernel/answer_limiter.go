package kernel

import (
	"context"
	"io"

	"github.com/juju/errors"
)

// freeAnswerBytes is what may be read of any answer without a slot; most answers are shorter.
const freeAnswerBytes = 64 << 10

// ErrAnswerTooLong is the cause if an answer is longer than its limiter allows.
const ErrAnswerTooLong = errors.ConstError("the answer is too long")

// AnswerLimiter bounds the memory for answers that are read at the same time, as any of them may have
// no end.
type AnswerLimiter struct {
	// MaxBytes bounds each answer.
	MaxBytes int64

	// slots has a place for each answer longer than freeAnswerBytes that may be read at a time.
	slots chan struct{}
}

// NewAnswerLimiter returns a limiter for answers of at most maxBytes, of which largeAnswers may be
// longer than 64 KB at a time. Further ones wait for them.
func NewAnswerLimiter(maxBytes int64, largeAnswers int) *AnswerLimiter {
	return &AnswerLimiter{MaxBytes: maxBytes, slots: make(chan struct{}, largeAnswers)}
}

// Limit returns a reader of the answer. Reading fails with ErrAnswerTooLong after MaxBytes, and with
// the context's error if that ends while the answer waits for its slot. The caller must close the
// reader, which leaves the answer itself open.
func (limiter *AnswerLimiter) Limit(ctx context.Context, answer io.Reader) io.ReadCloser {
	return &limitedAnswer{limiter: limiter, context: ctx, answer: answer}
}

// limitedAnswer is the reader of one answer.
type limitedAnswer struct {
	limiter *AnswerLimiter
	context context.Context //nolint:containedctx // A reader lasts for one call.
	answer  io.Reader
	read    int64
	// hasSlot is set from the first byte after freeAnswerBytes until Close.
	hasSlot bool
}

// Read implements io.Reader.
func (limited *limitedAnswer) Read(buffer []byte) (int, error) {
	if limited.read >= limited.limiter.MaxBytes {
		return limited.readEnd()
	}

	limit := limited.limiter.MaxBytes

	switch {
	case limited.hasSlot:
	case limited.read < freeAnswerBytes:
		limit = min(limit, freeAnswerBytes)
	default:
		if err := limited.waitForSlot(); err != nil {
			return 0, err
		}
	}

	count, err := limited.answer.Read(buffer[:min(int64(len(buffer)), limit-limited.read)])
	limited.read += int64(count)

	return count, err //nolint:wrapcheck // Readers return io.EOF itself.
}

// readEnd returns io.EOF if the answer ends exactly at the limit.
func (limited *limitedAnswer) readEnd() (int, error) {
	count, err := limited.answer.Read(make([]byte, 1))
	if count > 0 {
		return 0, errors.Annotatef(ErrAnswerTooLong, "more than %d bytes", limited.limiter.MaxBytes)
	}

	return 0, err //nolint:wrapcheck // Readers return io.EOF itself.
}

func (limited *limitedAnswer) waitForSlot() error {
	select {
	case limited.limiter.slots <- struct{}{}:
		limited.hasSlot = true

		return nil
	case <-limited.context.Done():
		return errors.Annotate(limited.context.Err(), "waiting until other long answers are read")
	}
}

// Close lets the next long answer be read.
func (limited *limitedAnswer) Close() error {
	if limited.hasSlot {
		limited.hasSlot = false
		<-limited.limiter.slots
	}

	return nil
}
