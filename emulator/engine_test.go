package emulator_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/driver"
	"limpetrail/emulator"
)

const (
	base      = 20 * time.Millisecond
	perStream = time.Millisecond
	perToken  = 100 * time.Microsecond
	// idle is longer than any answer takes.
	idle = time.Minute
)

// words returns a body with the given first token and number of tokens.
func words(first string, count int) []byte {
	return []byte(first + strings.Repeat(" w", count-1))
}

func startEngine(t *testing.T, model emulator.StepModel) *emulator.Engine {
	t.Helper()

	engine := emulator.NewEngine(emulator.WithSteps(model))
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)

	go engine.Run(ctx)

	return engine
}

func generate(t *testing.T, engine *emulator.Engine, id string, body []byte, prefix ...string) driver.Stream {
	t.Helper()

	stream, err := engine.Generate(t.Context(), driver.Generation{ID: id, Body: body, Prefix: prefix})
	require.NoError(t, err)

	return stream
}

// firstToken returns the time until the stream's next token.
func firstToken(t *testing.T, stream driver.Stream) time.Duration {
	t.Helper()

	start := time.Now()
	_, err := stream.Next()
	require.NoError(t, err)

	return time.Since(start)
}

func TestStepTime(t *testing.T) {
	model := emulator.StepModel{Base: base, PerStream: perStream, PerPromptToken: perToken, CacheBlocks: 8}

	tests := []struct {
		name string
		run  func(t *testing.T, engine *emulator.Engine) time.Duration
		want time.Duration
	}{
		{"prefill of the whole prompt", func(t *testing.T, engine *emulator.Engine) time.Duration {
			t.Helper()
			return firstToken(t, generate(t, engine, "a", words("a", 64)))
		}, base + 64*perToken},
		{"prefill of the uncached tokens", func(t *testing.T, engine *emulator.Engine) time.Duration {
			t.Helper()
			firstToken(t, generate(t, engine, "a", words("a", 64)))
			time.Sleep(idle)
			return firstToken(t, generate(t, engine, "b", words("a", 74)))
		}, base + 10*perToken},
		{"prefill after later prompts evicted the blocks", func(t *testing.T, engine *emulator.Engine) time.Duration {
			t.Helper()
			firstToken(t, generate(t, engine, "a", words("a", 64)))
			firstToken(t, generate(t, engine, "b", words("b", 128)))
			time.Sleep(idle)
			return firstToken(t, generate(t, engine, "c", words("a", 64)))
		}, base + 64*perToken},
		{"stream that arrives during a step starts in the next", func(t *testing.T, engine *emulator.Engine) time.Duration {
			t.Helper()
			generate(t, engine, "a", words("a", 1))
			time.Sleep(base / 2)
			return firstToken(t, generate(t, engine, "b", words("b", 1)))
		}, base/2 + perToken + base + perStream + perToken},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				require.Equal(t, test.want, test.run(t, startEngine(t, model)))
			})
		})
	}
}

func TestCancelTakesEffectAtTheNextStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := startEngine(t, emulator.StepModel{Base: base, CacheBlocks: 8})
		stream := generate(t, engine, "a", words("a", 16))
		tokens := []string{}

		for range 10 {
			token, err := stream.Next()
			require.NoError(t, err)

			tokens = append(tokens, token.Text)
		}

		start := time.Now()

		require.NoError(t, engine.Cancel(t.Context(), "a"))

		var err error

		for err == nil {
			var token driver.Token

			token, err = stream.Next()
			if err == nil {
				tokens = append(tokens, token.Text)
			}
		}

		require.ErrorIs(t, err, context.Canceled)
		require.LessOrEqual(t, time.Since(start), base)

		resumed := generate(t, engine, "a", words("a", 16), tokens...)
		token, err := resumed.Next()
		require.NoError(t, err)
		require.Equal(t, len(tokens), token.Index)
		require.Equal(t, 11, token.Index, "the step in progress still produces a token")
	})
}

func TestStreamsAboveMaxStreamsWaitAndLoadReportLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := startEngine(t, emulator.StepModel{Base: base, MaxStreams: 2, ReportLag: time.Second})
		load, err := engine.Load(t.Context())
		require.NoError(t, err)
		require.Zero(t, load.Running)

		streams := []driver.Stream{}
		for index := range 3 {
			streams = append(streams, generate(t, engine, fmt.Sprint(index), words("a", 4)))
		}

		require.Equal(t, 17*base, firstToken(t, streams[2]), "the two answers of 16 tokens come first")

		load, err = engine.Load(t.Context())
		require.NoError(t, err)
		require.Zero(t, load.Running, "the report is younger than its lag")

		time.Sleep(time.Second)
		generate(t, engine, "4", words("a", 4))
		generate(t, engine, "5", words("a", 4))
		generate(t, engine, "6", words("a", 4))

		load, err = engine.Load(t.Context())
		require.NoError(t, err)
		require.Equal(t, driver.Load{Running: 2, Waiting: 1, CacheShare: 1}, load)
	})
}
