package kernel_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"limpetrail/kernel"
)

const maxAnswerBytes = 200 << 10

// endlessReader returns bytes without end and counts them.
type endlessReader struct {
	read int
}

func (reader *endlessReader) Read(buffer []byte) (int, error) {
	reader.read += len(buffer)

	return len(buffer), nil
}

// Each call kept as much as it was sent, so that many calls at a time filled the memory.
func TestEndlessAnswersReadAtATimeFillTheMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := kernel.NewAnswerLimiter(maxAnswerBytes, 1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()

		first := limiter.Limit(ctx, &endlessReader{})
		_, err := io.ReadFull(first, make([]byte, 100<<10))
		require.NoError(t, err)

		for range 100 {
			source := &endlessReader{}
			other := limiter.Limit(ctx, source)
			_, err = io.ReadAll(other)
			require.ErrorIs(t, err, context.DeadlineExceeded)
			require.NoError(t, other.Close())
			require.LessOrEqual(t, source.read, 64<<10)
		}

		_, err = io.ReadAll(first)
		require.ErrorIs(t, err, kernel.ErrAnswerTooLong)
		require.NoError(t, first.Close())
	})
}

func TestLongAnswersAreReadWholeInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := kernel.NewAnswerLimiter(maxAnswerBytes, 1)
		text := strings.Repeat("x", maxAnswerBytes)
		outcomes := make(chan error)

		for range 5 {
			go func() {
				answer := limiter.Limit(t.Context(), strings.NewReader(text))
				defer answer.Close()

				read, err := io.ReadAll(answer)
				if err == nil && string(read) != text {
					err = errors.New("another text")
				}

				outcomes <- err
			}()
		}

		for range 5 {
			require.NoError(t, <-outcomes)
		}
	})
}
